package scheduler

import (
	"cmp"
	"slices"
)

// rejectUnservable rejects queued requests that may not be sent again or can't be answered in time. Others
// wait until the last step that certainly precedes their deadline. A request that was never sent waits for
// at most half of its time left, so that its client has time to retry.
func (s *Scheduler) rejectUnservable() {
	margin := timerTicks*s.settings.Tick + s.sendMargin()
	for sh := range s.busyShards.All {
		for f := range sh.busyFlows.All {
			for _, r := range slices.Clone(f.queued) {
				answerAt := s.estimateAnswer(sh, r)
				tooLate := answerAt >= r.deadline-margin
				halfTimeOver := len(r.attempts) == 0 && s.now >= r.deadline-r.TimeLeft/2-margin
				if tooLate || !s.mayRetry(r) || halfTimeOver {
					s.finish(r, answerAt-s.now, DeadlineUnreachable)
				}
			}
		}
	}
}

// shedLoad rejects the least valuable requests while more than MaxOpen are open: each open request occupies
// one of its client's few connections.
func (s *Scheduler) shedLoad() {
	for s.settings.MaxOpen > 0 && len(s.requests) > s.settings.MaxOpen {
		sh, r := s.leastValuable()
		if r == nil {
			return
		}
		s.finish(r, s.estimateAnswer(sh, r)-s.now, OverCapacity)
	}
}

// leastValuable returns the request to shed first, among those never sent: one that misses its objective,
// then one beyond its volume's reservation. Among equals it is in the flow with the longest backlog
// relative to its weight, and there the last one to be served.
func (s *Scheduler) leastValuable() (worstShard *shard, worst *request) {
	worstRank, worstBacklog := rankReserved, 0.0
	for sh := range s.busyShards.All {
		for f := range sh.busyFlows.All {
			units := f.queuedUnits()
			backlog := max(0, f.weightTag-sh.virtualTime) + units/max(f.volume.plan.Weight, minWeight)
			for _, r := range f.queued {
				if len(r.attempts) > 0 {
					continue
				}
				rank := s.sheddingRank(sh, r, units)
				order := cmp.Or(cmp.Compare(rank, worstRank), cmp.Compare(backlog, worstBacklog))
				if worst != nil && (order < 0 || order == 0 && servedBefore(r, worst)) {
					continue
				}
				worstShard, worst, worstRank, worstBacklog = sh, r, rank, backlog
			}
		}
	}
	return worstShard, worst
}

// sheddingRank returns the rank that a request will have once all queued requests of its flow were sent.
func (s *Scheduler) sheddingRank(sh *shard, r *request, flowUnits float64) int {
	rate := s.reservationRate(r.volume)
	switch {
	case s.estimateAnswer(sh, r) > r.objectiveAt:
		return rankLate
	case rate == 0, r.volume.reservationTag+flowUnits/rate > float64(s.now+s.minObjective):
		return rankWeight
	}
	return rankReserved
}

// estimateAnswer returns the earliest time at which a queued request can be answered. A node that is
// missing or silent is expected to stay so for as long again as it has been.
func (s *Scheduler) estimateAnswer(sh *shard, r *request) Micros {
	n := sh.activeNode
	switch {
	case n == nil:
		return 2*s.now - sh.withoutNodeSince
	case n.silentSince > 0:
		return 2*s.now - n.silentSince
	}
	answerAt := max(s.now, n.backoffUntil, n.LatencyUpdated+Micros(n.SmoothedLatency))
	if _, _, silent := s.outstanding(n); silent {
		answerAt = max(answerAt, s.now+s.unansweredFor(n))
	}
	answerAt += Micros(r.Units * n.UnitTime)
	if s.missesObjective(n, r) { // late requests are sent after all others
		queueTime := n.SmoothedLatency * (n.outstandingUnits + sh.queuedUnits) / n.Budget
		answerAt = max(answerAt, s.now+Micros(queueTime))
	}
	if r.volume.plan.Limit > 0 && !r.tokensDrawn {
		untilRefilled := (r.Units - r.volume.bucket.Level) / r.volume.limitRate()
		answerAt = max(answerAt, s.now+Micros(untilRefilled))
	}
	return answerAt
}

// finish ends a request with its final answer: a Reject with the expected wait until it can be served, or a
// Fail if a retry by the client would be unsafe.
func (s *Scheduler) finish(r *request, wait Micros, reason Reason) {
	neverRan := r.mayHaveRun == nil && r.outstanding == 0
	class := r.class
	deduplicated := class.Idempotency == IdempotentByKey && class.DedupScope == AllNodes
	if class.Idempotency == Idempotent || neverRan || deduplicated {
		retryAfter := min(max(0, wait), s.settings.MaxRetryAfter)
		s.actions = append(s.actions, Reject{ID: r.ID, RetryAfter: retryAfter, Reason: reason})
	} else {
		s.actions = append(s.actions, Fail{ID: r.ID, Reason: reason})
	}
	s.rejected.Put(r.retryIdentity(), r)
	s.closeRequest(r)
}
