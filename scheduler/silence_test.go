package scheduler

import (
	"slices"
	"testing"
)

// silentAt is what other hosts tell of a node without a start.
func silentAt(node string, at Micros) NodeSilent { return NodeSilent{Node: node, ObservedAt: at} }

// probes are the nodes that are to be probed.
func probes(actions []Action) (nodes []string) {
	for _, a := range actions {
		if p, ok := a.(CheckHealth); ok {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}

// A node that others found silent is probed at once, and gets nothing until the probe is answered.
func TestNodeFoundSilentByOthersGetsNothingUntilProbed(t *testing.T) {
	set := testSettings()
	set.SlowStart = 0
	h := newHost(t, set)
	if got := probes(h.after(ms, silentAt("a", h.now))); !slices.Equal(got, []string{"a"}) {
		t.Errorf("probes of %q, want one of a", got)
	}
	if n := h.s.AvoidedNodes(h.now); n != 1 {
		t.Errorf("%d nodes avoided", n)
	}
	h.wantSends(h.after(ms, req("x", nil)))
	h.wantSends(h.after(ms, HealthChecked{Node: "a", Queue: -1}))
	h.wantSends(h.after(ms, req("y", func(r *Request) { r.Shard = 1 })), "y")
	h.after(ms, h.end("y", OK, ms))
	if got := probes(h.idle(second)); !slices.Equal(got, []string{"a"}) { // also where this host never sent it anything
		t.Errorf("probes of %q behind one that failed, want one of a", got)
	}
	if n := h.s.AvoidedNodes(h.now); n != 1 {
		t.Errorf("%d nodes avoided behind a probe that failed", n)
	}
	h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
	if n := h.s.AvoidedNodes(h.now); n != 0 {
		t.Errorf("%d nodes avoided behind a probe that was answered", n)
	}
	h.wantSends(h.after(ms, req("z", nil)), "z")
}

// A former silence made probes rare. Evidence of another one has the node probed at once all the same.
func TestNodeFoundSilentAgainIsProbedAtOnce(t *testing.T) {
	h := newHost(t, testSettings())
	h.after(ms, silentAt("a", h.now))
	for h.now < 1010*second {
		h.after(ms, HealthChecked{Node: "a", Queue: -1})
		for len(probes(h.last)) == 0 {
			h.after(5*ms, TimerFired{})
		}
	}
	h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
	if n := h.s.nodesByName["a"]; n.nextCheck <= h.now+2*ms {
		t.Fatal("the next probe is not put off, so this shows nothing")
	}
	if got := probes(h.after(ms, silentAt("a", h.now+1))); !slices.Equal(got, []string{"a"}) {
		t.Errorf("probes of %q, want one of a", got)
	}
}

// What this host knows better counts for more than what others tell.
func TestOwnAnswerAndListCountForMoreThanHearsay(t *testing.T) {
	avoided := func(h *host, e NodeSilent) int {
		h.after(ms, e)
		return h.s.AvoidedNodes(h.now)
	}
	t.Run("a younger answer", func(t *testing.T) {
		h := newHost(t, testSettings())
		seen := h.now
		h.after(ms, req("x", nil))
		h.after(10*ms, h.end("x", OK, 10*ms))
		if n := avoided(h, silentAt("a", seen)); n != 0 {
			t.Error("an answer that is younger than the evidence counts for nothing")
		}
		if n := avoided(h, silentAt("a", h.now+1)); n != 1 {
			t.Error("evidence that is younger than the answer counts for nothing")
		}
	})
	t.Run("a younger answer to a probe", func(t *testing.T) {
		h := newHost(t, testSettings())
		h.after(ms, silentAt("a", h.now))
		h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
		if n := avoided(h, silentAt("a", h.now-1)); n != 0 {
			t.Error("an answered probe that is younger than the evidence counts for nothing")
		}
	})
	t.Run("another start", func(t *testing.T) {
		h := newHost(t, testSettings())
		h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}})
		if n := avoided(h, NodeSilent{Node: "a", StartedAt: 5, ObservedAt: h.now + 1}); n != 0 {
			t.Error("evidence of a former start counts")
		}
	})
	t.Run("a new start clears it", func(t *testing.T) {
		h := newHost(t, testSettings())
		if n := avoided(h, silentAt("a", h.now)); n != 1 {
			t.Fatal("not avoided")
		}
		h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}})
		if n := h.s.AvoidedNodes(h.now); n != 0 {
			t.Error("avoided as of its former start")
		}
	})
	t.Run("a drain", func(t *testing.T) {
		h := newHost(t, testSettings())
		h.after(ms, silentAt("a", h.now))
		h.after(ms, EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
		h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
		h.wantSends(h.after(ms, req("x", nil)))
		if n := h.s.AvoidedNodes(h.now); n != 1 {
			t.Error("an answered probe ended a drain")
		}
	})
	t.Run("an unknown node", func(t *testing.T) {
		if n := avoided(newHost(t, testSettings()), silentAt("nobody", 1)); n != 0 {
			t.Errorf("%d nodes avoided", n)
		}
	})
}

// A probe that was sent before others found the node silent proves nothing of it since: another one follows.
func TestProbeSentBeforeTheEvidenceEndsNoSilence(t *testing.T) {
	h := newHost(t, testSettings())
	h.wantSends(h.after(ms, req("x", func(r *Request) { r.TimeLeft = 10 * second })), "x")
	if got := probes(h.idle(second)); !slices.Equal(got, []string{"a"}) {
		t.Fatalf("probes of %q while an attempt is out, want one of a", got)
	}
	h.after(ms, silentAt("a", h.now))
	if got := probes(h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})); !slices.Equal(got, []string{"a"}) {
		t.Errorf("probes of %q behind the answer to the first, want another one of a", got)
	}
	if n := h.s.AvoidedNodes(h.now); n != 1 {
		t.Error("an answer to a probe that was sent before the evidence ended the silence")
	}
}

// The node that comes back may be a new process which the list does not tell yet: it gets no more than a cold one.
func TestNodeFoundSilentByOthersComesBackAsCold(t *testing.T) {
	h := newHost(t, testSettings())
	h.after(ms, silentAt("a", h.now))
	h.after(ms, HealthChecked{Node: "a", OK: true, Queue: -1})
	if n := h.s.nodesByName["a"]; !h.s.inSlowStart(n) {
		t.Error("taken for warm")
	}
}

// Where nothing may be probed nothing would end a silence, so hearsay is none.
func TestHearsayCountsForNothingWithoutProbes(t *testing.T) {
	set := testSettings()
	set.HealthChecks = false
	h := newHost(t, set)
	h.after(ms, silentAt("a", h.now))
	h.wantSends(h.after(ms, req("x", nil)), "x")
}
