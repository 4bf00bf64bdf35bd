package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"otterturn/scheduler/curve"
	"otterturn/scheduler/interval"
)

// Without it one request of each of dozens of hosts fills a node again as soon as it has answered.
func TestAnswersOverTheTargetPauseWhatIsNotReserved(t *testing.T) {
	h := newHost(t, testSettings())
	reserved := func(r *Request) { r.Plan, r.TimeLeft = 2, 20*second }
	for _, id := range []string{"u", "v", "w", "x"} { // the budget comes down to its floor
		h.wantSends(h.step(req(id, reserved)), id)
		h.after(250*ms, h.end(id, OK, 250*ms))
		h.idle(2500 * ms)
	}
	n := h.s.nodesByName["a"]
	n.Budget, n.Target = h.s.settings.MeanUnits, 200_000
	h.step(req("t", reserved))
	h.wantSends(h.after(250*ms, h.end("t", OK, 250*ms), req("y", nil), req("z", reserved)), "z")
	h.wantSends(h.idle(130 * ms)) // 250 ms at a target of 200: 0.56 times the latency
	h.step(ClientLeft{ID: "z"}, h.end("z", NotStarted, 130*ms))
	h.wantSends(h.idle(50*ms), "y")
}

// A node whose queue is longer than clients wait gives no answer to learn from, only time-outs.
func TestTimeOutsCountAsLatencies(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", nil))
	n := h.s.nodesByName["a"]
	for _, id := range []string{"u", "v"} {
		h.step(req(id, nil))
		h.after(2000*ms, h.end(id, TimedOut, 2000*ms), ClientLeft{ID: id})
	}
	if n.SmoothedLatency < float64(h.s.minObjective) {
		t.Errorf("usual latency %v after two time-outs", n.SmoothedLatency)
	}
}

// What a host judged slow long ago it would never send to again, and so never learn better.
func TestNodeJudgedSlowIsTriedAgain(t *testing.T) {
	for _, c := range []struct {
		queue float64
		hosts int
		tried bool
	}{{0, 2, true}, {3, 2, true}, {60, 2, false}, {-1, 2, false}, {0, 40, true}} {
		set := testSettings()
		set.Fronts = c.hosts
		h := newHost(t, set)
		h.step(req("x", nil))
		h.after(3000*ms, h.end("x", OK, 3000*ms))
		n := h.s.nodesByName["a"]
		n.UnitTime = 10_000 // its requests are short, 3 s was its queue
		h.step(req("y", func(r *Request) { r.TimeLeft = 20 * second }))
		if a := sends(h.idle(1900 * ms)); len(a) > 0 {
			t.Fatalf("sent at once: %v", a)
		}
		a := h.idle(200 * ms)
		if !slices.Contains(a, Action(CheckHealth{"a"})) {
			t.Errorf("%+v: not probed", c)
		}
		h.after(ms, HealthChecked{Node: "a", OK: true, Queue: c.queue})
		if got := len(sends(h.after(ms, req("z", nil)))) > 0; got != c.tried {
			t.Errorf("%+v: sent %v", c, got)
		}
	}
}

// An answer that is lost is no latency of the node: its time-out cuts no budget.
func TestTimeOutsCutNoBudget(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", func(r *Request) { r.Class = 2 }))
	before := h.s.nodesByName["a"].Budget
	h.after(2000*ms, h.end("x", TimedOut, 2000*ms))
	h.idle(400 * ms)
	if n := h.s.nodesByName["a"]; n.Budget != before || !n.lowLatency {
		t.Errorf("budget %v after %v, calm %v", n.Budget, before, n.lowLatency)
	}
}

// feed answers n requests one after another with the given latency at node a.
func feed(h *host, n int, latency Micros) {
	for range n {
		id := fmt.Sprintf("f%d", len(h.tries))
		h.step(req(id, nil))
		h.after(latency, h.end(id, OK, latency))
	}
}

func TestFastLoop(t *testing.T) {
	h := newHost(t, testSettings())
	n := h.s.nodesByName["a"]
	start := n.Budget
	feed(h, 30, 20*ms)
	if n.Budget != start {
		t.Errorf("grew to %v though it was never full", n.Budget)
	}
	h.idle(1000 * ms)
	if n.Budget != start {
		t.Errorf("changed to %v without answers", n.Budget)
	}
	n.budgetExhausted = true
	feed(h, 1, 20*ms)
	h.after(200 * ms)
	if want := start + h.s.settings.MeanUnits/2; n.Budget != want {
		t.Errorf("budget %v after a full interval, want %v", n.Budget, want)
	}
	before, target := n.Budget, n.Target
	ended := func() { // its fast interval, in this step
		n.work.Fast = interval.Interval[Micros]{}
		h.s.work.Queue(&n.work)
		h.step()
	}
	n.fastMinLatency = 2 * target
	ended()
	if n.Budget != before/2 {
		t.Errorf("budget %v after twice the target, want %v", n.Budget, before/2)
	}
	for range 20 {
		n.fastMinLatency = 9 * n.Target
		ended()
	}
	if n.Budget != h.s.settings.MeanUnits {
		t.Errorf("floor %v", n.Budget)
	}
	for range 100 {
		n.fastMinLatency, n.budgetExhausted = 1, true
		ended()
	}
	if n.Budget != maxBudgetRequests*h.s.settings.MeanUnits {
		t.Errorf("cap %v", n.Budget)
	}
}

func TestTargetMeetsTheSlopeWithinTwiceTheLowestAndHalfTheAim(t *testing.T) {
	h := newHost(t, testSettings())
	n := h.s.nodesByName["a"]
	slow := func(p ...curve.Point) float64 {
		n.Curve, n.slowServed, n.slowAnswers, n.slowLatency, n.slowMinLatency = p[1:], p[0].Throughput*2, 1, p[0].Latency, p[0].Low
		h.now += slowInterval
		h.s.now = h.now
		last := interval.NewSchedule(slowInterval)
		n.work.Slow.Restart(&last, h.now-slowInterval)
		n.work.Slow.Separate()
		h.s.slowLoop(n)
		return n.Target
	}
	if got := slow(curve.Point{Throughput: 60, Latency: 10e3, Low: 10e3}); got != 20e3 {
		t.Errorf("target %v of a single point, want twice the lowest", got)
	}
	steep := []curve.Point{{Throughput: 10, Latency: 100e3, Low: 100e3}, {Throughput: 90, Latency: 200e3, Low: 100e3}}
	if got, want := slow(steep...), max(200e3, float64(h.s.minObjective)/2); got != want {
		t.Errorf("target %v of a steep curve, want %v", got, want)
	}
}

func TestSizeDoesNotFoolTheLatency(t *testing.T) {
	n := &node{}
	for range 100 {
		n.normalizeLatency(10e3, 1, 2)
		n.normalizeLatency(80e3, 8, 2)
	}
	small, large := n.normalizeLatency(10e3, 1, 2), n.normalizeLatency(80e3, 8, 2)
	if math.Abs(small-20e3) > 1 || math.Abs(large-20e3) > 1 {
		t.Errorf("latencies of a mean request %v and %v, want 20000", small, large)
	}
	if got := n.normalizeLatency(60e3, 1, 2); math.Abs(got-70e3) > 2e3 {
		t.Errorf("50 ms of waiting give %v", got)
	}
}
