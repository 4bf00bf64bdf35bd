package routing

import (
	"slices"

	"otterturn/scheduler"
)

// call is a request that is owed an answer, or one that is over with an attempt still out. Its verdicts are
// closed when nothing more is owed. The rest is the loop's.
type call struct {
	id          string
	verdicts    chan scheduler.Action
	admitted    chan struct{} // closed once the scheduler has it
	over        bool
	outstanding int      // sends without an outcome
	nodes       []string // by attempt, the node that it went to, "" where the observer did not take it; none without an observer
}

// newCall returns the call of a request that the core is about to take.
func newCall(id string) *call {
	return &call{id: id, verdicts: make(chan scheduler.Action, verdictBuffer), admitted: make(chan struct{})}
}

// verdictBuffer holds all verdicts that can wait for one request: a send, its cancel, a final answer.
const verdictBuffer = 4

// track keeps the table of calls in step with an event, and tells whether the scheduler is to hear of it.
func (c *Core) track(m message) bool {
	switch e := m.event.(type) {
	case scheduler.Request:
		if m.admitBy > 0 {
			c.waitingForCapacity = append(c.waitingForCapacity, m)
			return false
		}
		close(m.call.admitted)
		// The scheduler keeps requests by id: a second one under an id that is in use would take the first one's
		// place, or be ended by the outcome of an attempt that is still out for it. One that is over must not run again.
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
		if c.calls[e.ID] != m.call { // never admitted, or over
			return false
		}
		c.end(m.call)
	}
	return true
}

// end closes a request's verdicts: nothing more is owed for it. Its id stays taken while an attempt is out.
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
