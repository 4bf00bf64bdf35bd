// Package wire translates between the line protocol of the test bench and the scheduler's events and actions. It passes
// the values through unchanged.
package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"

	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

var states = map[string]scheduler.NodeState{
	"Running": scheduler.Running, "Stopping": scheduler.Draining,
	"Deleted": scheduler.Removed,
}

var results = map[string]scheduler.Result{
	"0": scheduler.OK, "13": scheduler.Errored, "8": scheduler.QueueFull, "4": scheduler.TimedOut,
	"14": scheduler.Unreachable, "10": scheduler.Reset, "1": scheduler.Cancelled, "9": scheduler.NotStarted,
}

// parseSettings parses the settings object of a LAUNCH message.
func parseSettings(text string) (scheduler.Settings, error) {
	set, err := protocol.ParseSettings([]byte(text))
	if err != nil {
		return scheduler.Settings{}, fmt.Errorf("facts: %w", err)
	}
	return set.Scheduler, nil
}

// line is one message: its name, its fields and the first error in it.
type line struct {
	name   string
	fields map[string]string
	err    error
}

func parseLine(text string) *line {
	parts := strings.Split(text, "\t")
	l := &line{name: parts[0], fields: make(map[string]string, len(parts))}
	for i, p := range parts[1:] {
		k, v, ok := strings.Cut(p, "=")
		if !ok {
			l.fail("field without '='")
			continue
		}
		if k == "facts" { // this field extends to the end of the line and may contain tabs
			v = strings.TrimPrefix(strings.Join(parts[i+1:], "\t"), "facts=")
			l.fields[k] = v
			break
		}
		l.fields[k] = v
	}
	return l
}

func (l *line) fail(reason string) {
	if l.err == nil {
		l.err = fmt.Errorf("%s: %s", l.name, reason)
	}
}

// text returns a mandatory field.
func (l *line) text(key string) string {
	v, ok := l.fields[key]
	if !ok || v == "" {
		l.fail("missing field " + key)
	}
	return v
}

// number returns a mandatory numeric field.
func (l *line) number(key string) float64 {
	v, err := strconv.ParseFloat(l.text(key), 64)
	if err != nil {
		l.fail(key + " is not a number")
	}
	return v
}

// integer returns a mandatory integer field.
func (l *line) integer(key string) int64 {
	v, err := strconv.ParseInt(l.text(key), 10, 64)
	if err != nil {
		l.fail(key + " is not an integer")
	}
	return v
}

// optional returns a numeric field, 0 if it is absent.
func (l *line) optional(key string) float64 {
	if l.fields[key] == "" {
		return 0
	}
	return l.number(key)
}

func (l *line) request() scheduler.Request {
	return scheduler.Request{
		ID: l.text("requestId"), Class: int(l.integer("grade")), Plan: int(l.integer("plan")),
		Volume: l.fields["vol"], Key: l.fields["chunk"], Units: l.optional("quotaUnits"),
		Shard: int(l.number("liesIn")), Fronts: int(l.optional("setSize")), TimeLeft: scheduler.Micros(l.integer("leftUs")),
	}
}

func (l *line) attemptEnded() scheduler.AttemptEnded {
	result, ok := results[l.text("stateCode")]
	if !ok {
		l.fail("unknown stateCode " + l.fields["stateCode"])
	}
	return scheduler.AttemptEnded{
		ID: l.text("requestId"), Attempt: int(l.integer("seqNo")), Result: result,
		Latency: scheduler.Micros(l.optional("latencyUs")), Final: l.fields["final"] == "1",
		ServedElsewhere: l.optional("elsewhere"),
	}
}

// peerMessage parses a message between instances. The field named other holds the number of the other instance.
func (l *line) peerMessage(other string) scheduler.Event {
	text, err := base64.StdEncoding.DecodeString(l.text("octets"))
	if err != nil {
		l.fail(err.Error())
		return nil
	}
	e, err := protocol.ParsePeerMessage(int(l.integer(other)), text)
	if err != nil {
		l.fail(err.Error())
	}
	return e
}

func (l *line) endpoint() scheduler.Endpoint {
	state, ok := states[l.text("availability")]
	if !ok {
		l.fail("unknown availability " + l.fields["availability"])
	}
	return scheduler.Endpoint{
		Node: l.text("target"), Zone: int(l.optional("regionPart")), Shard: int(l.integer("cohort")),
		State: state, StartedAt: scheduler.Micros(l.optional("cameUpUs")),
	}
}

func (l *line) healthChecked() scheduler.HealthChecked {
	p := scheduler.HealthChecked{Node: l.text("target"), OK: l.text("stateCode") == "0", Queue: -1}
	for pair := range strings.SplitSeq(l.fields["feedback"], ",") {
		k, v, ok := strings.Cut(pair, ":")
		if x, err := strconv.ParseFloat(v, 64); ok && err == nil && k == "backlog" {
			p.Queue = x
		}
	}
	return p
}

// host runs the schedulers of many instances for one stream of batches.
type host struct {
	endpointLists map[string][]scheduler.Endpoint
	instances     map[string]*scheduler.Scheduler
	pending       map[string][]scheduler.Event
	active        []string // instances with pending events, ordered by their first event
	log           io.Writer
}

