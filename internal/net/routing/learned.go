package routing

import (
	"cmp"
	"context"
	"time"

	"otterturn/scheduler"
)

// Now is the core's present time.
func (c *Core) Now() scheduler.Micros { return c.clock.Now() }

// NewNodeStats is what a node is taken for that nothing is known of. The core must not run yet.
func (c *Core) NewNodeStats() scheduler.NodeStats { return c.scheduler.NewNodeStats() }

// ImportLearned takes over what a former self learned, given the nodes there are. The core must not run yet.
func (c *Core) ImportLearned(nodes scheduler.EndpointsChanged, l scheduler.Learned) {
	c.scheduler.Step(c.Now(), []scheduler.Event{nodes})
	c.scheduler.ImportLearned(c.Now(), l)
}

// ExportLearned returns a part of what is known, and the place of the next one: see scheduler.Scheduler.Learned. It works
// after the core's end as well, for one caller.
func (c *Core) ExportLearned(ctx context.Context, from, n int) (l scheduler.Learned, next int, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) { l, next = s.ExportLearned(c.Now(), from, n) })
	return l, next, err
}

// Forget drops what was learned of a node or a project.
func (c *Core) Forget(ctx context.Context, node, volume string) error {
	return c.query(ctx, func(s *scheduler.Scheduler) { s.Forget(node, volume) })
}

// Reconfigure takes over other settings, see scheduler.Scheduler.Retune: all of them, or none where they are wrong.
func (c *Core) Reconfigure(set scheduler.Settings) error {
	var wrong error
	err := c.query(context.Background(), func(s *scheduler.Scheduler) { wrong = s.Reconfigure(set) })
	return cmp.Or(err, wrong)
}

// RetainIDs has ids of finished requests remembered for another time. One that is shorter holds for ids to come.
func (c *Core) RetainIDs(retention time.Duration) {
	c.submit(message{query: func(*scheduler.Scheduler) {
		c.usedIDs.retention = scheduler.Micros(retention / time.Microsecond)
	}})
}

// NodeFor tells which node a request would be sent to now, and its shard; "" for none.
func (c *Core) NodeFor(ctx context.Context, r scheduler.Request) (node string, shard int, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) { node, shard = s.NodeFor(c.Now(), r) })
	return node, shard, err
}

// AvoidedNodes tells how many nodes of the list get nothing new now.
func (c *Core) AvoidedNodes(ctx context.Context) (n int, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) { n = s.AvoidedNodes(c.Now()) })
	return n, err
}

// StateSaved tells the scheduler how the last record ended.
func (c *Core) StateSaved(r scheduler.StateSaved) { c.submit(message{event: r}) }

// SaveRequested delivers when a record is wanted before its time.
func (c *Core) SaveRequested() <-chan struct{} { return c.saveRequested }

// query has the loop run a function, and waits for its end.
func (c *Core) query(ctx context.Context, f func(s *scheduler.Scheduler)) error {
	select {
	case <-c.stopped:
		f(c.scheduler) // nobody else owns it any more
		return nil
	default:
	}
	done := make(chan struct{})
	ask := message{query: func(s *scheduler.Scheduler) {
		f(s)
		close(done)
	}}
	select {
	case c.inbox <- ask:
	case <-c.stopped:
		return ErrStopped
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	select {
	case <-done:
		return nil
	case <-c.stopped: // the loop may have ended ahead of it
		return ErrStopped
	}
}
