package scheduler

import (
	"slices"
	"testing"
)

func TestDrainingNodeIsSentNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.wantStarted(h.step(req("x", nil)))
	h.wantStarted(h.after(10*ms, EndpointsChanged{Endpoints: []Endpoint{runningAt("c", 0), {Node: "a", State: Removed}}}), "x")
}

func TestNodeMissingFromFullListIsRemoved(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{runningAt("b", 1)}})
	h.wantStarted(h.step(req("x", nil)))
}

// A node that has restarted according to the endpoint list needs no health check. When each of many fronts checked it
// first, the return of a zone cost one check per front and node, and requests waited for the results.
func TestRestartedNodeNeedsNoHealthCheck(t *testing.T) {
	settings := testSettings()
	settings.SlowStart = 0
	h := newHarness(t, settings)
	h.wantStarted(h.after(ms, req("x", func(r *Request) { r.TimeLeft = 60 * second })), "x")
	h.wantStarted(h.after(ms, h.end("x", Unreachable, ms)))
	h.wantStarted(h.after(3*second, TimerFired{}))
	h.wantStarted(h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}}), "x")
}

// A full queue takes seconds to drain: requests sent meanwhile are rejected again or answered late.
func TestNodeWithFullQueueIsPaused(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", nil))
	a := append(h.after(5*ms, h.end("x", QueueFull, 5*ms)), h.advance(700*ms)...)
	h.wantStarted(a)
	h.wantStarted(h.advance(200*ms), "x")
}

// A lost answer is reported as a reset too. A node that answers a health check sent at the time of the reset has not
// restarted.
func TestAnsweredHealthCheckRefutesRestart(t *testing.T) {
	cases := []struct {
		name  string
		first Result
		delay Micros // of another failure after the check was sent, below 0 for none
		alive bool
	}{{"check answered", Reset, -1, true}, {"unreachable", Unreachable, -1, false}, {"check sent before", Reset, 50 * ms, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings())
			h.step(req("x", nil), req("y", func(r *Request) { r.Units = 1 }))
			a := h.after(10*ms, h.end("x", c.first, 10*ms), ClientLeft{ID: "x"})
			if !slices.Contains(a, Action(CheckHealth{"a"})) {
				t.Fatalf("no health check after the failure: %v", a)
			}
			if c.delay > 0 {
				h.after(c.delay, h.end("y", Reset, c.delay), ClientLeft{ID: "y"})
			}
			h.after(5*ms, HealthChecked{Node: "a", OK: true})
			if n := h.s.nodesByName["a"]; h.s.inSlowStart(n) == c.alive {
				t.Errorf("in slow start: %v", !c.alive)
			}
		})
	}
}

// Without the health check, each of many fronts would detect an overloaded node only by a slow request of its own.
func TestHealthCheckPrecedesRequestAfterSlowAnswers(t *testing.T) {
	for _, c := range []struct {
		latency    Micros // of the other node's answers
		queue      float64
		checkFirst bool // a health check is sent first
		sent       bool // the request is sent after the health check was answered
	}{{20 * ms, 0, false, true}, {900 * ms, 0, true, true}, {900 * ms, 30, true, false}} {
		h := newHarness(t, testSettings())
		h.step(req("x", nil))
		h.after(40*ms, h.end("x", OK, 40*ms))
		h.advance(3 * second)
		h.s.nodesByName["a"].lowLatency = false // late requests stay queued
		other := func(r *Request) { r.Shard = 1 }
		h.step(req("w0", other), req("w1", other))
		h.after(c.latency, h.end("w0", OK, c.latency), h.end("w1", OK, c.latency))
		a := h.step(req("y", nil))
		if got := slices.Contains(a, Action(CheckHealth{"a"})); got != c.checkFirst {
			t.Errorf("%+v: health check first: %v", c, got)
		}
		if c.checkFirst {
			h.after(2*ms, HealthChecked{Node: "a", OK: true, Queue: c.queue})
		}
		if got := h.attempts["y"] == 1; got != c.sent {
			t.Errorf("%+v: request sent: %v", c, got)
		}
	}
}

