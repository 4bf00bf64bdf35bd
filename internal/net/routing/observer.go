package routing

import "otterturn/scheduler"

// Observer hears of attempts as they are sent and as they end. It is called by the core's goroutine and must not block.
type Observer interface {
	// AttemptStarted tells of an attempt that was decided on. It returns false where the observer has no room for it;
	// its end is not told then.
	AttemptStarted(node, id string, attempt int) bool
	// AttemptEnded tells how an attempt ended that AttemptStarted took.
	AttemptEnded(node string, e scheduler.AttemptEnded)
}

// observeStart tells the observer, where there is one, of an attempt.
func (c *Core) observeStart(call *call, send scheduler.StartAttempt) {
	if c.Observer == nil {
		return
	}
	node := send.Node
	if !c.Observer.AttemptStarted(node, call.id, len(call.nodes)) {
		node = ""
	}
	call.nodes = append(call.nodes, node)
}

// observeEnd tells the observer how an attempt ended.
func (c *Core) observeEnd(call *call, e scheduler.AttemptEnded) {
	if e.Attempt < 0 || e.Attempt >= len(call.nodes) || call.nodes[e.Attempt] == "" {
		return
	}
	c.Observer.AttemptEnded(call.nodes[e.Attempt], e)
}
