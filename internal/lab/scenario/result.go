package scenario

import (
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"otterturn/internal/lab/world"
)

// Result is the outcome of a simulated day.
type Result struct {
	Seed     uint64
	Asked    float64        // worth of all requests: priority times units
	Served   float64        // worth of the requests answered in time
	Worst    float64        // lowest share of the worth served in time within 10 s
	Ended    map[string]int // number of requests, by verdict
	Fallen   int            // nodes that failed by overload
	Breaks   []string
	Requests int
	Digest   string // hash of how and when each request ended; equal for equal days
	Seconds  []Second
	Latency  []*hdrhistogram.Histogram `json:"-"` // latencies of answers in microseconds since the planned send time, by kind of request
	Traces   []Trace                   `json:"-"`
}

// Second is the worth of the requests of one second.
type Second struct{ Asked, Served float64 }

// Share returns the worth served in time as a share of the worth of all requests.
func (r Result) Share() float64 { return r.Served / r.Asked }

// worstSpan is the length in seconds of the intervals of which Result.Worst reports the worst.
const worstSpan = 10

// maxLatency is the largest latency that the histograms hold, in microseconds; longer ones are recorded as this one.
const maxLatency = 60_000_000

// result computes the result. Requests of the first second are not counted.
func (d Day) result(traces *tracer) Result {
	w := d.World
	r := Result{
		Seed: d.seed, Ended: map[string]int{}, Fallen: w.Audit.FailedNodes(), Breaks: w.Audit.Violations,
		Seconds: make([]Second, 1+micros(d.Length)/second),
	}
	for range d.mix.Kinds {
		r.Latency = append(r.Latency, hdrhistogram.New(1, maxLatency, 3))
	}
	digest := xxhash.New()
	for _, q := range d.requests {
		end := w.OutcomeOf(q.ID)
		fmt.Fprintln(digest, q.ID, end.Verdict, end.After)
		if q.At < second {
			continue
		}
		worth := w.Set.Classes[q.Class].Priority * q.Units
		r.Ended[end.String()]++
		r.Requests++
		r.Asked += worth
		bySecond := &r.Seconds[q.At/second]
		bySecond.Asked += worth
		if end.Verdict == world.Served {
			r.Served += worth
			bySecond.Served += worth
		}
		if end.Verdict == world.Served || end.Verdict == world.Late {
			r.Latency[q.Class].RecordValue(min(int64(end.After), maxLatency))
		}
	}
	r.Digest = fmt.Sprintf("%016x", digest.Sum64())
	r.Worst = worstShare(r.Seconds)
	unanswered := w.Audit.Unanswered()
	slices.Sort(unanswered)
	for _, id := range unanswered {
		r.Breaks = append(r.Breaks, fmt.Sprintf("request %s has no final answer", id))
	}
	r.Traces = traces.ended()
	return r
}

// worstShare returns the lowest share served in time within an interval of worstSpan.
func worstShare(seconds []Second) float64 {
	lowest := 1.0
	for from := 1; from < len(seconds); from += worstSpan {
		var sum Second
		for _, s := range seconds[from:min(from+worstSpan, len(seconds))] {
			sum.Asked, sum.Served = sum.Asked+s.Asked, sum.Served+s.Served
		}
		if sum.Asked > 0 {
			lowest = min(lowest, sum.Served/sum.Asked)
		}
	}
	return lowest
}

// keptRules reports whether no rule was broken and no node failed by overload.
func (r Result) keptRules() bool { return r.Fallen == 0 && len(r.Breaks) == 0 }
