// Package retrybudget bounds further attempts by a share of the requests that came, within a sliding span. It reads no
// clock.
package retrybudget

import "otterturn/scheduler/window"

// Budget is so many further attempts, and a share of the requests. Without a span there is no bound.
type Budget[T ~int64] struct {
	span              T
	spare, share      float64
	requests, retries window.Window[T]
}

// New returns an allowance that nothing was taken from.
func New[T ~int64](span T, minRetries, share float64) Budget[T] {
	return Budget[T]{span: span, spare: minRetries, share: share, requests: window.New(span - 1), retries: window.New(span)}
}

// AddRequest counts one that came.
func (a *Budget[T]) AddRequest(now T) {
	if a.span > 0 {
		a.requests.Add(now, 1)
	}
}

// AddRetry counts a further attempt.
func (a *Budget[T]) AddRetry(now T) {
	if a.span > 0 {
		a.retries.Add(now, 1)
	}
}

// Allows tells whether one more stays within it.
func (a *Budget[T]) Allows(now T) bool {
	return a.span <= 0 || a.retries.Sum(now)+1 <= a.spare+a.share*a.requests.Sum(now)
}
