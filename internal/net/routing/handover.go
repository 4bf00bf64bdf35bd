package routing

import (
	"context"
	"maps"
	"slices"

	"otterturn/scheduler"
)

// HandoverState is the state that a front's process hands over to its successor.
type HandoverState struct {
	scheduler.Learned
	StartedAt scheduler.Micros // token buckets have filled since this time
	IDs       []string         // of open and finished requests, which must not be accepted again
}

// Yield gives up the capacity that this process may promise, and returns the state for another process of the same front. See
// scheduler.Scheduler.Yield.
func (c *Core) Yield(ctx context.Context) (state HandoverState, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) {
		state.Learned, state.StartedAt = s.Yield(c.Now())
		state.IDs = slices.Concat(slices.Collect(maps.Keys(c.requests)), slices.Collect(maps.Keys(c.usedIDs.recent)),
			slices.Collect(maps.Keys(c.usedIDs.older)))
	})
	return state, err
}

// YieldAll leaves all capacity to another process, whose state is not known, until Resume. It must be called before Run.
func (c *Core) YieldAll() { c.scheduler.Yield(c.Now()) }

// Resume takes back what Yield gave up. See scheduler.Scheduler.Resume.
func (c *Core) Resume(unused scheduler.Learned, peers bool) error {
	return c.query(context.Background(), func(s *scheduler.Scheduler) { s.Resume(c.Now(), unused, peers) })
}

// TakeOver adopts the state that another process handed over. It must be called before Run.
func (c *Core) TakeOver(nodes scheduler.EndpointsChanged, state HandoverState) {
	c.scheduler.Step(c.Now(), []scheduler.Event{nodes})
	c.scheduler.TakeOver(c.Now(), state.Learned, state.StartedAt)
	for _, id := range state.IDs {
		c.usedIDs.add(c.Now(), id)
	}
}

// MarkIDUsed makes the core reject requests with this id, because another process of the front has accepted one.
func (c *Core) MarkIDUsed(id string) {
	c.submit(message{query: func(*scheduler.Scheduler) { c.usedIDs.add(c.Now(), id) }})
}

// AnnounceIDs sets a function that is called with the id of each request that is submitted from now on; nil for none.
func (c *Core) AnnounceIDs(announce func(id string)) {
	if announce == nil {
		c.announceID.Store(nil)
		return
	}
	c.announceID.Store(&announce)
}
