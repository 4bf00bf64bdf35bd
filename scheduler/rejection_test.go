package scheduler

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// A request that may still be served waits, but gets its answer even if nothing but alarms comes any more.
func TestHeldRequestIsRefusedBeforeItsTimeEnds(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	end := h.now + 2000*ms
	actions := h.step(req("x", nil))
	for h.now < end {
		refused, _ := finals(actions)
		if reflect.DeepEqual(refused, []string{"x"}) {
			break
		}
		i := slices.IndexFunc(actions, func(a Action) bool { _, ok := a.(SetTimer); return ok })
		if i < 0 {
			t.Fatalf("no alarm at %v: %v", h.now, actions)
		}
		h.now = actions[i].(SetTimer).At
		actions = h.step(TimerFired{})
	}
	if h.now >= end {
		t.Error("no answer in time")
	}
	if a := h.step(ClientLeft{ID: "x"}, TimerFired{}); len(a) != 0 {
		t.Errorf("after its end: %v", a)
	}
}

// Requests that no node was ever sent were held until near their deadline, and refused with no time left to
// come again: on the sockets' calm day that cost 0.04 of the result.
func TestRequestNeverSentIsRefusedByHalfOfItsTime(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("full", nil))
	h.step(h.end("full", QueueFull, ms)) // the node is left alone for two aims, 800 ms
	h.step(req("held", func(r *Request) { r.TimeLeft = 1000 * ms }))
	if refused, _ := finals(h.idle(450 * ms)); len(refused) > 0 {
		t.Fatalf("refused %v though half of the time is left", refused)
	}
	if refused, _ := finals(h.idle(50 * ms)); !slices.Equal(refused, []string{"held"}) {
		t.Fatalf("refused %v by half of the time, want held", refused)
	}
}

// What can't be answered before its client leaves is not kept until then: the client is told at once, and
// when to come back.
func TestWhatCantBeServedIsAnsweredAtOnce(t *testing.T) {
	refusal := func(h *host, r Request) (after Micros, ok bool) {
		for _, a := range h.step(r) {
			if a, is := a.(Reject); is && a.ID == r.ID {
				return a.RetryAfter, true
			}
		}
		return 0, false
	}
	set := testSettings()
	set.RetryAfter, set.MaxRetryAfter = true, 5000*ms
	for _, c := range []struct {
		what        string
		before      func(h *host)
		edit        func(*Request)
		given       bool
		least, most Micros
	}{
		{"a shard whose node just left", func(h *host) {
			h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Removed}}})
		}, nil, false, 0, 0},
		{"a shard that has been without a node for longer than the client waits", func(h *host) {
			h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Removed}}})
			h.idle(2500 * ms)
		}, nil, true, 2000 * ms, 3000 * ms},
		{"a node that failed longer ago", func(h *host) {
			h.step(req("w", nil))
			h.after(ms, h.end("w", Unreachable, ms))
			h.idle(6000 * ms)
		}, nil, true, 5000 * ms, 5000 * ms},
		{"a node that needs longer than the client waits", func(h *host) {
			h.step(req("w", nil))
			h.after(3000*ms, h.end("w", OK, 3000*ms))
		}, nil, true, 2000 * ms, 5000 * ms},
		{
			"a limit that fills too slowly", nil, func(r *Request) { r.Plan, r.Units, r.Fronts = 3, 8, 4 },
			true, 3000 * ms, 3500 * ms,
		},
		{"a limit that fills in time", nil, func(r *Request) { r.Plan, r.Fronts = 3, 1 }, false, 0, 0},
	} {
		h := newHost(t, set)
		if c.before != nil {
			c.before(h)
		}
		after, ok := refusal(h, req("x", c.edit))
		if ok != c.given || after < c.least || after > c.most {
			t.Errorf("%s: refused %v, to come back after %v", c.what, ok, after)
		}
	}
}

// A client that was refused and asks again still counts from its first try; its own new request does not.
func TestNextTryKeepsItsFirstAim(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	first := h.now
	h.step(req("x", func(r *Request) { r.Key, r.TimeLeft = "k", 1500*ms }))
	for len(h.s.requests) > 0 {
		h.after(5*ms, TimerFired{})
	}
	h.step(req("again", func(r *Request) { r.Volume, r.Key, r.TimeLeft = "vx", "k", first+1500*ms-h.now }))
	h.step(req("other", func(r *Request) { r.Volume, r.Key, r.TimeLeft = "vx", "k", 1500*ms }))
	if r, _ := h.s.rejected.Get(Request{Volume: "vx", Key: "k", Units: 2}); r.objectiveAt != first+400*ms {
		t.Errorf("aim at %v after the first try", r.objectiveAt-first)
	}
	if r := h.s.requests["other"]; r == nil || r.objectiveAt != h.now+400*ms {
		t.Errorf("another request: %+v", r)
	}
}

func TestTimeOutAtTheDeadlineIsAnsweredAtOnce(t *testing.T) {
	h := newHost(t, testSettings())
	h.wantSends(h.step(req("x", func(r *Request) { r.Class = 1 })), "x")
	refused, failed := finals(h.after(2000*ms, h.end("x", TimedOut, 2000*ms)))
	if len(refused) != 0 || !reflect.DeepEqual(failed, []string{"x"}) {
		t.Errorf("refused %v, failed %v", refused, failed)
	}
}

func TestLapsedRequestIsNeverSent(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Draining}}})
	h.step(req("x", nil))
	h.step(ClientLeft{ID: "x"})
	h.step(EndpointsChanged{Endpoints: []Endpoint{running("a", 0)}})
	if a := sends(h.idle(2500 * ms)); len(a) != 0 {
		t.Errorf("sends %v", a)
	}
}

// Refused requests are remembered for their clients' next tries only until their time is up.
func TestRefusedRequestsAreForgotten(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", State: Removed}}})
	h.idle(500 * ms)
	for i := range 3000 {
		h.after(ms, req(fmt.Sprintf("r%d", i), func(r *Request) { r.TimeLeft = 400 * ms }))
	}
	if n := h.s.rejected.Len(); n == 0 || n > 1000 {
		t.Errorf("%d of 3000 refused requests are remembered", n)
	}
}

// In a flood the requests that were held took all of the clients' connections, and what a node could have
// served at once found none. Past MaxOpen those that earn least are refused at once, what is reserved last.
func TestFloodRefusesWhatEarnsLeast(t *testing.T) {
	set := testSettings()
	set.MaxOpen = 4
	h := newHost(t, set)
	volume := func(name string, plan int) func(*Request) {
		return func(r *Request) { r.Volume, r.Plan, r.Shard, r.TimeLeft = name, plan, 9, 20000*ms } // no node holds it
	}
	var actions []Action
	for i := range 3 {
		actions = append(actions, h.step(req(fmt.Sprint("reserved-", i), volume("r", 2)))...)
		actions = append(actions, h.step(req(fmt.Sprint("other-", i), volume("o", 0)))...)
	}
	if refused, _ := finals(actions); len(refused) != 2 || !strings.HasPrefix(refused[0], "other-") || !strings.HasPrefix(refused[1], "other-") {
		t.Errorf("refused %v, want two of the others", refused)
	}
	if refused, _ := finals(h.step(OpenLimitChanged{MaxOpen: 2})); len(refused) != 2 || !strings.HasPrefix(refused[0], "other-") {
		t.Errorf("with less room: refused %v, want the last of the others first, two in all", refused)
	}
}
