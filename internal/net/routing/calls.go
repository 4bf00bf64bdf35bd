package routing

import (
	"slices"

	"otterturn/scheduler"
)

// call is a request that is owed an answer, or one that is over with an attempt still out. Its verdicts are
// closed when nothing more is owed. The rest is the loop's.
type call struct {
	id       string
	verdicts chan scheduler.Action
	taken    chan struct{} // closed once the scheduler has it
	over     bool
	out      int      // sends without an outcome
	nodes    []string // by attempt, the node that it went to, "" where the observer did not take it; none without an observer
}

// verdictRoom holds all verdicts that can wait for one request: a send, its cancel, a final answer.
const verdictRoom = 4

// admit keeps the table of calls in step with an event, and tells whether the scheduler is to hear of it.
func (c *Core) admit(m message) bool {
	switch e := m.event.(type) {
	case scheduler.Request:
		if m.until > 0 {
			c.waiting = append(c.waiting, m)
			return false
		}
		close(m.call.taken)
		// The scheduler keeps requests by id: a second one under an id that is in use would take the first one's
		// place, or be ended by the outcome of an attempt that is still out for it. One that is over must not run again.
		if c.calls[e.ID] != nil || c.taken.has(e.ID) {
			close(m.call.verdicts)
			return false
		}
		c.calls[e.ID] = m.call
	case scheduler.AttemptEnded:
		call := c.calls[e.ID]
		if call == nil {
			return false
		}
		call.out--
		c.observeEnd(call, e)
		if e.Final || call.over {
			c.end(call)
		}
	case scheduler.ClientLeft:
		if i := slices.IndexFunc(c.waiting, func(w message) bool { return w.call == m.call }); i >= 0 {
			c.waiting = slices.Delete(c.waiting, i, i+1)
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
	if call.out == 0 {
		delete(c.calls, call.id)
		c.taken.add(c.clock.Now(), call.id)
	}
}
