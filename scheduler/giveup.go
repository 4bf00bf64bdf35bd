package scheduler // Giving requests up: what is refused or failed, when, and which first.

import (
	"cmp"
	"slices"
)

// giveUp answers at once what won't be sent again or can't be answered in time. Others wait until the last
// step sure to be in time; what was never sent for half its time, as its client may come again.
func (s *Scheduler) giveUp() {
	spare := wakeTicks*s.set.Tick + s.margin()
	for sh := range s.busy.All {
		for f := range sh.busy.All {
			for _, r := range slices.Clone(f.held) {
				at, half := s.answerAt(sh, r), r.deadline-r.Left/2
				if at >= r.deadline-spare || !s.mayRepeat(r) || len(r.sends) == 0 && s.now >= half-spare {
					s.finish(r, at-s.now, NotInTime)
				}
			}
		}
	}
}

// shed refuses what is worth least while more requests are open than MaxOpen. Each takes one of its client's
// few connections. Could hurt where a flood ends just as its requests are refused.
func (s *Scheduler) shed() {
	for s.set.MaxOpen > 0 && len(s.reqs) > s.set.MaxOpen {
		sh, r := s.least()
		if r == nil {
			return
		}
		s.finish(r, s.answerAt(sh, r)-s.now, NoRoom)
	}
}

// least is the request never sent that earns least: one that will be late, then one beyond its volume's
// reservation, each time from the flow with the longest backlog for its weight.
func (s *Scheduler) least() (where *shard, worst *request) {
	rank, backlog := rankReserved, 0.0
	for sh := range s.busy.All {
		for f := range sh.busy.All {
			units := 0.0
			for _, r := range f.held {
				units += r.Units
			}
			tag := max(0, f.weight-sh.virtual) + units/max(f.vol.plan.Weight, 1e-9)
			rate := s.reservation(f.vol)
			for _, r := range f.held {
				k := rankReserved
				if s.answerAt(sh, r) > r.aimAt {
					k = rankLate
				} else if rate == 0 || f.vol.reserve+units/rate > float64(s.now+s.aim) {
					k = rankWeight
				}
				order := cmp.Or(cmp.Compare(k, rank), cmp.Compare(tag, backlog))
				if len(r.sends) > 0 || worst != nil && (order < 0 || order == 0 && before(r, worst)) {
					continue
				}
				where, worst, rank, backlog = sh, r, k, tag
			}
		}
	}
	return where, worst
}

// answerAt is the earliest time of a held request's answer. A node that is gone or silent is expected to stay
// so for as long again. What it held goes first; late requests wait for all others; buckets have to fill.
func (s *Scheduler) answerAt(sh *shard, r *request) Micros {
	n := sh.node
	switch {
	case n == nil:
		return 2*s.now - sh.since
	case n.mute > 0:
		return 2*s.now - n.mute
	}
	at := max(s.now, n.fullTo, n.Judged+Micros(n.Usual))
	if _, _, silent := s.live(n); silent {
		at = max(at, s.now+s.waiting(n))
	}
	at += Micros(r.Units * n.Unit)
	if s.late(n, r) {
		at = max(at, s.now+Micros(n.Usual*(n.outUnits+sh.units)/n.Budget))
	}
	if p := r.vol.plan; p.Limit > 0 && !r.drawn {
		at = max(at, s.now+Micros((r.Units-r.vol.bucket.Level)/r.vol.rate()))
	}
	return at
}

// finish gives the final answer: a refusal only where it is harmless, with the time until it may be served.
func (s *Scheduler) finish(r *request, wait Micros, why Reason) {
	c, a := r.class, Action(Fail{ID: r.ID, Why: why})
	if c.Repeat == Safe || r.ran == nil && r.out == 0 || c.Repeat == Keyed && c.Group == AllNodes {
		a = Refuse{ID: r.ID, RetryAfter: min(max(0, wait), s.set.MaxRetryAfter), Why: why}
	}
	s.out = append(s.out, a)
	s.refused.Put(r.origin(), r)
	s.close(r)
}
