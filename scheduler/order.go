package scheduler

import "cmp"

// Ranks in the order in which queued requests are sent.
const (
	rankReserved = iota // the reservation tag is due
	rankWeight          // ordered by weight tag
	rankLate            // the latency objective can't be met any more
	rankNone
)

// nextRequest implements mClock: it returns the request with the earliest due reservation tag, otherwise
// the one with the smallest weight tag, and the request's rank. Requests that miss their objective come
// after all others, and requests larger than maxUnits are skipped.
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
	return v.plan.Reservation > 0 && v.reservationTag+s.keptReservation(r) <= float64(s.now)
}

// keptReservation returns the part of a volume's unused reservation that is kept for requests of higher
// priority, as a time.
func (s *Scheduler) keptReservation(r *request) float64 {
	return s.priorityDeficit(r) / 2 * (float64(second) + s.settings.MaxUnits/s.reservationRate(r.volume))
}

// priorityDeficit returns by how much a request's priority is below the highest one, from 0 to 1.
func (s *Scheduler) priorityDeficit(r *request) float64 { return 1 - r.class.Priority/s.maxPriority }

// servedBefore reports whether a precedes b in their flow: requests of higher priority come first, then those
// with later objectives. In order of arrival, an overloaded flow would answer all requests just as their
// objectives end.
func servedBefore(a, b *request) bool {
	byPriority := cmp.Compare(b.class.Priority, a.class.Priority)
	return cmp.Or(byPriority, cmp.Compare(b.objectiveAt, a.objectiveAt)) < 0
}

// flowHead returns the flow's next request that may start, nil if none may, and whether it misses its
// objective. Such a request is returned only if all that may start miss theirs.
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

// missesObjective reports whether an attempt that starts now would be answered after the objective.
func (s *Scheduler) missesObjective(n *node, r *request) bool {
	return s.now+s.expectedLatency(n, r) > r.objectiveAt
}

// mayStart reports whether an attempt of a request may start at a node now.
func (s *Scheduler) mayStart(n *node, r *request) bool {
	tooLate := s.now >= r.deadline-s.sendMargin()
	noRetryBudget := len(r.attempts) > 0 && !s.retryBudget.Allows(s.now)
	hasTurn := !r.class.InOrder || s.keyQueues.MayStart(r.Key, r, s.now, r.mayHaveRun != nil)
	if !s.withinLimit(r) || tooLate || !s.mayRetry(r) || noRetryBudget || !r.deduplicatedAt(n) || !hasTurn {
		return false
	}
	pool := s.placementPool
	if r.newObject && !s.reservationDue(r) && (s.now < pool.throttledUntil || pool.exceedsBudget(r)) {
		pool.budgetExhausted = true
		return false
	}
	return true
}

// withinLimit reports whether the limit's token bucket holds the units of a request. A low bucket keeps
// tokens for requests of higher priority.
func (s *Scheduler) withinLimit(r *request) bool {
	v := r.volume
	if v.plan.Limit <= 0 || r.tokensDrawn {
		return true
	}
	kept := v.plan.Burst / v.fronts * s.priorityDeficit(r) / 2
	return v.bucket.Allows(s.now, r.Units, kept)
}

// deduplicatedAt reports whether a node would drop a retry if an earlier attempt ran, where that matters.
func (r *request) deduplicatedAt(n *node) bool {
	if r.mayHaveRun == nil || r.class.Idempotency != IdempotentByKey {
		return true
	}
	firstNode := r.mayHaveRun.node
	switch r.class.DedupScope {
	case SameShard:
		return n.Shard == firstNode.Shard
	case SameZone:
		return n.Zone == firstNode.Zone
	}
	return true
}

// exceedsBudget reports whether a request and the outstanding ones together exceed the budget.
func (n *node) exceedsBudget(r *request) bool {
	return n.outstandingUnits > 0 && n.outstandingUnits+r.Units > n.Budget
}
