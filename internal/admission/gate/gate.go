// Package gate is the shell of package admission: requests wait in it for room, each in a goroutine of its own.
package gate

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"time"

	"otterturn/internal/admission"
	"otterturn/internal/net/routing"
)

// Gate admits requests as its queue decides. It is safe for concurrent use.
type Gate struct {
	patience time.Duration
	began    time.Time

	mu    sync.Mutex
	queue *admission.Queue
	waits []chan verdict // by ticket; each holds one
}

// verdict is what became of a request that waited.
type verdict struct {
	taken bool
	after time.Duration
}

// New returns a gate whose requests wait for so long at the most.
func New(config admission.Config, patience time.Duration) *Gate {
	return &Gate{
		patience: patience, began: time.Now(), queue: admission.New(config, maphash.MakeSeed(), rand.Uint64()),
		waits: make([]chan verdict, max(config.Waiting, 1)),
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (g *Gate) now() int64 { return time.Since(g.began).Microseconds() }

// Enter waits for room, no longer than most, and returns what to call once the request is over; or a routing.Refused with
// when to come back, or why ctx ended. What waits too long is refused at once when its time is up, not held back. cost
// and weight are as admission.Queue.Arrive takes them.
func (g *Gate) Enter(ctx context.Context, project, client string, cost, weight float64, most time.Duration) (leave func(), err error) {
	g.mu.Lock()
	a := g.queue.Arrive(g.now(), project, client, cost, weight)
	if a.Evicted >= 0 {
		g.waits[a.Evicted] <- verdict{after: micros(a.EvictedRetryAfter)}
	}
	var wait chan verdict
	if !a.Admitted && !a.Refused {
		// A new one each time: a verdict for the ticket's last holder may still be on its way to it.
		wait = make(chan verdict, 1)
		g.waits[a.Ticket] = wait
	}
	g.mu.Unlock()
	switch {
	case a.Admitted:
		return g.in(cost), nil
	case a.Refused:
		return nil, &routing.RejectedError{RetryAfter: micros(a.RetryAfter)}
	}
	timer := time.NewTimer(min(g.patience, most))
	defer timer.Stop()
	select {
	case v := <-wait:
		return g.told(v, cost)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	select {
	case v := <-wait: // it was told meanwhile
		g.mu.Unlock()
		return g.told(v, cost)
	default:
	}
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		g.queue.Cancel(a.Ticket)
		return nil, context.Cause(ctx)
	}
	return nil, &routing.RejectedError{RetryAfter: micros(g.queue.Expire(g.now(), a.Ticket))}
}

func (g *Gate) told(v verdict, cost float64) (leave func(), err error) {
	if v.taken {
		return g.in(cost), nil
	}
	return nil, &routing.RejectedError{RetryAfter: v.after}
}

// in returns what ends a request that was taken just now.
func (g *Gate) in(cost float64) (leave func()) {
	since := g.now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, t := range g.queue.Release(cost, g.now()-since) {
			g.waits[t] <- verdict{taken: true}
		}
	}
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}
