package routing

import (
	"context"
	"maps"
	"slices"

	"otterturn/scheduler"
)

// HandoverState is what one process of a front leaves to the next.
type HandoverState struct {
	scheduler.Learned
	StartedAt scheduler.Micros // since then limits have filled
	IDs       []string         // of requests, open ones too, that must not be taken again
}

// Yield gives promises and ids to another process of the same front, see scheduler.Scheduler.Yield.
func (c *Core) Yield(ctx context.Context) (g HandoverState, err error) {
	err = c.query(ctx, func(s *scheduler.Scheduler) {
		g.Learned, g.StartedAt = s.Yield(c.Now())
		g.IDs = slices.Concat(slices.Collect(maps.Keys(c.calls)), slices.Collect(maps.Keys(c.usedIDs.recent)),
			slices.Collect(maps.Keys(c.usedIDs.older)))
	})
	return g, err
}

// YieldAll leaves all promises to another process, which did not say what it had made, until Resume. The core must not run yet.
func (c *Core) YieldAll() { c.scheduler.Yield(c.Now()) }

// Resume takes back what Yield gave, see scheduler.Scheduler.Resume.
func (c *Core) Resume(unused scheduler.Learned, peers bool) error {
	return c.query(context.Background(), func(s *scheduler.Scheduler) { s.Resume(c.Now(), unused, peers) })
}

// TakeOver takes over what another process gave. The core must not run yet.
func (c *Core) TakeOver(nodes scheduler.EndpointsChanged, g HandoverState) {
	c.scheduler.Step(c.Now(), []scheduler.Event{nodes})
	c.scheduler.TakeOver(c.Now(), g.Learned, g.StartedAt)
	for _, id := range g.IDs {
		c.usedIDs.add(c.Now(), id)
	}
}

// MarkIDUsed has an id not be taken here any more: another process of the front took a request under it.
func (c *Core) MarkIDUsed(id string) {
	c.submit(message{query: func(*scheduler.Scheduler) { c.usedIDs.add(c.Now(), id) }})
}

// AnnounceIDs has each id told as a request is taken under it from now on; nil for none.
func (c *Core) AnnounceIDs(tell func(id string)) {
	if tell == nil {
		c.announceID.Store(nil)
		return
	}
	c.announceID.Store(&tell)
}
