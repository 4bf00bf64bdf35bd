package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"otterturn/scheduler/curve"
	"otterturn/scheduler/interval"
)

// Without the pause, one request from each of dozens of fronts fills a node again as soon as it has answered.
func TestSlowAnswersThrottleUnreservedRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	reserved := func(r *Request) { r.Plan, r.TimeLeft = 2, 20*second }
	for _, id := range []string{"u", "v", "w", "x"} { // reduces the budget to its minimum
		h.wantStarted(h.step(req(id, reserved)), id)
		h.after(250*ms, h.end(id, OK, 250*ms))
		h.advance(2500 * ms)
	}
	n := h.s.nodesByName["a"]
	n.Budget, n.Target = h.s.settings.MeanUnits, 200_000
	h.step(req("t", reserved))
	h.wantStarted(h.after(250*ms, h.end("t", OK, 250*ms), req("y", nil), req("z", reserved)), "z")
	h.wantStarted(h.advance(130 * ms)) // latency 250 ms, target 200 ms: a pause of 0.56 times the latency
	h.step(ClientLeft{ID: "z"}, h.end("z", NotStarted, 130*ms))
	h.wantStarted(h.advance(50*ms), "y")
}

// A node whose queue is longer than clients wait returns no answers to learn from, only timeouts.
func TestTimeoutsCountAsLatencies(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", nil))
	n := h.s.nodesByName["a"]
	for _, id := range []string{"u", "v"} {
		h.step(req(id, nil))
		h.after(2000*ms, h.end(id, TimedOut, 2000*ms), ClientLeft{ID: id})
	}
	if n.SmoothedLatency < float64(h.s.minObjective) {
		t.Errorf("smoothed latency %v after two timeouts, want at least the shortest objective", n.SmoothedLatency)
	}
}

// A node that was slow once must be sent requests again. Otherwise the front would never learn that it has recovered.
func TestSlowNodeIsUsedAgainAfterHealthCheck(t *testing.T) {
	for _, c := range []struct {
		queue  float64
		fronts int
		sent   bool
	}{{0, 2, true}, {3, 2, true}, {60, 2, false}, {-1, 2, false}, {0, 40, true}} {
		settings := testSettings()
		settings.Fronts = c.fronts
		h := newHarness(t, settings)
		h.step(req("x", nil))
		h.after(3000*ms, h.end("x", OK, 3000*ms))
		n := h.s.nodesByName["a"]
		n.UnitTime = 10_000 // its requests are short, the 3 s were waiting time
		h.step(req("y", func(r *Request) { r.TimeLeft = 20 * second }))
		if a := startedIDs(h.advance(1900 * ms)); len(a) > 0 {
			t.Fatalf("started at once: %v", a)
		}
		a := h.advance(200 * ms)
		if !slices.Contains(a, Action(CheckHealth{"a"})) {
			t.Errorf("%+v: no health check", c)
		}
		h.after(ms, HealthChecked{Node: "a", OK: true, Queue: c.queue})
		if got := len(startedIDs(h.after(ms, req("z", nil)))) > 0; got != c.sent {
			t.Errorf("%+v: sent %v", c, got)
		}
	}
}

// A lost answer is no latency of the node: its timeout must not reduce the budget.
func TestTimeoutsKeepBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", func(r *Request) { r.Class = 2 }))
	before := h.s.nodesByName["a"].Budget
	h.after(2000*ms, h.end("x", TimedOut, 2000*ms))
	h.advance(400 * ms)
	if n := h.s.nodesByName["a"]; n.Budget != before || !n.lowLatency {
		t.Errorf("budget %v after %v, lowLatency %v", n.Budget, before, n.lowLatency)
	}
}

// answerRequests sends n requests to node a, one after another, and answers each after the latency.
func answerRequests(h *harness, n int, latency Micros) {
	for range n {
		id := fmt.Sprintf("f%d", len(h.attempts))
		h.step(req(id, nil))
		h.after(latency, h.end(id, OK, latency))
	}
}

func TestFastLoopAdjustsBudget(t *testing.T) {
	h := newHarness(t, testSettings())
	n := h.s.nodesByName["a"]
	start := n.Budget
	answerRequests(h, 30, 20*ms)
	if n.Budget != start {
		t.Errorf("budget grew to %v although it was never exhausted", n.Budget)
	}
	h.advance(1000 * ms)
	if n.Budget != start {
		t.Errorf("budget changed to %v without answers", n.Budget)
	}
	n.budgetExhausted = true
	answerRequests(h, 1, 20*ms)
	h.after(200 * ms)
	if want := start + h.s.settings.MeanUnits/2; n.Budget != want {
		t.Errorf("budget %v after an interval in which it was exhausted, want %v", n.Budget, want)
	}
	before, target := n.Budget, n.Target
	endFastInterval := func() { // ends the fast interval and performs a step
		n.work.Fast = interval.Interval[Micros]{}
		h.s.work.Queue(&n.work)
		h.step()
	}
	n.fastMinLatency = 2 * target
	endFastInterval()
	if n.Budget != before/2 {
		t.Errorf("budget %v after a latency of twice the target, want %v", n.Budget, before/2)
	}
	for range 20 {
		n.fastMinLatency = 9 * n.Target
		endFastInterval()
	}
	if n.Budget != h.s.settings.MeanUnits {
		t.Errorf("minimum budget %v", n.Budget)
	}
	for range 100 {
		n.fastMinLatency, n.budgetExhausted = 1, true
		endFastInterval()
	}
	if n.Budget != maxBudgetRequests*h.s.settings.MeanUnits {
		t.Errorf("maximum budget %v", n.Budget)
	}
}

func TestTargetIsBoundedByMinLatencyAndObjective(t *testing.T) {
	h := newHarness(t, testSettings())
	n := h.s.nodesByName["a"]
	targetFor := func(p ...curve.Point) float64 {
		n.Curve, n.slowServedUnits, n.slowAnswers, n.slowLatencySum, n.slowMinLatency = p[1:], p[0].Throughput*2, 1, p[0].Latency, p[0].Low
		h.now += slowInterval
		h.s.now = h.now
		last := interval.NewSchedule(slowInterval)
		n.work.Slow.Restart(&last, h.now-slowInterval)
		n.work.Slow.Separate()
		h.s.slowLoop(n)
		return n.Target
	}
	if got := targetFor(curve.Point{Throughput: 60, Latency: 10e3, Low: 10e3}); got != 20e3 {
		t.Errorf("target %v for a single point, want twice the lowest latency", got)
	}
	steep := []curve.Point{{Throughput: 10, Latency: 100e3, Low: 100e3}, {Throughput: 90, Latency: 200e3, Low: 100e3}}
	if got, want := targetFor(steep...), max(200e3, float64(h.s.minObjective)/2); got != want {
		t.Errorf("target %v for a steep curve, want %v", got, want)
	}
}

func TestNormalizedLatencyIsIndependentOfSize(t *testing.T) {
	n := &node{}
	for range 100 {
		n.normalizeLatency(10e3, 1, 2)
		n.normalizeLatency(80e3, 8, 2)
	}
	small, large := n.normalizeLatency(10e3, 1, 2), n.normalizeLatency(80e3, 8, 2)
	if math.Abs(small-20e3) > 1 || math.Abs(large-20e3) > 1 {
		t.Errorf("latencies of a mean request are %v and %v, want 20000", small, large)
	}
	if got := n.normalizeLatency(60e3, 1, 2); math.Abs(got-70e3) > 2e3 {
		t.Errorf("latency %v with 50 ms of waiting, want about 70000", got)
	}
}
