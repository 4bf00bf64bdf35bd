package scheduler

import (
	"slices"
	"testing"
)

// silenceReport returns a report of other fronts that a node without a known start is silent.
func silenceReport(node string, at Micros) NodeSilent { return NodeSilent{Node: node, ObservedAt: at} }

// checkedNodes returns the nodes of which a health check is started.
func checkedNodes(actions []Action) (nodes []string) {
	for _, a := range actions {
		if p, ok := a.(CheckHealth); ok {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}

// A node that other fronts found silent is checked at once, and sent nothing until it answers the check.
func TestNodeReportedSilentIsSentNothingUntilChecked(t *testing.T) {
	settings := testSettings()
	settings.SlowStart = 0
	h := newHarness(t, settings)
	if got := checkedNodes(h.after(ms, silenceReport("a", h.now))); !slices.Equal(got, []string{"a"}) {
		t.Errorf("health checks of %q, want one of a", got)
	}
	if n := h.s.AvoidedNodes(h.now); n != 1 {
		t.Errorf("%d nodes avoided", n)
	}
	h.wantStarted(h.after(ms, req("x", nil)))
	h.wantStarted(h.after(ms, HealthChecked{Node: "a", Queue: -1}))
	h.wantStarted(h.after(ms, req("y", func(r *Request) { r.Shard = 1 })), "y")
	h.after(ms, h.end("y", OK, ms))
	if got := checkedNodes(h.advance(second)); !slices.Equal(got, []string{"a"}) { // even if this front never sent it anything
		t.Errorf("health checks of %q after one that failed, want one of a", got)
	}
	if n := h.s.AvoidedNodes(h.now); n != 1 {
		t.Errorf("%d nodes avoided after a failed health check, want 1", n)
	}
	h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
	if n := h.s.AvoidedNodes(h.now); n != 0 {
		t.Errorf("%d nodes avoided after an answered health check, want 0", n)
	}
	h.wantStarted(h.after(ms, req("z", nil)), "z")
}

// After a long silence health checks are rare. A report of another silence nevertheless leads to a check at once.
func TestNodeReportedSilentAgainIsCheckedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	h.after(ms, silenceReport("a", h.now))
	for h.now < 1010*second {
		h.after(ms, HealthChecked{Node: "a", Queue: -1})
		for len(checkedNodes(h.lastActions)) == 0 {
			h.after(5*ms, TimerFired{})
		}
	}
	h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
	if n := h.s.nodesByName["a"]; n.nextCheck <= h.now+2*ms {
		t.Fatal("the next health check is due already, so the test proves nothing")
	}
	if got := checkedNodes(h.after(ms, silenceReport("a", h.now+1))); !slices.Equal(got, []string{"a"}) {
		t.Errorf("health checks of %q, want one of a", got)
	}
}

// What this front knows from later events of its own takes precedence over reports of other fronts.
func TestLaterEventsOverrideSilenceReports(t *testing.T) {
	avoided := func(h *harness, e NodeSilent) int {
		h.after(ms, e)
		return h.s.AvoidedNodes(h.now)
	}
	t.Run("later answer", func(t *testing.T) {
		h := newHarness(t, testSettings())
		seen := h.now
		h.after(ms, req("x", nil))
		h.after(10*ms, h.end("x", OK, 10*ms))
		if n := avoided(h, silenceReport("a", seen)); n != 0 {
			t.Error("a report overrides a later answer")
		}
		if n := avoided(h, silenceReport("a", h.now+1)); n != 1 {
			t.Error("a report later than the answer is ignored")
		}
	})
	t.Run("later answer to a health check", func(t *testing.T) {
		h := newHarness(t, testSettings())
		h.after(ms, silenceReport("a", h.now))
		h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
		if n := avoided(h, silenceReport("a", h.now-1)); n != 0 {
			t.Error("a report overrides a later answer to a health check")
		}
	})
	t.Run("report on another start", func(t *testing.T) {
		h := newHarness(t, testSettings())
		h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}})
		if n := avoided(h, NodeSilent{Node: "a", StartedAt: 5, ObservedAt: h.now + 1}); n != 0 {
			t.Error("a report on a former start is not ignored")
		}
	})
	t.Run("new start ends the silence", func(t *testing.T) {
		h := newHarness(t, testSettings())
		if n := avoided(h, silenceReport("a", h.now)); n != 1 {
			t.Fatal("node is not avoided after the report")
		}
		h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}})
		if n := h.s.AvoidedNodes(h.now); n != 0 {
			t.Error("node is still avoided after its new start")
		}
	})
	t.Run("draining node", func(t *testing.T) {
		h := newHarness(t, testSettings())
		h.after(ms, silenceReport("a", h.now))
		h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
		h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
		h.wantStarted(h.after(ms, req("x", nil)))
		if n := h.s.AvoidedNodes(h.now); n != 1 {
			t.Error("an answered health check ended the draining")
		}
	})
	t.Run("unknown node", func(t *testing.T) {
		if n := avoided(newHarness(t, testSettings()), silenceReport("nobody", 1)); n != 0 {
			t.Errorf("%d nodes avoided", n)
		}
	})
}

// A health check that was sent before other fronts found the node silent does not end the silence: another one follows.
func TestEarlierHealthCheckDoesNotEndSilence(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantStarted(h.after(ms, req("x", func(r *Request) { r.TimeLeft = 10 * second })), "x")
	if got := checkedNodes(h.advance(second)); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("health checks of %q while an attempt is outstanding, want one of a", got)
	}
	h.after(ms, silenceReport("a", h.now))
	if got := checkedNodes(h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})); !slices.Equal(got, []string{"a"}) {
		t.Errorf("health checks of %q after the answer to the first, want another one of a", got)
	}
	if n := h.s.AvoidedNodes(h.now); n != 1 {
		t.Error("an answer to a health check that was sent before the report ended the silence")
	}
}

// A node that answers again may be a new process that the endpoint list does not show yet, so it is in slow start.
func TestNodeReportedSilentReturnsInSlowStart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.after(ms, silenceReport("a", h.now))
	h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
	if n := h.s.nodesByName["a"]; !h.s.inSlowStart(n) {
		t.Error("node is not in slow start")
	}
}

// Without health checks nothing would end the silence, so reports are ignored.
func TestSilenceReportsNeedHealthChecks(t *testing.T) {
	settings := testSettings()
	settings.HealthChecks = false
	h := newHarness(t, settings)
	h.after(ms, silenceReport("a", h.now))
	h.wantStarted(h.after(ms, req("x", nil)), "x")
}
