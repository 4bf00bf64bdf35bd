package scheduler

import (
	"slices"
	"testing"
)

func TestNothingGoesToADrainingNode(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.wantSends(h.step(req("x", nil)))
	h.wantSends(h.after(10*ms, EndpointsChanged{Endpoints: []Endpoint{running("c", 0), {Node: "a", State: Removed}}}), "x")
}

func TestMissingFromAFullListIsGone(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{running("b", 1)}})
	h.wantSends(h.step(req("x", nil)))
}

// A node that the list says has started lives. While each of many hosts probed it first, a zone's return cost a probe
// for each host and node, and requests waited for the answers.
func TestNodeThatStartedAnewIsNotProbedFirst(t *testing.T) {
	set := testSettings()
	set.SlowStart = 0
	h := newHost(t, set)
	h.wantSends(h.after(ms, req("x", func(r *Request) { r.TimeLeft = 60 * second })), "x")
	h.wantSends(h.after(ms, h.end("x", Unreachable, ms)))
	h.wantSends(h.after(3*second, TimerFired{}))
	h.wantSends(h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}}), "x")
}

// A full queue takes seconds to empty: what is sent meanwhile is turned away again or answered late.
func TestNodeThatTurnsAwayIsLeftAlone(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", nil))
	a := append(h.after(5*ms, h.end("x", QueueFull, 5*ms)), h.idle(700*ms)...)
	h.wantSends(a)
	h.wantSends(h.idle(200*ms), "x")
}

// A lost answer comes as a reset too. A node that answers a probe sent at the reset has not restarted.
func TestResetIsNoColdStartWhereAProbeIsAnswered(t *testing.T) {
	cases := []struct {
		name  string
		first Result
		delay Micros // of the last failure after the probe
		warm  bool
	}{{"answered", Reset, -1, true}, {"never connected", Unreachable, -1, false}, {"sent before", Reset, 50 * ms, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHost(t, testSettings())
			h.step(req("x", nil), req("y", func(r *Request) { r.Units = 1 }))
			a := h.after(10*ms, h.end("x", c.first, 10*ms), ClientLeft{ID: "x"})
			if !slices.Contains(a, Action(CheckHealth{"a"})) {
				t.Fatalf("no probe at the failure: %v", a)
			}
			if c.delay > 0 {
				h.after(c.delay, h.end("y", Reset, c.delay), ClientLeft{ID: "y"})
			}
			h.after(5*ms, HealthChecked{Node: "a", OK: true})
			if n := h.s.nodesByName["a"]; h.s.inSlowStart(n) == c.warm {
				t.Errorf("cold: %v", !c.warm)
			}
		})
	}
}

// Each of many hosts would find out that a node is jammed by a slow request of its own.
func TestAProbeGoesAheadWhereSlowAnswersAreNotSeldom(t *testing.T) {
	for _, c := range []struct {
		latency Micros // of the other node's answers
		queue   float64
		ahead   bool // a probe goes first
		sent    bool // the request, once the probe is answered
	}{{20 * ms, 0, false, true}, {900 * ms, 0, true, true}, {900 * ms, 30, true, false}} {
		h := newHost(t, testSettings())
		h.step(req("x", nil))
		h.after(40*ms, h.end("x", OK, 40*ms))
		h.idle(3 * second)
		h.s.nodesByName["a"].lowLatency = false // late requests stay
		other := func(r *Request) { r.Shard = 1 }
		h.step(req("w0", other), req("w1", other))
		h.after(c.latency, h.end("w0", OK, c.latency), h.end("w1", OK, c.latency))
		a := h.step(req("y", nil))
		if got := slices.Contains(a, Action(CheckHealth{"a"})); got != c.ahead {
			t.Errorf("%+v: a probe ahead: %v", c, got)
		}
		if c.ahead {
			h.after(2*ms, HealthChecked{Node: "a", OK: true, Queue: c.queue})
		}
		if got := h.tries["y"] == 1; got != c.sent {
			t.Errorf("%+v: sent %v", c, got)
		}
	}
}

func TestSilentNodeGetsNothingMore(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", nil))
	h.after(20*ms, h.end("x", OK, 20*ms))
	h.step(req("y", nil))
	h.idle(500 * ms)
	h.wantSends(h.step(req("z", nil)))
}

// A connection that falls silent under the only attempt at a node looked like a silent node until the
// deadline: with nothing sent past it, nothing could ever overtake it. An answered probe lets one trial go,
// its answer the rest.
func TestNodeThatIsNotSilentIsFoundOut(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", nil))
	h.after(20*ms, h.end("x", OK, 20*ms))
	h.step(req("lost", nil))
	h.idle(500 * ms)
	h.wantSends(h.step(req("y", nil), req("z", nil)))
	h.wantSends(h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1}), "y")
	h.wantSends(h.after(ms, req("w", nil)))
	h.wantSends(h.after(20*ms, h.end("y", OK, 20*ms)), "z", "w")
	h.after(20*ms, h.end("z", OK, 20*ms), h.end("w", OK, 20*ms))

	n := h.s.nodesByName["a"] // once attempts were lost, what leaves singly or late leaves beside a lost one too
	n.lastLoss, n.lowLatency = h.now, false
	h.s.work.RestartFast(&n.work)
	h.wantSends(h.step(req("u", nil)), "u")
	h.after(20*ms, h.end("u", OK, 20*ms))
	n.lowLatency = true
	h.wantSends(h.step(req("late", func(r *Request) { r.Units, n.UnitTime = 8, float64(400*ms) })), "late")
}

func TestNodeLeavesTheListWhileAnAttemptIsOut(t *testing.T) {
	h := newHost(t, testSettings())
	h.wantSends(h.step(req("x", nil)), "x")
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{running("b", 1)}})
	h.wantSends(h.after(10*ms, h.end("x", Reset, 10*ms), HealthChecked{Node: "gone"}))
	h.wantSends(h.step(EndpointsChanged{Endpoints: []Endpoint{running("c", 0)}}), "x")
}

// A cold node that leaves the list and comes back has not got its room anew.
func TestColdNodeThatComesBackToTheList(t *testing.T) {
	h := newHost(t, testSettings())
	cold := running("c", 2)
	cold.StartedAt = h.now
	h.step(EndpointsChanged{Endpoints: []Endpoint{cold}})
	h.s.nodesByName["c"].slowStart.Granted(h.now, 3, h.now+100*ms)
	h.wantSends(h.step(req("x", func(r *Request) { r.Shard = 2 })), "x")
	h.step(h.end("x", NotStarted, 0), ClientLeft{ID: "x"})
	gone := cold
	gone.State = Removed
	h.step(EndpointsChanged{Endpoints: []Endpoint{gone}}, EndpointsChanged{Endpoints: []Endpoint{cold}})
	if room := h.s.nodesByName["c"].slowStart.Capacity(h.now); room != 1 {
		t.Errorf("room for %v units, though 2 of 3 were used", room)
	}
}

// Nodes close connections under requests for reasons of their own. Each such reset had the node taken for one
// that had died and came back cold, for the whole time of the ramp.
func TestResetOfANodeThatLives(t *testing.T) {
	for _, alive := range []bool{true, false} {
		h := newHost(t, testSettings())
		h.wantSends(h.step(req("x", nil)), "x")
		broke := h.end("x", Reset, ms)
		broke.Alive = alive
		sent := slices.Contains(sends(h.step(broke)), "x")
		if cold := h.s.inSlowStart(h.s.nodesByName["a"]); sent != alive || cold == alive {
			t.Errorf("alive %v: sent again %v, cold %v", alive, sent, cold)
		}
	}
}
