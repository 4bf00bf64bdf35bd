// Package backoff spreads the calls that many fronts make to one service of fixed capacity, which none of them knows.
// A service that queues calls, and drops those that waited too long, serves nobody once more come than it bears: the
// caller of each place in its queue has gone by the time it is reached. Fronts that start together, or fail together, and
// call again after a fixed pause keep it there. So the first call is delayed at random, and retries follow an exponential
// backoff with jitter. The package does no I/O and reads no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Config is what is known of the service.
type Config struct {
	Min    time.Duration // mean pause after a first failure at the least
	Max    time.Duration // longest mean pause
	Spread time.Duration // the first calls of all fronts come within this; 0 where each has a service of its own
}

// Backoff tells one caller how long to wait. Pauses are drawn evenly from half to one and a half of their mean.
type Backoff struct {
	config Config
	rng    *rand.Rand
	pause  time.Duration // mean pause after the next failure
}

// New returns the backoff of a caller. The seed drives its random choices; callers should have different ones.
func New(config Config, seed int64) *Backoff {
	b := &Backoff{config: config, rng: rand.New(rand.NewPCG(uint64(seed), 1))}
	b.Reset()
	return b
}

// InitialDelay returns the pause before the first call.
func (b *Backoff) InitialDelay() time.Duration {
	return time.Duration(b.rng.Float64() * float64(b.config.Spread))
}

// Reset is to be called after each call that succeeded. Where the service is shared, the pause after a failure begins at
// the spread of the first calls rather than at Min.
func (b *Backoff) Reset() { b.pause = min(max(b.config.Min, b.config.Spread), b.config.Max) }

// Next returns the pause after a call that failed, and doubles the mean of the one after it.
func (b *Backoff) Next() time.Duration {
	pause := time.Duration((0.5 + b.rng.Float64()) * float64(b.pause))
	b.pause = min(2*b.pause, b.config.Max)
	return pause
}
