package routing

import (
	"cmp"
	"context"
	"time"

	"otterturn/scheduler"
)

// Now returns the core's present time.
func (c *Core) Now() scheduler.Micros { return c.clock.Now() }

// NewNodeStats returns the assumptions about a node of which nothing is known. It must be called before Run.
func (c *Core) NewNodeStats() scheduler.NodeStats { return c.scheduler.NewNodeStats() }

// ImportLearned adopts what an earlier process learned, after setting the endpoint list. It must be called before Run.
func (c *Core) ImportLearned(nodes scheduler.EndpointsChanged, l scheduler.Learned) {
	c.scheduler.Step(c.Now(), []scheduler.Event{nodes})
	c.scheduler.ImportLearned(c.Now(), l)
}

// ExportLearned returns a part of the learned state and the index of the next part; see scheduler.Scheduler.ExportLearned.
// It also works after Run has ended, for a single caller.
func (c *Core) ExportLearned(ctx context.Context, from, n int) (l scheduler.Learned, next int, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) { l, next = s.ExportLearned(c.Now(), from, n) })
	return l, next, err
}

// Forget drops what was learned about a node or a volume.
func (c *Core) Forget(ctx context.Context, node, volume string) error {
	return c.query(ctx, func(s *scheduler.Scheduler) { s.Forget(node, volume) })
}

// Reconfigure applies other settings, or none of them if they are invalid. See scheduler.Scheduler.Reconfigure.
func (c *Core) Reconfigure(settings scheduler.Settings) error {
	var invalid error
	err := c.query(context.Background(), func(s *scheduler.Scheduler) { invalid = s.Reconfigure(settings) })
	return cmp.Or(err, invalid)
}

// RetainIDs changes how long ids of finished requests are remembered. A shorter time applies only to ids that are added later.
func (c *Core) RetainIDs(retention time.Duration) {
	c.submit(message{query: func(*scheduler.Scheduler) {
		c.usedIDs.retention = scheduler.Micros(retention / time.Microsecond)
	}})
}

// NodeFor returns the node to which a request would be sent now, "" for none, and its shard.
func (c *Core) NodeFor(ctx context.Context, r scheduler.Request) (node string, shard int, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) { node, shard = s.NodeFor(c.Now(), r) })
	return node, shard, err
}

// AvoidedNodes returns how many nodes of the endpoint list are sent no new requests now.
func (c *Core) AvoidedNodes(ctx context.Context) (n int, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) { n = s.AvoidedNodes(c.Now()) })
	return n, err
}

// StateSaved passes the result of the last save to the scheduler.
func (c *Core) StateSaved(r scheduler.StateSaved) { c.submit(message{event: r}) }

// SaveRequested returns a channel that receives an element when the learned state must be saved before its regular time.
func (c *Core) SaveRequested() <-chan struct{} { return c.saveRequested }

// query runs a function in the loop and waits for its end. After the loop has ended it runs the function itself.
func (c *Core) query(ctx context.Context, f func(s *scheduler.Scheduler)) error {
	select {
	case <-c.stopped:
		f(c.scheduler) // the loop no longer uses the scheduler
		return nil
	default:
	}
	done := make(chan struct{})
	msg := message{query: func(s *scheduler.Scheduler) {
		f(s)
		close(done)
	}}
	select {
	case c.inbox <- msg:
	case <-c.stopped:
		return ErrStopped
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-done:
		return nil
	case <-c.stopped: // the loop may have ended before it ran the query
		return ErrStopped
	}
}
