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
	waitLimit time.Duration
	started   time.Time

	mu       sync.Mutex
	queue    *admission.Queue
	verdicts []chan verdict // by ticket; each has a buffer of one
}

// verdict is the decision on a waiting request.
type verdict struct {
	admitted   bool
	retryAfter time.Duration
}

// New returns a gate at which a request waits at most for waitLimit.
func New(config admission.Config, waitLimit time.Duration) *Gate {
	return &Gate{
		waitLimit: waitLimit, started: time.Now(), queue: admission.New(config, maphash.MakeSeed(), rand.Uint64()),
		verdicts: make([]chan verdict, max(config.MaxWaiting, 1)),
	}
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (g *Gate) now() int64 { return time.Since(g.started).Microseconds() }

// Acquire waits until a request is admitted, at most for maxWait and for the limit of the gate. It returns a function to
// call when the request has ended. If the request is rejected, which includes a wait that was too long, the error is a
// *routing.RejectedError with the time to retry; if ctx ends, it is the cause. cost and weight are those of
// admission.Queue.Arrive.
func (g *Gate) Acquire(ctx context.Context, project, client string, cost, weight float64, maxWait time.Duration) (release func(), err error) {
	g.mu.Lock()
	a := g.queue.Arrive(g.now(), project, client, cost, weight)
	if a.Evicted >= 0 {
		g.verdicts[a.Evicted] <- verdict{retryAfter: micros(a.EvictedRetryAfter)}
	}
	var decided chan verdict
	if !a.Admitted && !a.Rejected {
		// The channel of the ticket's last request is not reused: a verdict for that request may still be in it.
		decided = make(chan verdict, 1)
		g.verdicts[a.Ticket] = decided
	}
	g.mu.Unlock()
	switch {
	case a.Admitted:
		return g.releaseFunc(cost), nil
	case a.Rejected:
		return nil, &routing.RejectedError{RetryAfter: micros(a.RetryAfter)}
	}
	timer := time.NewTimer(min(g.waitLimit, maxWait))
	defer timer.Stop()
	select {
	case v := <-decided:
		return g.outcome(v, cost)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	select {
	case v := <-decided: // decided before the lock was taken
		g.mu.Unlock()
		return g.outcome(v, cost)
	default:
	}
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		g.queue.Cancel(a.Ticket)
		return nil, context.Cause(ctx)
	}
	return nil, &routing.RejectedError{RetryAfter: micros(g.queue.Expire(g.now(), a.Ticket))}
}

func (g *Gate) outcome(v verdict, cost float64) (release func(), err error) {
	if v.admitted {
		return g.releaseFunc(cost), nil
	}
	return nil, &routing.RejectedError{RetryAfter: v.retryAfter}
}

// releaseFunc returns the function that ends a request which was just admitted.
func (g *Gate) releaseFunc(cost float64) (release func()) {
	admittedAt := g.now()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, t := range g.queue.Release(cost, g.now()-admittedAt) {
			g.verdicts[t] <- verdict{admitted: true}
		}
	}
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}