func TestSilentNodeIsSentNothing(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", nil))
	h.after(20*ms, h.end("x", OK, 20*ms))
	h.step(req("y", nil))
	h.advance(500 * ms)
	h.wantStarted(h.step(req("z", nil)))
}

// When a connection broke silently during the only attempt at a node, the node seemed silent until the deadline: nothing
// else was sent, so no later answer could prove the attempt lost. An answered health check permits one request, and its
// answer permits the others.
func TestHealthCheckTellsLossFromSilence(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", nil))
	h.after(20*ms, h.end("x", OK, 20*ms))
	h.step(req("lost", nil))
	h.advance(500 * ms)
	h.wantStarted(h.step(req("y", nil), req("z", nil)))
	h.wantStarted(h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1}), "y")
	h.wantStarted(h.after(ms, req("w", nil)))
	h.wantStarted(h.after(20*ms, h.end("y", OK, 20*ms)), "z", "w")
	h.after(20*ms, h.end("z", OK, 20*ms), h.end("w", OK, 20*ms))

	n := h.s.nodesByName["a"] // after a loss, requests that need an idle node are sent although a lost attempt is outstanding
	n.lastLoss, n.lowLatency = h.now, false
	h.s.work.RestartFast(&n.work)
	h.wantStarted(h.step(req("u", nil)), "u")
	h.after(20*ms, h.end("u", OK, 20*ms))
	n.lowLatency = true
	h.wantStarted(h.step(req("late", func(r *Request) { r.Units, n.UnitTime = 8, float64(400*ms) })), "late")
}

func TestNodeRemovedDuringAttempt(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantStarted(h.step(req("x", nil)), "x")
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{runningAt("b", 1)}})
	h.wantStarted(h.after(10*ms, h.end("x", Reset, 10*ms), HealthChecked{Node: "gone"}))
	h.wantStarted(h.step(EndpointsChanged{Endpoints: []Endpoint{runningAt("c", 0)}}), "x")
}

// A node in slow start that leaves the list and comes back must not get its capacity a second time.
func TestReaddedNodeKeepsUsedCapacity(t *testing.T) {
	h := newHarness(t, testSettings())
	cold := runningAt("c", 2)
	cold.StartedAt = h.now
	h.step(EndpointsChanged{Endpoints: []Endpoint{cold}})
	h.s.nodesByName["c"].slowStart.Granted(h.now, 3, h.now+100*ms)
	h.wantStarted(h.step(req("x", func(r *Request) { r.Shard = 2 })), "x")
	h.step(h.end("x", NotStarted, 0), ClientLeft{ID: "x"})
	gone := cold
	gone.State = Removed
	h.step(EndpointsChanged{Endpoints: []Endpoint{gone}}, EndpointsChanged{Endpoints: []Endpoint{cold}})
	if capacity := h.s.nodesByName["c"].slowStart.Capacity(h.now); capacity != 1 {
		t.Errorf("capacity for %v units, want 1, as 2 of 3 were used", capacity)
	}
}

// Nodes also close connections for reasons of their own. Each such reset made the front treat the node as restarted, and
// so as cold, for the whole slow start.
func TestResetByRunningNodeIsNoRestart(t *testing.T) {
	for _, alive := range []bool{true, false} {
		h := newHarness(t, testSettings())
		h.wantStarted(h.step(req("x", nil)), "x")
		reset := h.end("x", Reset, ms)
		reset.Alive = alive
		sent := slices.Contains(startedIDs(h.step(reset)), "x")
		if cold := h.s.inSlowStart(h.s.nodesByName["a"]); sent != alive || cold == alive {
			t.Errorf("alive %v: retried %v, in slow start %v", alive, sent, cold)
		}
	}
}
