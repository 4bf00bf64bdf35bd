// Package worklist tells which members are to be looked at in a step: those that something happened at, and those that
// something is due at. The others cost nothing. It reads no clock.
package worklist

import (
	"math"
	"slices"

	"otterturn/scheduler/interval"
	"otterturn/scheduler/timers"
)

// List keeps members with two recurring intervals each, a fast one and a slow one.
type List[T ~int64, M any] struct {
	fast, slow interval.Schedule[T]
	added      int
	queued     []*Entry[T, M]
	timers     timers.Timers[T, *Entry[T, M]]
	now        T
}

// Entry is a member's place.
type Entry[T ~int64, M any] struct {
	Fast, Slow interval.Interval[T]
	member     M
	number     int
	queued     bool // among those to be looked at
	removed    bool
	timer      timers.Timer[T, *Entry[T, M]]
}

// New returns an agenda without members, with the lengths of the intervals.
func New[T ~int64, M any](fast, slow T) List[T, M] {
	return List[T, M]{fast: interval.NewSchedule(fast), slow: interval.NewSchedule(slow)}
}

// Add takes a member in, behind all others. Its intervals have ended, so it is looked at in this step.
func (a *List[T, M]) Add(e *Entry[T, M], member M) {
	*e = Entry[T, M]{member: member, number: a.added}
	e.timer.Member = e
	a.added++
	a.Queue(e)
}

// Remove takes a member out. It may be looked at once more.
func (a *List[T, M]) Remove(e *Entry[T, M]) {
	a.timers.Stop(&e.timer)
	e.removed = true
}

// Compare is the order of two members.
func (e *Entry[T, M]) Compare(other *Entry[T, M]) int { return e.number - other.number }

// Queue has a member looked at in this step, or in the next if this one's look is over.
func (a *List[T, M]) Queue(e *Entry[T, M]) {
	if !e.queued {
		e.queued, a.queued = true, append(a.queued, e)
	}
}

// Activate does so, and separates the member's intervals, as something is to be done when they end.
func (a *List[T, M]) Activate(e *Entry[T, M]) {
	a.Queue(e)
	e.Fast.Separate()
	e.Slow.Separate()
}

// Due are the members to be looked at in the step of a time, in their order. Call it once in each step.
func (a *List[T, M]) Due(now T) func(yield func(M) bool) {
	a.now = now
	a.fast.Advance(now)
	a.slow.Advance(now)
	for e, ok := a.timers.Due(now); ok; e, ok = a.timers.Due(now) {
		a.Queue(e)
	}
	slices.SortFunc(a.queued, (*Entry[T, M]).Compare)
	return func(yield func(M) bool) {
		for _, e := range a.queued {
			if !yield(e.member) {
				return
			}
		}
	}
}

// RestartFast and RestSlow begin a member's next interval.
func (a *List[T, M]) RestartFast(e *Entry[T, M]) { e.Fast.Restart(&a.fast, a.now) }

// RestartSlow begins the slow one.
func (a *List[T, M]) RestartSlow(e *Entry[T, M]) { e.Slow.Restart(&a.slow, a.now) }

// Never is the time of what is not due.
const Never = math.MaxInt64

// Finish ends a step: each member that was looked at, or touched since, is looked at again when a separate
// interval of its ends, or at the time that next tells.
func (a *List[T, M]) Finish(next func(M) T) {
	for _, e := range a.queued {
		e.queued = false
		at := next(e.member)
		for _, i := range []*interval.Interval[T]{&e.Fast, &e.Slow} {
			if end, separate := i.SeparateEnd(); separate {
				at = min(at, end)
			}
		}
		if e.removed || at == Never {
			a.timers.Stop(&e.timer)
		} else {
			a.timers.Set(&e.timer, at)
		}
	}
	clear(a.queued)
	a.queued = a.queued[:0]
}
