// Package worklist determines which members are processed in a step: those at which something happened and those at which
// something is due. The other members cost no time. It reads no clock.
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

// Entry is a member's place in a list.
type Entry[T ~int64, M any] struct {
	Fast, Slow interval.Interval[T]
	member     M
	order      int
	queued     bool // in the list's queue
	removed    bool
	timer      timers.Timer[T, *Entry[T, M]]
}

// New returns a list without members. fast and slow are the lengths of the intervals.
func New[T ~int64, M any](fast, slow T) List[T, M] {
	return List[T, M]{fast: interval.NewSchedule(fast), slow: interval.NewSchedule(slow)}
}

// Add adds a member after all others. Its intervals have ended, so it is processed in this step.
func (l *List[T, M]) Add(e *Entry[T, M], member M) {
	*e = Entry[T, M]{member: member, order: l.added}
	e.timer.Member = e
	l.added++
	l.Queue(e)
}

// Remove removes a member. If it is queued, it is processed once more.
func (l *List[T, M]) Remove(e *Entry[T, M]) {
	l.timers.Stop(&e.timer)
	e.removed = true
}

// Compare compares two members by the order in which they were added.
func (e *Entry[T, M]) Compare(other *Entry[T, M]) int { return e.order - other.order }

// Queue has a member processed in this step, or in the next one if this step has finished. For a member that is queued
// between Due and Finish, Finish sets the time at which it is processed.
func (l *List[T, M]) Queue(e *Entry[T, M]) {
	if !e.queued {
		e.queued, l.queued = true, append(l.queued, e)
	}
}

// Activate queues a member and separates its intervals, because there is work to do when they end.
func (l *List[T, M]) Activate(e *Entry[T, M]) {
	l.Queue(e)
	e.Fast.Separate()
	e.Slow.Separate()
}

// Due returns the members to process in the step at the time now, in the order in which they were added. It is called once
// per step.
func (l *List[T, M]) Due(now T) func(yield func(M) bool) {
	l.now = now
	l.fast.Advance(now)
	l.slow.Advance(now)
	for e, ok := l.timers.Due(now); ok; e, ok = l.timers.Due(now) {
		l.Queue(e)
	}
	slices.SortFunc(l.queued, (*Entry[T, M]).Compare)
	return func(yield func(M) bool) {
		for _, e := range l.queued {
			if !yield(e.member) {
				return
			}
		}
	}
}

// RestartFast begins a member's next fast interval.
func (l *List[T, M]) RestartFast(e *Entry[T, M]) { e.Fast.Restart(&l.fast, l.now) }

// RestartSlow begins a member's next slow interval.
func (l *List[T, M]) RestartSlow(e *Entry[T, M]) { e.Slow.Restart(&l.slow, l.now) }

// Never is the time of a member at which nothing is due.
const Never = math.MaxInt64

// Finish ends a step. Each member that was processed in it, or queued since Due, is processed again when one of its separate
// intervals ends or at the time that next returns, whichever is earlier.
func (l *List[T, M]) Finish(next func(M) T) {
	for _, e := range l.queued {
		e.queued = false
		at := next(e.member)
		for _, i := range []*interval.Interval[T]{&e.Fast, &e.Slow} {
			if end, separate := i.SeparateEnd(); separate {
				at = min(at, end)
			}
		}
		if e.removed || at == Never {
			l.timers.Stop(&e.timer)
		} else {
			l.timers.Set(&e.timer, at)
		}
	}
	clear(l.queued)
	l.queued = l.queued[:0]
}
