// Package interval implements recurring intervals of one length for many members. Idle members whose intervals end at the
// same step form a group with a single interval, so the intervals of idle members are renewed without visiting the members.
// It reads no clock.
//
// Groups are merged by union by rank with path halving, so the path from a member to its group has at most as many links as
// the logarithm of the number of groups merged (Tarjan, Efficiency of a good but not linear set union algorithm, 1975).
package interval

// Group is the shared interval of some idle members. A group that was merged into another one represents that one.
type Group[T ~int64] struct {
	end    T
	rank   int
	parent *Group[T]
}

// End returns the time at which the current interval of a group ends.
func (g *Group[T]) End() T { return g.root().end }

func (g *Group[T]) root() *Group[T] {
	for g.parent != nil {
		if g.parent.parent != nil {
			g.parent = g.parent.parent
		}
		g = g.parent
	}
	return g
}

// Schedule holds the groups of intervals of one length.
type Schedule[T ~int64] struct {
	length  T
	queue   []*Group[T] // earliest end first
	current *Group[T]   // group whose interval began at the last step, or nil
}

// NewSchedule returns a schedule for intervals of the given length.
func NewSchedule[T ~int64](length T) Schedule[T] { return Schedule[T]{length: length} }

// Advance merges the groups whose intervals have ended by now and begins their next interval. Times must not decrease from
// call to call.
func (s *Schedule[T]) Advance(now T) {
	ended := 0
	s.current = nil
	for ; ended < len(s.queue) && s.queue[ended].end <= now; ended++ {
		g := s.queue[ended]
		switch {
		case s.current == nil:
			s.current = g
		case g.rank > s.current.rank:
			s.current.parent, s.current = g, g
		default:
			g.parent = s.current
			s.current.rank = max(s.current.rank, g.rank+1)
		}
	}
	if ended > 0 {
		s.queue = append(s.queue[:0], s.queue[ended:]...)
		s.current.end = now + s.length
		s.queue = append(s.queue, s.current)
	}
}

// Begin returns the group of the members whose interval begins now. now must be the time of the last Advance.
func (s *Schedule[T]) Begin(now T) *Group[T] {
	if s.current == nil {
		s.current = &Group[T]{end: now + s.length}
		s.queue = append(s.queue, s.current)
	}
	return s.current
}

// Interval is the interval of one member. The interval of an idle member belongs to a group; that of a member with work to
// do at its end is separate.
type Interval[T ~int64] struct {
	group *Group[T]
	end   T
}

// Separate takes an interval out of its group without changing its end.
func (i *Interval[T]) Separate() {
	if i.group != nil {
		i.end, i.group = i.group.End(), nil
	}
}

// SeparateEnd returns when a separate interval ends, and whether it is separate.
func (i *Interval[T]) SeparateEnd() (end T, separate bool) { return i.end, i.group == nil }

// Ended reports whether an interval is separate and has ended.
func (i *Interval[T]) Ended(now T) bool { return i.group == nil && now >= i.end }

// Restart begins the member's next interval as that of an idle member.
func (i *Interval[T]) Restart(s *Schedule[T], now T) { i.group, i.end = s.Begin(now), 0 }
