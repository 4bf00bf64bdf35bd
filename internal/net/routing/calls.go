package routing

import (
	"slices"

	"otterturn/scheduler"
)

// call is the state of a request from its submission until its final answer and the end of its last attempt. The channel
// verdicts carries the scheduler's actions for the request and is closed after the last one. All fields except the
// channels belong to the goroutine of Core.Run.
type call struct {
	id          string
	verdicts    chan scheduler.Action
	admitted    chan struct{} // closed once the request is admitted to the scheduler
	over        bool          // verdicts is closed
	outstanding int           // attempts without an outcome
	nodes       []string      // node of each attempt, "" if the observer did not accept it; empty without an observer
}

// newCall returns the state of a request that is about to be submitted.
func newCall(id string) *call {
	return &call{id: id, verdicts: make(chan scheduler.Action, verdictBuffer), admitted: make(chan struct{})}
}

// verdictBuffer has room for all actions that can be pending for one request: StartAttempt, CancelAttempt and a final answer.
const verdictBuffer = 4

// track updates the state of requests for an event, and reports whether the event must be passed to the scheduler.
func (c *Core) track(m message) bool {
	switch e := m.event.(type) {
	case scheduler.Request:
		if m.admitBy > 0 {
			c.waitingForCapacity = append(c.waitingForCapacity, m)
			return false
		}
		close(m.call.admitted)
		// The scheduler identifies requests by id: a second request with an id in use would replace the first one, or be
		// ended by the outcome of an outstanding attempt of the first one. A finished request must not run again.
		if c.calls[e.ID] != nil || c.usedIDs.has(e.ID) {
			close(m.call.verdicts)
			return false
		}
		c.calls[e.ID] = m.call
	case scheduler.AttemptEnded:
		call := c.calls[e.ID]
		if call == nil {
			return false
		}
		call.outstanding--
		c.observeEnd(call, e)
		if e.Final || call.over {
			c.end(call)
		}
	case scheduler.ClientLeft:
		if i := slices.IndexFunc(c.waitingForCapacity, func(w message) bool { return w.call == m.call }); i >= 0 {
			c.waitingForCapacity = slices.Delete(c.waitingForCapacity, i, i+1)
			close(m.call.verdicts)
		}
		if c.calls[e.ID] != m.call { // never admitted, or already finished
			return false
		}
		c.end(m.call)
	}
	return true
}

// end closes the request's channel of actions. Its id stays in use until no attempt is outstanding.
func (c *Core) end(call *call) {
	if !call.over {
		call.over = true
		close(call.verdicts)
	}
	if call.outstanding == 0 {
		delete(c.calls, call.id)
		c.usedIDs.add(c.clock.Now(), call.id)
	}
}
