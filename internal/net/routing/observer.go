package routing

import "otterturn/scheduler"

// Observer is notified of the start and end of attempts. It is called by the core's goroutine and must not block.
type Observer interface {
	// AttemptStarted is called when the scheduler has decided on an attempt. It returns false if the observer can't
	// record it; then AttemptEnded is not called for the attempt.
	AttemptStarted(node, id string, attempt int) bool
	// AttemptEnded is called with the outcome of an attempt for which AttemptStarted returned true.
	AttemptEnded(node string, e scheduler.AttemptEnded)
}

// observeStart notifies the observer, if there is one, of the start of an attempt.
func (c *Core) observeStart(inflight *inflight, start scheduler.StartAttempt) {
	if c.Observer == nil {
		return
	}
	node := start.Node
	if !c.Observer.AttemptStarted(node, inflight.id, len(inflight.nodes)) {
		node = ""
	}
	inflight.nodes = append(inflight.nodes, node)
}

// observeEnd notifies the observer of the end of an attempt.
func (c *Core) observeEnd(inflight *inflight, e scheduler.AttemptEnded) {
	if e.Attempt < 0 || e.Attempt >= len(inflight.nodes) || inflight.nodes[e.Attempt] == "" {
		return
	}
	c.Observer.AttemptEnded(inflight.nodes[e.Attempt], e)
}
