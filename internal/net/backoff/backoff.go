// Package backoff spreads the calls that many fronts make to one service whose capacity is fixed and unknown to them.
// A service that queues calls and whose callers time out serves nobody once it is overloaded: when a call reaches the head of
// the queue, its caller has already given up. Fronts that start or fail at the same time and retry after a fixed pause keep the
// service overloaded. So the first call is delayed at random, and retries follow an exponential backoff with jitter. The
// package does no I/O and reads no clock.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Config describes the service.
type Config struct {
	Min    time.Duration // minimum of the mean pause after the first failure
	Max    time.Duration // maximum of the mean pause
	Spread time.Duration // the first calls of all fronts are spread over this time; 0 if the service is not shared
}

// Backoff computes the pauses of one caller. Each pause is uniformly distributed between 0.5 and 1.5 times its mean.
type Backoff struct {
	config Config
	rng    *rand.Rand
	pause  time.Duration // mean pause after the next failure
}

// New returns the backoff of one caller. Each caller should have a different seed, or all would draw the same pauses.
func New(config Config, seed int64) *Backoff {
	b := &Backoff{config: config, rng: rand.New(rand.NewPCG(uint64(seed), 1))}
	b.Reset()
	return b
}

// InitialDelay returns the pause before the first call.
func (b *Backoff) InitialDelay() time.Duration {
	return time.Duration(b.rng.Float64() * float64(b.config.Spread))
}

// Reset must be called after each successful call. The mean pause after the next failure is Min, or Spread if that is longer,
// but at most Max.
func (b *Backoff) Reset() { b.pause = min(max(b.config.Min, b.config.Spread), b.config.Max) }

// Next returns the pause after a failed call, and doubles the mean of the following pause, up to Max.
func (b *Backoff) Next() time.Duration {
	pause := time.Duration((0.5 + b.rng.Float64()) * float64(b.pause))
	b.pause = min(2*b.pause, b.config.Max)
	return pause
}
