// Package retrybudget limits retries to a share of the requests within a sliding time window. It reads no clock.
package retrybudget

import "otterturn/scheduler/window"

// Budget allows a minimum number of retries and a share of the requests. A span of 0 or less sets no limit.
type Budget[T ~int64] struct {
	span              T
	minimum, share    float64
	requests, retries window.Window[T]
}

// New returns an unused budget.
func New[T ~int64](span T, minRetries, share float64) Budget[T] {
	return Budget[T]{span: span, minimum: minRetries, share: share, requests: window.New(span - 1), retries: window.New(span)}
}

// AddRequest counts a request.
func (b *Budget[T]) AddRequest(now T) {
	if b.span > 0 {
		b.requests.Add(now, 1)
	}
}

// AddRetry counts a retry.
func (b *Budget[T]) AddRetry(now T) {
	if b.span > 0 {
		b.retries.Add(now, 1)
	}
}

// Allows reports whether one more retry is within the budget.
func (b *Budget[T]) Allows(now T) bool {
	return b.span <= 0 || b.retries.Sum(now)+1 <= b.minimum+b.share*b.requests.Sum(now)
}
