package scheduler

import (
	"fmt"
	"strings"
	"testing"
)

func TestOrderByKey(t *testing.T) {
	h := newHost(t, testSettings())
	keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
	h.wantSends(h.step(req("x", keyed), req("y", keyed), req("z", nil)), "x", "z")
	h.wantSends(h.after(10*ms, h.end("x", OK, 10*ms)), "y")
	h.step(req("u", keyed))
	// The request at the head of its key's queue may be retried at once. The next one waits for the pause of the key.
	h.wantSends(h.after(10*ms, h.end("y", Cancelled, 10*ms)), "y")
	h.wantSends(h.after(10*ms, h.end("y", OK, 10*ms)))
	if a := sends(h.idle(150 * ms)); len(a) != 0 {
		t.Errorf("started during the pause of the key: %v", a)
	}
	h.wantSends(h.idle(60*ms), "u")
}

func TestKeyStaysTakenWhileAnAttemptIsOut(t *testing.T) {
	set := testSettings()
	set.Classes[3].LatencyObjective = 2000 * ms
	h := newHost(t, set)
	keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
	h.step(req("x", keyed), req("y", keyed))
	h.wantSends(h.after(10*ms, ClientLeft{ID: "x"}))
	if a := sends(h.idle(250 * ms)); len(a) != 0 {
		t.Errorf("started %v", a)
	}
	o := h.end("x", OK, 270*ms)
	h.wantSends(append(h.after(10*ms, o), h.idle(300*ms)...), "y")
}

func TestRestOutlivesAnEmptyKey(t *testing.T) {
	h := newHost(t, testSettings())
	keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
	h.step(req("x", keyed))
	o := h.end("x", Cancelled, 10*ms)
	o.Final = true
	h.after(10*ms, o)
	h.wantSends(h.after(10*ms, req("y", keyed)))
}

func TestFreshestLeavesFirst(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	same := func(r *Request) { r.Volume = "v" }
	h.step(req("old", same))
	h.after(50*ms, req("fresh", same))
	h.wantSends(h.step(EndpointsChanged{Endpoints: []Endpoint{running("a", 0)}}), "fresh", "old")
}

func TestLateRequestsWaitForACalmNode(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.step(req("x", nil), req("y", nil))
	h.after(500*ms, req("z", nil)) // the objectives of x and y have passed
	h.wantSends(h.step(EndpointsChanged{Endpoints: []Endpoint{running("a", 0)}}), "z")
	n := h.s.nodesByName["a"]
	h.after(20*ms, h.end("z", OK, 20*ms))
	h.wantSends(h.last, "x") // late requests are sent one at a time
	h.after(20*ms, h.end("x", OK, 20*ms), ClientLeft{ID: "y"})
	n.fastMinLatency = 2 * n.Target
	h.idle(200 * ms)
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.step(req("u", nil))
	h.idle(500 * ms)
	h.wantSends(h.step(EndpointsChanged{Endpoints: []Endpoint{running("a", 0)}})) // lowLatency is false
}

func TestWorkBeyondReservationsLeavesSinglyWhileNotCalm(t *testing.T) {
	h := newHost(t, testSettings())
	h.s.nodesByName["a"].lowLatency = false
	h.wantSends(h.step(req("x", nil), req("y", nil)), "x")
	h.wantSends(h.step(req("r", func(r *Request) { r.Plan = 2 })), "r")
	h.s.nodesByName["a"].lowLatency = true
	h.wantSends(h.after(5*ms), "y")
}

func TestTryThatItsClientGivesUpTooSoonCountsAsLate(t *testing.T) {
	h := newHost(t, testSettings())
	feed(h, 3, 100*ms)
	h.wantSends(h.step(req("fresh", nil), req("short", func(r *Request) { r.TimeLeft = 50 * ms })), "fresh")
	h.after(100*ms, h.end("fresh", OK, 100*ms))
	if a := sends(h.last); len(a) != 0 {
		t.Errorf("started %v", a)
	}
}

func TestWorthGoesBeforeTheLaterAim(t *testing.T) {
	set := testSettings()
	set.Classes[4].Priority = 3
	h := newHost(t, set)
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	same := func(class int) func(*Request) {
		return func(r *Request) { r.Class, r.Volume = class, "v" }
	}
	h.step(req("y", same(4)))
	h.after(50*ms, req("x", same(0)))
	h.wantSends(h.step(EndpointsChanged{Endpoints: []Endpoint{running("a", 0)}}), "y", "x")
}

func TestOrderByTags(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective = 1000 * second
	h := newHost(t, set)
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	var events []Event
	for i := range 40 {
		for plan, v := range []string{"light", "heavy"} {
			id := fmt.Sprintf("%s%d", v, i)
			events = append(events, req(id, func(r *Request) { r.Plan, r.Volume, r.TimeLeft = plan, v, 2000*second }))
		}
	}
	events = append(events, req("reserved", func(r *Request) { r.Plan, r.TimeLeft = 2, 2000*second }))
	h.step(events...)
	var order []string
	for a := sends(h.step(EndpointsChanged{Endpoints: []Endpoint{running("a", 0)}})); len(order) < 40 && len(a) > 0; {
		order = append(order, a...)
		var done []Event
		for _, x := range a {
			done = append(done, h.end(x, OK, 5*ms))
		}
		a = sends(h.after(5*ms, done...))
	}
	if len(order) < 40 || order[0] != "reserved" {
		t.Fatalf("order %v", order)
	}
	heavy := strings.Count(strings.Join(order[:40], " "), "heavy")
	if heavy < 28 || heavy > 31 {
		t.Errorf("%d of 40 requests are from the volume with three times the weight, want 28 to 31: %v", heavy, order)
	}
}
