package routing

import (
	"slices"

	"otterturn/scheduler"
)

// requestState is the state of a request from its submission until its final answer and the end of its last attempt. The
// channel actions carries the scheduler's actions for the request and is closed after the last one. All fields except the
// channels belong to the goroutine of Core.Run.
type requestState struct {
	id          string
	actions     chan scheduler.Action
	admitted    chan struct{} // closed once the request is admitted to the scheduler
	ended       bool          // actions is closed
	outstanding int           // attempts without an outcome
	nodes       []string      // node of each attempt, "" if the observer did not accept it; empty without an observer
}

// newRequestState returns the state of a request that is about to be submitted.
func newRequestState(id string) *requestState {
	return &requestState{id: id, actions: make(chan scheduler.Action, actionBuffer), admitted: make(chan struct{})}
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
		close(m.state.admitted)
		// The scheduler identifies requests by id: a second request with an id in use would replace the first one, or be
		// ended by the outcome of an outstanding attempt of the first one. A finished request must not run again.
		if c.requests[e.ID] != nil || c.usedIDs.contains(e.ID) {
			close(m.state.actions)
			return false
		}
		c.requests[e.ID] = m.state
	case scheduler.AttemptEnded:
		state := c.requests[e.ID]
		if state == nil {
			return false
		}
		state.outstanding--
		c.observeEnd(state, e)
		if e.Final || state.ended {
			c.endRequest(state)
		}
	case scheduler.ClientLeft:
		if i := slices.IndexFunc(c.waitingForCapacity, func(w message) bool { return w.state == m.state }); i >= 0 {
			c.waitingForCapacity = slices.Delete(c.waitingForCapacity, i, i+1)
			close(m.state.actions)
		}
		if c.requests[e.ID] != m.state { // never admitted, or already finished
			return false
		}
		c.endRequest(m.state)
	}
	return true
}

// endRequest closes the request's channel of actions. Its id stays in use until no attempt is outstanding.
func (c *Core) endRequest(state *requestState) {
	if !state.ended {
		state.ended = true
		close(state.actions)
	}
	if state.outstanding == 0 {
		delete(c.requests, state.id)
		c.usedIDs.add(c.clock.Now(), state.id)
	}
}
