// Package retrybudget bounds further attempts by a share of the requests that came, within a sliding span. It reads no
// clock.
package retrybudget

import "otterturn/scheduler/window"

// Allowance is so many further attempts, and a share of the requests. Without a span there is no bound.
type Allowance[T ~int64] struct {
	span           T
	spare, share   float64
	taken, further window.Window[T]
}

// Of returns an allowance that nothing was taken from.
func Of[T ~int64](span T, spare, share float64) Allowance[T] {
	return Allowance[T]{span: span, spare: spare, share: share, taken: window.Of(span - 1), further: window.Of(span)}
}

// Request counts one that came.
func (a *Allowance[T]) Request(now T) {
	if a.span > 0 {
		a.taken.Add(now, 1)
	}
}

// Further counts a further attempt.
func (a *Allowance[T]) Further(now T) {
	if a.span > 0 {
		a.further.Add(now, 1)
	}
}

// Left tells whether one more stays within it.
func (a *Allowance[T]) Left(now T) bool {
	return a.span <= 0 || a.further.Sum(now)+1 <= a.spare+a.share*a.taken.Sum(now)
}
