package scheduler

import (
	"math"
	"slices"
)

// dispatch starts the attempts that the budgets, the order and each request's conditions allow.
func (s *Scheduler) dispatch() {
	s.rechoosePlacements()
	var candidates []*node
	for sh := range s.busyShards.All {
		candidates = append(candidates, sh.nodes...)
	}
	slices.SortFunc(candidates, func(a, b *node) int { return a.work.Compare(&b.work) })
	for _, n := range candidates {
		sh := s.shardFor(n.Shard)
		for s.dispatchNext(n, sh) {
		}
	}
}

// dispatchNext starts the next attempt at a node. It returns false if the node is sent nothing more now.
func (s *Scheduler) dispatchNext(n *node, sh *shard) bool {
	if n.State != Running || sh.queuedUnits <= 0 || n.silentSince != 0 || s.now < n.backoffUntil {
		return false
	}
	r, rank := s.nextRequest(n, sh, math.Inf(1))
	if r == nil {
		return false
	}
	if s.needsCheckFirst(n) {
		s.checkHealth(n)
		return false
	}
	if !s.nodeAccepts(n, r, rank) {
		return false
	}
	if !s.slowStartAllows(n, r) {
		s.requestCapacity(n, sh, r)
		r, rank = s.nextRequest(n, sh, n.slowStart.Capacity(s.now))
		if r == nil || !s.nodeAccepts(n, r, rank) {
			return false
		}
	}
	s.startAttempt(n, sh, r, rank == rankReserved)
	return true
}

// nodeAccepts reports whether a node may be sent its next request. The node's own queue has no priorities,
// so requests of a low rank wait here until that queue is short.
func (s *Scheduler) nodeAccepts(n *node, r *request, rank int) bool {
	if n.isOutlier() { // at any rank: a waiting request becomes late, and late ones are sent after all others
		return len(n.pending) == 0
	}
	units, count, silent := s.outstanding(n)
	trialAllowed := count == 0 && (!s.settings.HealthChecks || s.now <= n.lastCheckOK+fastInterval)
	switch {
	case rank != rankReserved && s.now < n.throttledUntil,
		rank == rankLate && (units > 0 || !s.acceptsLate(n)),
		rank == rankWeight && !n.lowLatency && count > 0,
		silent && !trialAllowed:
		return false
	case len(n.pending) >= maxBudgetRequests, count > 0 && units+r.Units > n.Budget:
		n.budgetExhausted = true
		return false
	}
	return true
}

// acceptsLate reports whether a node without outstanding requests may be sent a request that misses its
// objective.
func (s *Scheduler) acceptsLate(n *node) bool {
	return n.lowLatency || s.settings.ServeLate || s.now >= n.LatencyUpdated+staleAfter
}

// Ready reports whether a request that arrived now would be sent at once, for callers that can delay its
// submission. It also returns true if the node is missing or silent, as waiting frees no capacity, and for
// one request per volume while others are queued for the shard: otherwise it would never be sent.
func (s *Scheduler) Ready(now Micros, e Request) bool {
	s.now = now
	sh, r := s.shardFor(e.Shard), s.newRequest(e)
	n := sh.activeNode
	f, found := s.flows.Get(flowKey{sh, r.volume})
	if n == nil || n.silentSince > 0 {
		return true
	}
	full := s.settings.MaxOpen > 0 && len(s.requests) >= s.settings.MaxOpen
	if full || s.now < n.backoffUntil || !s.mayStart(n, r) || !s.slowStartAllows(n, r) {
		return false
	}
	firstOfVolume := sh.queuedUnits > 0 && (!found || len(f.queued) == 0)
	return firstOfVolume || s.needsCheckFirst(n) || s.nodeAccepts(n, r, s.rankOf(r, s.missesObjective(n, r)))
}

// startAttempt sends a request to a node, draws its units from the limit and advances the tags.
func (s *Scheduler) startAttempt(n *node, sh *shard, r *request, reserved bool) {
	f := r.flow
	s.dequeue(r)
	s.drawTokens(r)
	s.advanceReservation(r, reserved)
	sh.virtualTime = max(sh.virtualTime, f.weightTag)
	f.weightTag += r.Units / max(r.volume.plan.Weight, minWeight)
	f.lastSentAt = s.now
	if len(r.attempts) > 0 {
		s.retryBudget.AddRetry(s.now)
	}
	if s.inSlowStart(n) {
		n.slowStart.Sent(s.now, r.Units)
	}
	r.attempts = append(r.attempts, attempt{n, s.now})
	r.outstanding++
	r.overtakenBy = 0
	n.lastSend = s.now
	s.work.Queue(&n.work)
	n.pending = append(n.pending, r)
	for _, controller := range s.latencyControllers(n, r) {
		controller.outstandingUnits += r.Units
	}
	s.actions = append(s.actions, StartAttempt{ID: r.ID, Node: n.Node, BeginBy: r.retryUntil})
}
