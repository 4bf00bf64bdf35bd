package scenario

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"otterturn/internal/lab/world"
	"otterturn/scheduler"
)

// maxTraces limits roughly how many requests of a day are traced.
const maxTraces = 4000

// tracer records OpenTelemetry spans of a sample of a world's requests: one per request, with a child span per attempt.
type tracer struct {
	day         Day
	sampleOneIn uint64 // one in this many requests is traced
	spanTracer  trace.Tracer
	spans       []sdk.ReadOnlySpan
	open        map[string]*openTrace
	lastID      uint64
}

type openTrace struct {
	ctx     context.Context
	request trace.Span
	attempt trace.Span
}

func newTracer(d Day) *tracer {
	t := &tracer{day: d, sampleOneIn: 1 + uint64(len(d.requests)/maxTraces), open: map[string]*openTrace{}}
	t.spanTracer = sdk.NewTracerProvider(sdk.WithSyncer(t), sdk.WithIDGenerator(t)).Tracer("otterturn/lab")
	return t
}

// NewIDs numbers the traces and spans in sequence, so that equal days have equal identifiers.
func (t *tracer) NewIDs(ctx context.Context) (id trace.TraceID, span trace.SpanID) {
	binary.BigEndian.PutUint64(id[8:], t.lastID+1)
	return id, t.NewSpanID(ctx, id)
}

func (t *tracer) NewSpanID(context.Context, trace.TraceID) (span trace.SpanID) {
	t.lastID++
	binary.BigEndian.PutUint64(span[:], t.lastID)
	return span
}

// ExportSpans stores the spans that have ended.
func (t *tracer) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	t.spans = append(t.spans, spans...)
	return nil
}

// Shutdown does nothing: ended reads the stored spans.
func (t *tracer) Shutdown(context.Context) error { return nil }

func (t *tracer) now() time.Time { return time.UnixMicro(int64(t.day.World.Now)) }

// NodeListSent ignores node lists.
func (t *tracer) NodeListSent(int, scheduler.EndpointsChanged) {}

func (t *tracer) RequestSubmitted(front int, r scheduler.Request) {
	if xxhash.Sum64String(r.ID)%t.sampleOneIn != 0 {
		return
	}
	ctx, span := t.spanTracer.Start(context.Background(), "request", trace.WithTimestamp(t.now()), trace.WithAttributes(
		attribute.String("id", r.ID), attribute.String("kind", t.day.mix.Kinds[r.Class].Name), attribute.String("project", r.Volume),
		attribute.Float64("units", r.Units), attribute.Int("front", front)))
	t.open[r.ID] = &openTrace{ctx: ctx, request: span}
}

func (t *tracer) AttemptStarted(_ int, id, node string) {
	if r := t.open[id]; r != nil {
		_, r.attempt = t.spanTracer.Start(r.ctx, "attempt", trace.WithTimestamp(t.now()), trace.WithAttributes(attribute.String("node", node)))
	}
}

func (t *tracer) AttemptFinished(id string, result scheduler.Result) {
	if r := t.open[id]; r != nil && r.attempt != nil {
		r.attempt.SetAttributes(attribute.String("result", result.String()))
		r.attempt.End(trace.WithTimestamp(t.now()))
		r.attempt = nil
	}
}

func (t *tracer) RequestAnswered(id string, v world.Verdict, why scheduler.Reason) {
	r := t.open[id]
	if r == nil {
		return
	}
	delete(t.open, id)
	if r.attempt != nil {
		r.attempt.End(trace.WithTimestamp(t.now()))
	}
	r.request.SetAttributes(attribute.String("verdict", v.String()), attribute.String("why", string(why)))
	r.request.End(trace.WithTimestamp(t.now()))
}

// Trace tells where a request spent its time, in microseconds.
type Trace struct {
	ID, Kind, Project, Verdict, Why string
	Units                           float64
	Front                           int64
	At, Total                       scheduler.Micros // start, since the start of the day; total duration
	Held                            scheduler.Micros // time at the front, before the first attempt and between attempts
	Attempts                        []Attempt
}

// Attempt is one attempt of a traced request.
type Attempt struct {
	Node, Result string
	From, For    scheduler.Micros // start since the request's start; duration
}

// ended returns the traces that have ended, in the order of their start times.
func (t *tracer) ended() []Trace {
	attempts := map[trace.SpanID][]sdk.ReadOnlySpan{}
	for _, s := range t.spans {
		if s.Name() == "attempt" {
			attempts[s.Parent().SpanID()] = append(attempts[s.Parent().SpanID()], s)
		}
	}
	begin := t.day.World.Now - t.day.World.Elapsed()
	var out []Trace
	for _, s := range t.spans {
		if s.Name() != "request" {
			continue
		}
		a := attribute.NewSet(s.Attributes()...)
		text := func(a attribute.Set, key attribute.Key) string { v, _ := a.Value(key); return v.AsString() }
		units, _ := a.Value("units")
		front, _ := a.Value("front")
		span := func(from, to time.Time) scheduler.Micros { return scheduler.Micros(to.Sub(from).Microseconds()) }
		tr := Trace{
			ID: text(a, "id"), Kind: text(a, "kind"), Project: text(a, "project"), Verdict: text(a, "verdict"), Why: text(a, "why"),
			Units: units.AsFloat64(), Front: front.AsInt64(), At: scheduler.Micros(s.StartTime().UnixMicro()) - begin, Total: span(s.StartTime(), s.EndTime()),
		}
		tr.Held = tr.Total
		for _, x := range attempts[s.SpanContext().SpanID()] {
			b := attribute.NewSet(x.Attributes()...)
			took := span(x.StartTime(), x.EndTime())
			tr.Held -= took
			tr.Attempts = append(tr.Attempts, Attempt{text(b, "node"), text(b, "result"), span(s.StartTime(), x.StartTime()), took})
		}
		out = append(out, tr)
	}
	slices.SortStableFunc(out, func(a, b Trace) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Cause is a group of requests that were not served in time for the same reason.
type Cause struct {
	Verdict, Why string
	Where        string           // result of the longest attempt, with its node if it failed, or "never sent"
	Count        int              // number of traced requests
	Held, Total  scheduler.Micros // means
	Worst        Trace            // the longest request
}

// maxCauses is the maximum number of causes that are listed per day.
const maxCauses = 12

// Causes groups the traced requests that were not served in time by cause, the most frequent cause first.
func Causes(all []Trace) (out []Cause) {
	type key struct{ verdict, why, where string }
	causes := map[key]*Cause{}
	for _, t := range all {
		if t.Verdict == world.Served.String() {
			continue
		}
		where, longest := "never sent", scheduler.Micros(-1)
		for _, a := range t.Attempts {
			if a.For > longest {
				if where, longest = a.Result, a.For; a.Result != scheduler.OK.String() {
					where = cmp.Or(a.Result, "no answer") + " at " + a.Node
				}
			}
		}
		k := key{t.Verdict, t.Why, where}
		c := causes[k]
		if c == nil {
			c = &Cause{Verdict: t.Verdict, Why: t.Why, Where: where}
			causes[k] = c
		}
		c.Held, c.Total = c.Held+t.Held, c.Total+t.Total
		if c.Count++; t.Total > c.Worst.Total || c.Count == 1 {
			c.Worst = t
		}
	}
	for _, c := range causes {
		c.Held, c.Total = c.Held/scheduler.Micros(c.Count), c.Total/scheduler.Micros(c.Count)
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Where, b.Where), cmp.Compare(a.Why, b.Why), cmp.Compare(a.Verdict, b.Verdict))
	})
	return out[:min(len(out), maxCauses)]
}
