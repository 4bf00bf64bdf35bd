package routing

import (
	"slices"

	"otterturn/scheduler"
)

// inflight is the state of a request from its submission until its final answer and the end of its last attempt. The channel
// actions carries the scheduler's actions for the request; it is closed after the last one, and ended is set then. All fields
// except the channels belong to the goroutine of Core.Run.
type inflight struct {
	id          string
	actions     chan scheduler.Action
	admitted    chan struct{} // closed once the request is admitted to the scheduler
	ended       bool
	outstanding int      // attempts without an outcome
	nodes       []string // node of each attempt, "" if the observer did not accept it; empty without an observer
}

// newInflight returns the state of a request that is about to be submitted.
func newInflight(id string) *inflight {
	return &inflight{id: id, actions: make(chan scheduler.Action, actionBuffer), admitted: make(chan struct{})}
}

// actionBuffer has room for all actions that can be pending for one request: StartAttempt, CancelAttempt and a final answer.
const actionBuffer = 4

// track updates the state of requests for an event, and reports whether the event must be passed to the scheduler.
func (c *Core) track(m message) bool {
	switch e := m.event.(type) {
	case scheduler.Request:
		if m.admitBy > 0 {
			c.waitingForCapacity = append(c.waitingForCapacity, m)
			return false
		}
		close(m.inflight.admitted)
		// The scheduler identifies requests by id: a second request with an id in use would replace the first one, or be
		// ended by the outcome of an outstanding attempt of the first one. A finished request must not run again.
		if c.requests[e.ID] != nil || c.usedIDs.contains(e.ID) {
			close(m.inflight.actions)
			return false
		}
		c.requests[e.ID] = m.inflight
	case scheduler.AttemptEnded:
		inflight := c.requests[e.ID]
		if inflight == nil {
			return false
		}
		inflight.outstanding--
		c.observeEnd(inflight, e)
		if e.Final || inflight.ended {
			c.endRequest(inflight)
		}
	case scheduler.ClientLeft:
		if i := slices.IndexFunc(c.waitingForCapacity, func(w message) bool { return w.inflight == m.inflight }); i >= 0 {
			c.waitingForCapacity = slices.Delete(c.waitingForCapacity, i, i+1)
			close(m.inflight.actions)
		}
		if c.requests[e.ID] != m.inflight { // never admitted, or already finished
			return false
		}
		c.endRequest(m.inflight)
	}
	return true
}

// endRequest closes the request's channel of actions. Its id stays in use until no attempt is outstanding.
func (c *Core) endRequest(inflight *inflight) {
	if !inflight.ended {
		inflight.ended = true
		close(inflight.actions)
	}
	if inflight.outstanding == 0 {
		delete(c.requests, inflight.id)
		c.usedIDs.add(c.clock.Now(), inflight.id)
	}
}
