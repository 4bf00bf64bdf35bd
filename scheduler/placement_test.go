package scheduler

import (
	"fmt"
	"slices"
	"testing"
)

// One of many fronts that spreads new objects over all nodes sends to each node rarely, over a new connection for nearly
// every object, and learns nothing of any node. So new objects go to a node that answered recently, unless it is
// considerably slower.
func TestNewObjectsGoWhereTheHostWasAnsweredLately(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{running("a", 0), running("b", 1), running("c", 2), running("d", 3)}})
	fresh := func(r *Request) { r.Shard = -1 }
	h.wantSends(h.after(ms, req("x", func(r *Request) { r.Shard = 2 })), "x")
	h.after(50*ms, h.end("x", OK, 50*ms))
	for i := range 20 {
		id := fmt.Sprint("n", i)
		out := h.after(100*ms, req(id, fresh))
		h.wantSends(out, id)
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
func TestNewObjectsWaitForTheNewsOfAllNodes(t *testing.T) {
	fresh := func(r *Request) { r.Shard, r.TimeLeft = -1, 20*second }
	for _, c := range []struct {
		latency Micros
		sent    int // of four further new objects
	}{{40 * ms, 4}, {1900 * ms, 1}} {
		set := testSettings()
		set.Fronts = 100
		h := newHost(t, set)
		var list []Endpoint
		for i := range 20 {
			list = append(list, running(fmt.Sprintf("n%d", i), i))
		}
		h.step(EndpointsChanged{Full: true, Endpoints: list})
		for i := range 2 { // one answer each of two nodes
			id := fmt.Sprintf("w%d", i)
			h.wantSends(h.step(req(id, fresh)), id)
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
		if got := h.tries["x0"] + h.tries["x1"] + h.tries["x2"] + h.tries["x3"]; got != c.sent || h.tries["old"] != 1 {
			t.Errorf("after answers in %v µs: %d of 4 new objects and %d reads were sent", c.latency, got, h.tries["old"])
		}
	}
}

func TestNewObjectsAvoidANodeThatOwesAnAnswer(t *testing.T) {
	h := newHost(t, testSettings())
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

func TestNewObjectsGoWhereThereIsRoom(t *testing.T) {
	h := newHost(t, testSettings())
	feed(h, 3, 20*ms)
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
func TestNodeThatAnswersErrors(t *testing.T) {
	h := newHost(t, testSettings())
	object := func(r *Request) { r.Shard = -1 }
	h.step(req("usual", func(r *Request) { r.Shard = 1 }))
	h.step(h.end("usual", OK, 20*ms))
	for i := range 4 {
		id := fmt.Sprint("error-", i)
		h.wantSends(h.after(20*ms, req(id, nil)), id)
		h.step(h.end(id, Errored, ms), ClientLeft{ID: id})
	}
	for i := range 5 {
		id := fmt.Sprint("object-", i)
		if a := h.after(20*ms, req(id, object)); !slices.Contains(a, Action(StartAttempt{ID: id, Node: "b"})) {
			t.Errorf("actions for a new object: %v, want an attempt at b", a)
		}
		h.step(h.end(id, OK, 20*ms))
	}
	h.wantSends(h.step(req("trial", nil), req("behind", nil)))
	h.idle(400 * ms)
	if h.tries["trial"]+h.tries["behind"] != 1 {
		t.Errorf("%d and %d attempts, want one in all", h.tries["trial"], h.tries["behind"])
	}
}
