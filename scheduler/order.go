package scheduler // mClock order of what is held, and the guards of each request.

import "cmp"

// Ranks in which held requests leave.
const (
	rankReserved = iota // a reservation tag is due
	rankWeight          // by weight tag
	rankLate            // can't meet its aim any more
	rankNone
)

// pick is mClock: the earliest due reservation tag, else the smallest weight tag. Requests that can no longer
// meet their aim come after all that can. None is larger than the most units that there is room for.
func (s *Scheduler) pick(n *node, sh *shard, most float64) (best *request, rank int) {
	rank, bestTag := rankNone, 0.0
	for f := range sh.busy.All {
		s.fill(f.vol)
		r, late := s.head(n, f, most)
		if r == nil {
			continue
		}
		k, tag := s.rank(r, late), f.weight
		if k == rankReserved {
			tag = f.vol.reserve
		}
		if k < rank || k == rank && tag < bestTag {
			best, rank, bestTag = r, k, tag
		}
	}
	return best, rank
}

func (s *Scheduler) rank(r *request, late bool) int {
	switch {
	case late:
		return rankLate
	case s.due(r):
		return rankReserved
	}
	return rankWeight
}

// due tells that the reservation tag of a request's volume is due.
func (s *Scheduler) due(r *request) bool {
	return r.vol.plan.Reservation > 0 && r.vol.reserve+s.kept(r) <= float64(s.now)
}

// before is the order within a flow: what is worth more for its units, then the later aim. In the order of
// arrival an overloaded flow would serve all at the edge of their aims. Could hurt the few that wait.
func before(a, b *request) bool {
	return cmp.Or(cmp.Compare(b.class.Worth, a.class.Worth), cmp.Compare(b.aimAt, a.aimAt)) < 0
}

// head is the next request of a flow, one that can't meet its aim only if none can.
func (s *Scheduler) head(n *node, f *flow, most float64) (best *request, late bool) {
	late = true
	for _, r := range f.held {
		l := s.late(n, r)
		first := best == nil || !l && late || l == late && before(r, best)
		if first && r.Units <= most && s.eligible(n, r) {
			best, late = r, l
		}
	}
	return best, late
}

func (s *Scheduler) late(n *node, r *request) bool { return s.now+s.expected(n, r) > r.aimAt }

// eligible asks the guards whether a request may be sent now.
func (s *Scheduler) eligible(n *node, r *request) bool {
	v, c, p := r.vol, r.class, s.pool
	// A bucket that runs low keeps tokens for what is worth more than this request.
	keep := v.plan.Burst / v.hosts * (1 - c.Worth/s.worth) / 2
	switch {
	case v.plan.Limit > 0 && !r.drawn && !v.bucket.Bears(s.now, r.Units, keep),
		s.now >= r.deadline-s.margin() || !s.mayRepeat(r) || len(r.sends) > 0 && !s.allowance.Left(s.now),
		r.ran != nil && c.Repeat == Keyed && c.Group == SameShard && n.Shard != r.ran.node.Shard,
		r.ran != nil && c.Repeat == Keyed && c.Group == SameZone && n.Zone != r.ran.node.Zone,
		c.InOrder && !s.byKey.MayStart(r.Key, r, s.now, r.ran != nil):
		return false
	case r.placed && !s.due(r) && (s.now < p.pausedTo || p.outUnits > 0 && p.outUnits+r.Units > p.Budget):
		p.wasFull = true
		return false
	}
	return true
}
