// Package gate is the shell of package admission. Each request waits for its admission in its own goroutine.
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

// Gate admits requests by the decisions of an admission queue. It is safe for concurrent use.
type Gate struct {
	patience time.Duration
	began    time.Time

	mu    sync.Mutex
	queue *admission.Queue
	waits []chan verdict // by ticket; each has a buffer of one
}

// verdict is the decision on a waiting request.
type verdict struct {
	taken bool
	after time.Duration
}

// New returns a gate at which a request waits at most for patience.
func New(config admission.Config, patience time.Duration) *Gate {
	return &Gate{
		patience: patience, began: time.Now(), queue: admission.New(config, maphash.MakeSeed(), rand.Uint64()),
		waits: make([]chan verdict, max(config.Waiting, 1)),
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (g *Gate) now() int64 { return time.Since(g.began).Microseconds() }

// Enter waits until a request is admitted, at most for the time most and the gate's patience. It returns a function to call
// when the request has ended. If the request is rejected, also because its time has run out, the error is a
// *routing.RejectedError with the time to retry; if ctx ends, it is the cause. cost and weight are those of
// admission.Queue.Arrive.
func (g *Gate) Enter(ctx context.Context, project, client string, cost, weight float64, most time.Duration) (leave func(), err error) {
	g.mu.Lock()
	a := g.queue.Arrive(g.now(), project, client, cost, weight)
	if a.Evicted >= 0 {
		g.waits[a.Evicted] <- verdict{after: micros(a.EvictedRetryAfter)}
	}
	var wait chan verdict
	if !a.Admitted && !a.Refused {
		// The channel of the ticket's last request is not reused: a verdict for that request may still be in it.
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
	case v := <-wait: // decided before the lock was taken
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

// in returns the function that ends a request which was just admitted.
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

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}
