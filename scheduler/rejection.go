package scheduler

import (
	"cmp"
	"slices"
)

// This file decides which requests are given up, when, and which first.

// rejectHopeless answers at once what will not be sent again or cannot be answered in time. Other requests
// wait until the last step that is sure to be in time; one that was never sent waits for half of its time,
// as its client may come again.
func (s *Scheduler) rejectHopeless() {
	spare := timerTicks*s.settings.Tick + s.sendMargin()
	for sh := range s.busyShards.All {
		for f := range sh.busyFlows.All {
			for _, r := range slices.Clone(f.queued) {
				answerAt := s.estimateAnswer(sh, r)
				tooLate := answerAt >= r.deadline-spare
				halfTimeOver := len(r.attempts) == 0 && s.now >= r.deadline-r.TimeLeft/2-spare
				if tooLate || !s.mayRetry(r) || halfTimeOver {
					s.finish(r, answerAt-s.now, DeadlineUnreachable)
				}
			}
		}
	}
}

// shedLoad rejects what is worth least while more requests are open than MaxOpen: each takes one of its
// client's few connections.
func (s *Scheduler) shedLoad() {
	for s.settings.MaxOpen > 0 && len(s.requests) > s.settings.MaxOpen {
		sh, r := s.leastValuable()
		if r == nil {
			return
		}
		s.finish(r, s.estimateAnswer(sh, r)-s.now, OverCapacity)
	}
}

// leastValuable returns the request, of those never sent, that earns least: one that misses its objective,
// then one beyond its volume's reservation, each time from the flow with the longest backlog for its
// weight.
func (s *Scheduler) leastValuable() (where *shard, worst *request) {
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
				where, worst, worstRank, worstBacklog = sh, r, rank, backlog
			}
		}
	}
	return where, worst
}

// sheddingRank is the rank in which a request is expected to leave, behind all that is queued of its flow.
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

// estimateAnswer is the earliest time of a queued request's answer. A node that is gone or silent is
// expected to stay so for as long again.
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
		answerAt = max(answerAt, s.now+s.owingFor(n))
	}
	answerAt += Micros(r.Units * n.UnitTime)
	if s.missesObjective(n, r) { // it waits for all others
		queue := n.SmoothedLatency * (n.outstandingUnits + sh.queuedUnits) / n.Budget
		answerAt = max(answerAt, s.now+Micros(queue))
	}
	if r.volume.plan.Limit > 0 && !r.tokensDrawn {
		untilRefilled := (r.Units - r.volume.bucket.Level) / r.volume.limitRate()
		answerAt = max(answerAt, s.now+Micros(untilRefilled))
	}
	return answerAt
}

// finish gives the final answer: a rejection only where a retry by the client is harmless, with the time
// until the request may be served.
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
