package routing

import (
	"context"
	"maps"
	"slices"

	"otterturn/scheduler"
)

// Given is what one process of a front leaves to the next.
type Given struct {
	scheduler.Learned
	Began scheduler.Micros // since then limits have filled
	IDs   []string         // of requests, open ones too, that must not be taken again
}

// Yield gives promises and ids to another process of the same front, see scheduler.Scheduler.Yield.
func (c *Core) Yield(ctx context.Context) (g Given, err error) {
	err = c.ask(ctx, func(s *scheduler.Scheduler) {
		g.Learned, g.Began = s.Yield(c.Now())
		g.IDs = slices.Concat(slices.Collect(maps.Keys(c.calls)), slices.Collect(maps.Keys(c.taken.now)),
			slices.Collect(maps.Keys(c.taken.older)))
	})
	return g, err
}

// PromiseNothing leaves all promises to another process, which did not say what it had made, until Resume. The core must not run yet.
func (c *Core) PromiseNothing() { c.scheduler.Yield(c.Now()) }

// Resume takes back what Yield gave, see scheduler.Scheduler.Resume.
func (c *Core) Resume(unused scheduler.Learned, peers bool) error {
	return c.ask(context.Background(), func(s *scheduler.Scheduler) { s.Resume(c.Now(), unused, peers) })
}

// Succeed takes over what another process gave. The core must not run yet.
func (c *Core) Succeed(nodes scheduler.EndpointsChanged, g Given) {
	c.scheduler.Step(c.Now(), []scheduler.Event{nodes})
	c.scheduler.TakeOver(c.Now(), g.Learned, g.Began)
	for _, id := range g.IDs {
		c.taken.add(c.Now(), id)
	}
}

// TakenElsewhere has an id not be taken here any more: another process of the front took a request under it.
func (c *Core) TakenElsewhere(id string) {
	c.submit(message{ask: func(*scheduler.Scheduler) { c.taken.add(c.Now(), id) }})
}

// Announce has each id told as a request is taken under it from now on; nil for none.
func (c *Core) Announce(tell func(id string)) {
	if tell == nil {
		c.announce.Store(nil)
		return
	}
	c.announce.Store(&tell)
}
