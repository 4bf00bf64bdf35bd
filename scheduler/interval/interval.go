// Package interval implements recurring intervals of one length for many members. Those of idle members are renewed
// without touching any of them: idle members whose intervals end at the same step form a group, which goes on as one.
// It reads no clock.
//
// Groups are merged by union by rank with path halving, so a member finds its group in a number of links that is at most
// the logarithm of the number of groups merged (Tarjan, Efficiency of a good but not linear set union algorithm, 1975).
package interval

// Group is the interval of some idle members. Once merged it stands for the group that it was merged into.
type Group[T ~int64] struct {
	end    T
	rank   int
	parent *Group[T]
}

// End returns when the current interval of a group ends.
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
	current *Group[T]   // the one whose interval began at the last step, nil for none
}

// NewSchedule returns a schedule of intervals of a length.
func NewSchedule[T ~int64](length T) Schedule[T] { return Schedule[T]{length: length} }

// Advance merges the groups whose intervals have ended by now and begins their next one. Times must not go back.
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

// Begin returns the group of members whose interval begins now, which is the time of the last Advance.
func (s *Schedule[T]) Begin(now T) *Group[T] {
	if s.current == nil {
		s.current = &Group[T]{end: now + s.length}
		s.queue = append(s.queue, s.current)
	}
	return s.current
}

// Interval is the interval of one member. That of an idle member belongs to a group; that of a member with something to
// do at its end is separate.
type Interval[T ~int64] struct {
	group *Group[T]
	end   T
}

// Separate takes an interval out of its group. It ends when it would have.
func (i *Interval[T]) Separate() {
	if i.group != nil {
		i.end, i.group = i.group.End(), nil
	}
}

// SeparateEnd returns when a separate interval ends, and whether it is separate.
func (i *Interval[T]) SeparateEnd() (end T, separate bool) { return i.end, i.group == nil }

// Ended reports whether an interval is separate and has ended.
func (i *Interval[T]) Ended(now T) bool { return i.group == nil && now >= i.end }

// Restart begins the member's next interval, as an idle one.
func (i *Interval[T]) Restart(s *Schedule[T], now T) { i.group, i.end = s.Begin(now), 0 }
