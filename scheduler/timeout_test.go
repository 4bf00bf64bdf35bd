package scheduler

import (
	"fmt"
	"testing"
)

// An attempt timed out after 4 s. Since then the node has answered all requests and health checks, without a load report.
// It must be sent another request within 10 s.
func TestNodeIsUsedAgainAfterLongTimeout(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 100 { // 5 s; the last answers are slower than the first, so that lowLatency is false
		id, latency := fmt.Sprint("before-", i), 5*ms
		if i > 50 {
			latency = 20 * ms
		}
		h.after(30*ms, req(id, nil))
		h.after(latency, h.end(id, OK, latency))
	}
	h.wantStarted(h.after(50*ms, req("lost", func(r *Request) { r.TimeLeft = 4 * second })), "lost")
	answerHealthChecks(h, 4*second)
	h.after(0, AttemptEnded{ID: "lost", Result: TimedOut, Latency: 4 * second, Final: true})
	for i := range 50 {
		id := fmt.Sprint("after-", i)
		h.step(req(id, func(r *Request) { r.TimeLeft = second }))
		answerHealthChecks(h, 200*ms)
		if h.attempts[id] > 0 {
			return
		}
	}
	t.Error("no request was sent within 10 s to a node that answers")
}

// answerHealthChecks lets time pass and answers each health check at once.
func answerHealthChecks(h *harness, span Micros) {
	for end := h.now + span; h.now < end; {
		var events []Event
		for _, node := range checkedNodes(h.lastActions) {
			events = append(events, HealthChecked{Node: node, OK: true, Queue: -1})
		}
		h.after(5*ms, append(events, TimerFired{})...)
	}
}
