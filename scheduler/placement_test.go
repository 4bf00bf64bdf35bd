package scheduler

import (
	"fmt"
	"slices"
	"testing"
)

// One of many fronts that spreads new objects over all nodes sends to each node rarely, over a new connection for nearly
// every object, and learns nothing of any node. So new objects go to a node that answered recently, unless it is
// considerably slower.
func TestNewObjectsGoToNodeThatAnsweredRecently(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{runningAt("a", 0), runningAt("b", 1), runningAt("c", 2), runningAt("d", 3)}})
	fresh := func(r *Request) { r.Shard = -1 }
	h.wantStarted(h.after(ms, req("x", func(r *Request) { r.Shard = 2 })), "x")
	h.after(50*ms, h.end("x", OK, 50*ms))
	for i := range 20 {
		id := fmt.Sprint("n", i)
		out := h.after(100*ms, req(id, fresh))
		h.wantStarted(out, id)
		for _, a := range out {
			if send, is := a.(StartAttempt); is && send.Node != "c" {
				t.Fatalf("object %d is sent to %s, want c", i, send.Node)
			}
		}
		h.after(50*ms, h.end(id, OK, 50*ms))
	}
}

// Each of many fronts sends to a single node too rarely to learn its state, so latencies of new objects at some nodes
// count for all nodes.
func TestNewObjectsShareLatencyOfAllNodes(t *testing.T) {
	fresh := func(r *Request) { r.Shard, r.TimeLeft = -1, 20*second }
	for _, c := range []struct {
		latency Micros
		sent    int // of four further new objects
	}{{40 * ms, 4}, {1900 * ms, 1}} {
		settings := testSettings()
		settings.Fronts = 100
		h := newHarness(t, settings)
		var list []Endpoint
		for i := range 20 {
			list = append(list, runningAt(fmt.Sprintf("n%d", i), i))
		}
		h.step(EndpointsChanged{Full: true, Endpoints: list})
		for i := range 2 { // one answer each of two nodes
			id := fmt.Sprintf("w%d", i)
			h.wantStarted(h.step(req(id, fresh)), id)
			h.after(c.latency, h.end(id, OK, c.latency))
		}
		actions := h.step(req("old", func(r *Request) { r.Shard = 15 }), req("x0", fresh), req("x1", fresh),
			req("x2", fresh), req("x3", fresh))
		for range 5 { // health checks are answered and report no queue
			events := []Event{TimerFired{}}
			for _, a := range actions {
				if p, ok := a.(CheckHealth); ok {
					events = append(events, HealthChecked{Node: p.Node, OK: true})
				}
			}
			actions = h.after(ms, events...)
		}
		if got := h.attempts["x0"] + h.attempts["x1"] + h.attempts["x2"] + h.attempts["x3"]; got != c.sent || h.attempts["old"] != 1 {
			t.Errorf("after answers in %v µs: %d of 4 new objects and %d reads were sent", c.latency, got, h.attempts["old"])
		}
	}
}

func TestNewObjectsAvoidNodeWithUnansweredRequest(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", nil), req("y", func(r *Request) { r.Shard = 1 }))
	y := AttemptEnded{ID: "y", Result: OK, Latency: 100 * ms, Final: true}
	h.after(100*ms, h.end("x", OK, 50*ms), y)
	h.step(req("u", func(r *Request) { r.Units = 1 }))
	h.s.nodesByName["a"].outstandingUnits = 0 // so that the unanswered request alone reveals the overload
	a := h.after(300*ms, req("w", func(r *Request) { r.Shard = -1 }))
	if !slices.Contains(a, Action(StartAttempt{ID: "w", Node: "b"})) {
		t.Errorf("actions %v", a)
	}
}

func TestNewObjectsGoWhereBudgetIsFree(t *testing.T) {
	h := newHarness(t, testSettings())
	answerRequests(h, 3, 20*ms)
	h.s.nodesByName["b"].SmoothedLatency = h.s.nodesByName["a"].SmoothedLatency
	at := map[string]int{}
	for i := range 8 {
		for _, a := range h.step(req(fmt.Sprintf("n%d", i), func(r *Request) { r.Shard = -1 })) {
			if a, ok := a.(StartAttempt); ok {
				at[a.Node]++
			}
		}
	}
	if at["a"] < 1 || at["b"] < 1 {
		t.Errorf("attempts by node: %v", at)
	}
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "b", Shard: 1, State: Draining}}})
	for _, a := range h.step(req("late", func(r *Request) { r.Shard = -1 })) {
		if a, ok := a.(StartAttempt); ok && a.Node == "b" {
			t.Error("sent to a draining node")
		}
	}
}

// A node that answered only errors did so in 3 ms. When these counted as its latency, it seemed faster than all others
// and attracted the new objects.
func TestOutlierAttractsNoNewObjects(t *testing.T) {
	h := newHarness(t, testSettings())
	object := func(r *Request) { r.Shard = -1 }
	h.step(req("usual", func(r *Request) { r.Shard = 1 }))
	h.step(h.end("usual", OK, 20*ms))
	for i := range 4 {
		id := fmt.Sprint("error-", i)
		h.wantStarted(h.after(20*ms, req(id, nil)), id)
		h.step(h.end(id, Errored, ms), ClientLeft{ID: id})
	}
	for i := range 5 {
		id := fmt.Sprint("object-", i)
		if a := h.after(20*ms, req(id, object)); !slices.Contains(a, Action(StartAttempt{ID: id, Node: "b"})) {
			t.Errorf("actions for a new object: %v, want an attempt at b", a)
		}
		h.step(h.end(id, OK, 20*ms))
	}
	h.wantStarted(h.step(req("trial", nil), req("behind", nil)))
	h.advance(400 * ms)
	if h.attempts["trial"]+h.attempts["behind"] != 1 {
		t.Errorf("%d and %d attempts, want one in all", h.attempts["trial"], h.attempts["behind"])
	}
}
