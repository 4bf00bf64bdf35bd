package scheduler

import "cmp"

// This file is the mClock order of what is queued, with the guards of each request.

// Ranks in which queued requests are sent.
const (
	rankReserved = iota // a reservation tag is due
	rankWeight          // by weight tag
	rankLate            // the objective can't be met any more
	rankNone
)

// nextRequest is mClock: the earliest due reservation tag, else the smallest weight tag. Requests that miss
// their objective come after all others. None is larger than maxUnits.
func (s *Scheduler) nextRequest(n *node, sh *shard, maxUnits float64) (best *request, bestRank int) {
	bestRank, bestTag := rankNone, 0.0
	for f := range sh.busyFlows.All {
		s.refill(f.volume)
		r, late := s.flowHead(n, f, maxUnits)
		if r == nil {
			continue
		}
		rank, tag := s.rankOf(r, late), f.weightTag
		if rank == rankReserved {
			tag = f.volume.reservationTag
		}
		if rank < bestRank || rank == bestRank && tag < bestTag {
			best, bestRank, bestTag = r, rank, tag
		}
	}
	return best, bestRank
}

func (s *Scheduler) rankOf(r *request, late bool) int {
	switch {
	case late:
		return rankLate
	case s.reservationDue(r):
		return rankReserved
	}
	return rankWeight
}

// reservationDue reports whether the reservation tag of a request's volume is due.
func (s *Scheduler) reservationDue(r *request) bool {
	v := r.volume
	return v.plan.Reservation > 0 && v.reservationTag+s.reservationReserve(r) <= float64(s.now)
}

// reservationReserve is how much of a reservation's store waits for requests of a higher priority, as time.
func (s *Scheduler) reservationReserve(r *request) float64 {
	return s.lowerPriority(r) / 2 * (float64(second) + s.settings.MaxUnits/s.reservationRate(r.volume))
}

// lowerPriority is by how much a request's priority is below the highest one, from 0 to 1.
func (s *Scheduler) lowerPriority(r *request) float64 { return 1 - r.class.Priority/s.maxPriority }

// servedBefore is the order within a flow: the higher priority, then the later objective. In the order of
// arrival an overloaded flow would serve all at the edge of their objectives.
func servedBefore(a, b *request) bool {
	byPriority := cmp.Compare(b.class.Priority, a.class.Priority)
	return cmp.Or(byPriority, cmp.Compare(b.objectiveAt, a.objectiveAt)) < 0
}

// flowHead is the next request of a flow that may start, one that misses its objective only if all do.
func (s *Scheduler) flowHead(n *node, f *flow, maxUnits float64) (best *request, bestLate bool) {
	bestLate = true
	for _, r := range f.queued {
		late := s.missesObjective(n, r)
		first := best == nil || !late && bestLate || late == bestLate && servedBefore(r, best)
		if first && r.Units <= maxUnits && s.mayStart(n, r) {
			best, bestLate = r, late
		}
	}
	return best, bestLate
}

// missesObjective reports whether an attempt that started now would be answered too late.
func (s *Scheduler) missesObjective(n *node, r *request) bool {
	return s.now+s.expectedLatency(n, r) > r.objectiveAt
}

// mayStart asks the guards of a request whether an attempt at a node may start now.
func (s *Scheduler) mayStart(n *node, r *request) bool {
	outOfTime := s.now >= r.deadline-s.sendMargin()
	overBudget := len(r.attempts) > 0 && !s.retryBudget.Allows(s.now)
	inTurn := !r.class.InOrder || s.keyQueues.MayStart(r.Key, r, s.now, r.mayHaveRun != nil)
	if !s.withinLimit(r) || outOfTime || !s.mayRetry(r) || overBudget || !r.deduplicatedAt(n) || !inTurn {
		return false
	}
	pool := s.placementPool
	if r.newObject && !s.reservationDue(r) && (s.now < pool.throttledUntil || pool.exceedsBudget(r)) {
		pool.budgetExhausted = true
		return false
	}
	return true
}

// withinLimit reports whether the limit's bucket has the units of a request. One that runs low keeps tokens
// for requests of a higher priority.
func (s *Scheduler) withinLimit(r *request) bool {
	v := r.volume
	if v.plan.Limit <= 0 || r.tokensDrawn {
		return true
	}
	keep := v.plan.Burst / v.fronts * s.lowerPriority(r) / 2
	return v.bucket.Allows(s.now, r.Units, keep)
}

// deduplicatedAt reports whether a retry at a node is dropped there if an earlier attempt ran.
func (r *request) deduplicatedAt(n *node) bool {
	if r.mayHaveRun == nil || r.class.Idempotency != IdempotentByKey {
		return true
	}
	former := r.mayHaveRun.node
	switch r.class.DedupScope {
	case SameShard:
		return n.Shard == former.Shard
	case SameZone:
		return n.Zone == former.Zone
	}
	return true
}

// exceedsBudget reports whether a request passes the budget beside what is outstanding.
func (n *node) exceedsBudget(r *request) bool {
	return n.outstandingUnits > 0 && n.outstandingUnits+r.Units > n.Budget
}