// Serve answers the batches of in on out until the input ends. Invalid messages are reported on log and skipped.
func Serve(in io.Reader, out, log io.Writer) error {
	hosted := &host{
		endpointLists: map[string][]scheduler.Endpoint{}, instances: map[string]*scheduler.Scheduler{},
		pending: map[string][]scheduler.Event{}, log: log,
	}
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	for {
		text, err := r.ReadString('\n')
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			if l := parseLine(text); l.name == "BEGIN_BATCH" {
				if err := hosted.handleBatch(l, r, w); err != nil {
					return err
				}
			} else {
				hosted.logError(fmt.Errorf("%s outside a batch", l.name))
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (h *host) logError(err error) { fmt.Fprintln(h.log, "benchlink:", err) }

func (h *host) handleBatch(begin *line, r *bufio.Reader, w *bufio.Writer) error {
	now, seq := scheduler.Micros(begin.integer("timeUs")), begin.text("seq")
	if begin.err != nil {
		h.logError(begin.err)
	}
	listName, rows := "", int64(0)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return fmt.Errorf("input ended inside batch %s", seq)
		}
		if text = strings.TrimRight(text, "\r\n"); text == "" {
			continue
		}
		l := parseLine(text)
		switch l.name {
		case "EOB":
			h.stepInstances(w, now)
			fmt.Fprintf(w, "DONE\tseq=%s\n", seq)
			return w.Flush()
		case "REGISTER":
			listName, rows = l.text("bank"), l.integer("rows")
			h.endpointLists[listName] = make([]scheduler.Endpoint, 0, max(0, min(rows, 1<<16)))
		case "ENTRY":
			if e := l.endpoint(); l.err == nil {
				h.endpointLists[listName] = append(h.endpointLists[listName], e)
			}
		default:
			h.handleInstanceLine(w, now, l)
		}
		if l.err != nil {
			h.logError(l.err)
		}
	}
}

// handleInstanceLine handles a message to one instance. An invalid message is skipped; its error is left in l.
func (h *host) handleInstanceLine(w io.Writer, now scheduler.Micros, l *line) {
	instance := l.text("i")
	if l.err != nil {
		return
	}
	switch l.name {
	case "LAUNCH":
		set, err := parseSettings(l.text("facts"))
		var s *scheduler.Scheduler
		if err == nil {
			s, err = scheduler.New(set, l.integer("seed"))
		}
		if err != nil {
			fmt.Fprintf(w, "INTERNAL_ERROR\ti=%s\ttext=%s\n", instance, err)
			return
		}
		h.instances[instance], h.pending[instance] = s, nil
		return
	case "CRASH_NOW":
		delete(h.instances, instance)
		h.pending[instance] = nil
		return
	}
	event, ok := h.event(l)
	if l.err != nil {
		return
	}
	if !ok {
		return
	}
	if h.instances[instance] == nil {
		l.fail("instance " + instance + " has not started")
		return
	}
	if len(h.pending[instance]) == 0 {
		h.active = append(h.active, instance)
	}
	h.pending[instance] = append(h.pending[instance], event)
}

// event translates a message to an event; ok is false if the message holds none for the scheduler.
func (h *host) event(l *line) (e scheduler.Event, ok bool) {
	switch l.name {
	case "PEERS_KNOWN":
		how := l.text("how")
		if how == "failed" {
			return nil, false
		}
		list, known := h.endpointLists[l.text("bank")]
		if !known {
			l.fail("bank " + l.fields["bank"] + " was never registered")
		}
		return scheduler.EndpointsChanged{Full: how != "delta", Endpoints: list}, true
	case "JOB_IN":
		return l.request(), true
	case "RESULT":
		return l.attemptEnded(), true
	case "LAPSED":
		return scheduler.ClientLeft{ID: l.text("requestId")}, true
	case "PROBE_RESULT":
		return l.healthChecked(), true
	case "REMINDER":
		return scheduler.TimerFired{}, true
	case "NOTE_FROM":
		return l.peerMessage("originPeer"), true
	case "BEGUN":
		return nil, false
	}
	l.fail("unknown message")
	return nil, false
}

// stepInstances runs a step of each instance that has pending events and writes the resulting actions.
func (h *host) stepInstances(w io.Writer, now scheduler.Micros) {
	for _, instance := range h.active {
		events, s := h.pending[instance], h.instances[instance]
		h.pending[instance] = nil
		if s == nil || len(events) == 0 {
			continue
		}
		for _, a := range s.Step(now, events) {
			writeAction(w, instance, a)
		}
	}
	h.active = h.active[:0]
}

func writeAction(w io.Writer, instance string, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		fmt.Fprintf(w, "TRY\ti=%s\trequestId=%s\ttarget=%s\n", instance, a.ID, a.Node)
	case scheduler.Reject:
		fmt.Fprintf(w, "SHED\ti=%s\trequestId=%s\tcomeBackUs=%d\n", instance, a.ID, a.RetryAfter)
	case scheduler.Fail:
		fmt.Fprintf(w, "END_FAILED\ti=%s\trequestId=%s\n", instance, a.ID)
	case scheduler.CancelAttempt:
		fmt.Fprintf(w, "CANCEL\ti=%s\trequestId=%s\tseqNo=%d\n", instance, a.ID, a.Attempt)
	case scheduler.CheckHealth:
		fmt.Fprintf(w, "TEST\ti=%s\ttarget=%s\n", instance, a.Node)
	case scheduler.RequestCapacity:
		writePeerMessage(w, instance, a.To, a)
	case scheduler.GrantCapacity:
		writePeerMessage(w, instance, a.To, a)
	case scheduler.SetTimer:
		fmt.Fprintf(w, "TIMER\ti=%s\tatUs=%d\tctx=0\n", instance, a.At)
	}
}

func writePeerMessage(w io.Writer, instance string, to int, a scheduler.Action) {
	fmt.Fprintf(w, "SHARE\ti=%s\trecipient=%d\toctets=%s\n", instance, to, base64.StdEncoding.EncodeToString(protocol.FormatPeerMessage(a)))
}
