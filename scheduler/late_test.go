package scheduler

import (
	"fmt"
	"testing"
)

// One attempt ran into a deadline of 4 s. The node answers all that comes since, and probes, which tell no queue: it has to
// be sent something again within 10 s.
func TestNodeIsTriedAgainBehindALongTimeOut(t *testing.T) {
	h := newHost(t, testSettings())
	for i := range 100 { // 5 s, of which the last answers are slower than the first: the node is not calm
		id, latency := fmt.Sprint("before-", i), 5*ms
		if i > 50 {
			latency = 20 * ms
		}
		h.after(30*ms, req(id, nil))
		h.after(latency, h.end(id, OK, latency))
	}
	h.wantSends(h.after(50*ms, req("lost", func(r *Request) { r.TimeLeft = 4 * second })), "lost")
	answerProbes(h, 4*second)
	h.after(0, AttemptEnded{ID: "lost", Result: TimedOut, Latency: 4 * second, Final: true})
	for i := range 50 {
		id := fmt.Sprint("after-", i)
		h.step(req(id, func(r *Request) { r.TimeLeft = second }))
		answerProbes(h, 200*ms)
		if h.tries[id] > 0 {
			return
		}
	}
	t.Error("nothing was sent within 10 s to a node that answers")
}

// answerProbes lets time pass in which each probe is answered at once.
func answerProbes(h *host, span Micros) {
	for end := h.now + span; h.now < end; {
		var events []Event
		for _, node := range probes(h.last) {
			events = append(events, HealthChecked{Node: node, OK: true, Queue: -1})
		}
		h.after(5*ms, append(events, TimerFired{})...)
	}
}
