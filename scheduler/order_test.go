package scheduler

import (
	"fmt"
	"strings"
	"testing"
)

func TestRequestsOfKeyRunInOrder(t *testing.T) {
	h := newHarness(t, testSettings())
	keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
	h.wantStarted(h.step(req("x", keyed), req("y", keyed), req("z", nil)), "x", "z")
	h.wantStarted(h.after(10*ms, h.end("x", OK, 10*ms)), "y")
	h.step(req("u", keyed))
	// The request at the head of its key's queue may be retried at once. The next one waits for the pause of the key.
	h.wantStarted(h.after(10*ms, h.end("y", Cancelled, 10*ms)), "y")
	h.wantStarted(h.after(10*ms, h.end("y", OK, 10*ms)))
	if a := startedIDs(h.advance(150 * ms)); len(a) != 0 {
		t.Errorf("started during the pause of the key: %v", a)
	}
	h.wantStarted(h.advance(60*ms), "u")
}

// Guards against a request that runs beside an earlier one of its key: the earlier one's first attempt may still run, and its repeat
// was served. The pause counts from the end of the first attempt, whatever its result was.
func TestKeyPausesThoughTheRepeatWasServed(t *testing.T) {
	for _, result := range []Result{Reset, Cancelled} {
		settings := testSettings()
		settings.Classes[3].LatencyObjective = 2000 * ms
		h := newHarness(t, settings)
		keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
		h.step(req("x", keyed), req("y", keyed))
		ended := h.end("x", result, 10*ms)
		ended.Alive = true
		actions := h.after(10*ms, ended)
		for range 20 { // a retry may wait for a while
			if len(startedIDs(actions)) > 0 {
				break
			}
			actions = h.advance(5 * ms)
		}
		h.wantStarted(actions, "x")
		if a := startedIDs(h.after(10*ms, h.end("x", OK, 10*ms))); len(a) != 0 {
			t.Errorf("%v: started behind the repeat: %v", result, a)
		}
		h.wantStarted(h.advance(300*ms), "y")
	}
}

func TestKeyIsBlockedDuringOutstandingAttempt(t *testing.T) {
	settings := testSettings()
	settings.Classes[3].LatencyObjective = 2000 * ms
	h := newHarness(t, settings)
	keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
	h.step(req("x", keyed), req("y", keyed))
	h.wantStarted(h.after(10*ms, ClientLeft{ID: "x"}))
	if a := startedIDs(h.advance(250 * ms)); len(a) != 0 {
		t.Errorf("started %v", a)
	}
	o := h.end("x", OK, 270*ms)
	h.wantStarted(append(h.after(10*ms, o), h.advance(300*ms)...), "y")
}

func TestKeyPauseOutlastsEmptyQueue(t *testing.T) {
	h := newHarness(t, testSettings())
	keyed := func(r *Request) { r.Class, r.Key = 3, "k" }
	h.step(req("x", keyed))
	o := h.end("x", Cancelled, 10*ms)
	o.Final = true
	h.after(10*ms, o)
	h.wantStarted(h.after(10*ms, req("y", keyed)))
}

func TestLatestObjectiveIsSentFirst(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	same := func(r *Request) { r.Volume = "v" }
	h.step(req("old", same))
	h.after(50*ms, req("fresh", same))
	h.wantStarted(h.step(EndpointsChanged{Endpoints: []Endpoint{runningAt("a", 0)}}), "fresh", "old")
}

func TestLateRequestsWaitForLowLatency(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.step(req("x", nil), req("y", nil))
	h.after(500*ms, req("z", nil)) // the objectives of x and y have passed
	h.wantStarted(h.step(EndpointsChanged{Endpoints: []Endpoint{runningAt("a", 0)}}), "z")
	n := h.s.nodesByName["a"]
	h.after(20*ms, h.end("z", OK, 20*ms))
	h.wantStarted(h.lastActions, "x") // late requests are sent one at a time
	h.after(20*ms, h.end("x", OK, 20*ms), ClientLeft{ID: "y"})
	n.fastMinLatency = 2 * n.Target
	h.advance(200 * ms)
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.step(req("u", nil))
	h.advance(500 * ms)
	h.wantStarted(h.step(EndpointsChanged{Endpoints: []Endpoint{runningAt("a", 0)}})) // lowLatency is false
}

func TestUnreservedRequestsRunSinglyWithoutLowLatency(t *testing.T) {
	h := newHarness(t, testSettings())
	h.s.nodesByName["a"].lowLatency = false
	h.wantStarted(h.step(req("x", nil), req("y", nil)), "x")
	h.wantStarted(h.step(req("r", func(r *Request) { r.Plan = 2 })), "r")
	h.s.nodesByName["a"].lowLatency = true
	h.wantStarted(h.after(5*ms), "y")
}

func TestRequestWithShortDeadlineCountsAsLate(t *testing.T) {
	h := newHarness(t, testSettings())
	answerRequests(h, 3, 100*ms)
	h.wantStarted(h.step(req("fresh", nil), req("short", func(r *Request) { r.TimeLeft = 50 * ms })), "fresh")
	h.after(100*ms, h.end("fresh", OK, 100*ms))
	if a := startedIDs(h.lastActions); len(a) != 0 {
		t.Errorf("started %v", a)
	}
}

func TestPriorityPrecedesLaterObjective(t *testing.T) {
	settings := testSettings()
	settings.Classes[4].Priority = 3
	h := newHarness(t, settings)
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	same := func(class int) func(*Request) {
		return func(r *Request) { r.Class, r.Volume = class, "v" }
	}
	h.step(req("y", same(4)))
	h.after(50*ms, req("x", same(0)))
	h.wantStarted(h.step(EndpointsChanged{Endpoints: []Endpoint{runningAt("a", 0)}}), "y", "x")
}

func TestRequestsAreOrderedByTags(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LatencyObjective = 1000 * second
	h := newHarness(t, settings)
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
	for a := startedIDs(h.step(EndpointsChanged{Endpoints: []Endpoint{runningAt("a", 0)}})); len(order) < 40 && len(a) > 0; {
		order = append(order, a...)
		var done []Event
		for _, x := range a {
			done = append(done, h.end(x, OK, 5*ms))
		}
		a = startedIDs(h.after(5*ms, done...))
	}
	if len(order) < 40 || order[0] != "reserved" {
		t.Fatalf("order %v", order)
	}
	heavy := strings.Count(strings.Join(order[:40], " "), "heavy")
	if heavy < 28 || heavy > 31 {
		t.Errorf("%d of 40 requests are from the volume with three times the weight, want 28 to 31: %v", heavy, order)
	}
}
