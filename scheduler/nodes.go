package scheduler

import (
	"cmp"

	"otterturn/scheduler/worklist"
)

// nextReview returns when to review a node next.
func (s *Scheduler) nextReview(n *node) Micros {
	next := Micros(worklist.Never)
	if s.settings.HealthChecks && n.silentSince > 0 && n.State == Running {
		next = n.nextCheck
	}
	switch {
	case len(n.pending) == 0:
		return next
	case s.hasRecentLoss(n):
		return s.now
	}
	return min(next, s.now-s.unansweredFor(n)+s.silenceTimeout(n)+1)
}

// isOutlier reports whether most of a node's answers are errors. An outlier is sent one request at a time,
// not before half the shortest objective has passed since its last error, and no new objects.
func (n *node) isOutlier() bool { return n.ErrorRate > outlierErrorRate }

// silenceTimeout returns the time without any answer after which a node counts as silent.
func (s *Scheduler) silenceTimeout(n *node) Micros {
	return max(s.minObjective, Micros(4*n.SmoothedLatency))
}

// unansweredFor returns for how long a node has had requests outstanding and answered none. It is the first
// sign of a node that slows down.
func (s *Scheduler) unansweredFor(n *node) Micros {
	if len(n.pending) == 0 {
		return 0
	}
	return s.now - max(n.pending[0].lastSentAt(), n.LastAnswer)
}

// lastSentAt returns when the last attempt was sent.
func (r *request) lastSentAt() Micros { return r.attempts[len(r.attempts)-1].sentAt }

// expectedLatency returns the latency that the node usually has for a request of this size.
func (s *Scheduler) expectedLatency(n *node, r *request) Micros {
	return Micros(n.SmoothedLatency + (r.Units-s.settings.MeanUnits)*n.UnitTime)
}

// isOverdue reports whether a request has been outstanding for much longer than the node usually takes.
func (s *Scheduler) isOverdue(n *node, r *request) bool {
	return s.now-r.lastSentAt() > cmp.Or(overdueFactor*s.expectedLatency(n, r), s.minObjective)
}

// hasRecentLoss reports whether an attempt recently timed out although later ones were answered.
func (s *Scheduler) hasRecentLoss(n *node) bool {
	return n.lastLoss > 0 && s.now < n.lastLoss+curvePoints*slowInterval
}

// outstanding returns the units and requests that count against the budget. If the node is silent or loses
// attempts, overdue requests don't count: one that was overtaken is lost, any other is a sign of silence.
func (s *Scheduler) outstanding(n *node) (units float64, count int, silent bool) {
	if !s.hasRecentLoss(n) && s.unansweredFor(n) <= s.silenceTimeout(n) {
		return n.outstandingUnits, len(n.pending), false
	}
	for _, r := range n.pending {
		switch {
		case !s.isOverdue(n, r):
			units += r.Units
			count++
		case r.overtakenBy < lostAfterAnswers:
			silent = true
		}
	}
	return units, count, silent
}

// reviewNode checks the health of a node that failed or may be silent, until it answers. It cancels lost
// attempts at a node that answers others, if a retry can be in time.
func (s *Scheduler) reviewNode(n *node) {
	_, _, silent := s.outstanding(n)
	checkDue := s.settings.HealthChecks && n.State == Running && s.now >= n.nextCheck
	if checkDue && (n.silentSince > 0 || silent) {
		s.checkHealth(n)
	}
	for _, r := range n.pending {
		if s.isLost(n, r) && s.mayCancel(n, r) {
			r.cancelled = true
			s.actions = append(s.actions, CancelAttempt{ID: r.ID, Attempt: len(r.attempts) - 1})
		}
	}
}

// isLost reports whether a request's attempt counts as lost.
func (s *Scheduler) isLost(n *node, r *request) bool {
	return s.hasRecentLoss(n) && r.overtakenBy >= lostAfterAnswers && s.isOverdue(n, r)
}

// mayCancel reports whether a request's attempt may be cancelled and a retry can be answered in time.
func (s *Scheduler) mayCancel(n *node, r *request) bool {
	if !s.settings.CancelAttempts || r.cancelled || r.finished || r.class.Idempotency == NotIdempotent {
		return false
	}
	inTime := s.now+s.expectedLatency(n, r) < r.deadline-s.sendMargin()
	return inTime && s.mayRetry(r) && s.retryBudget.Allows(s.now)
}

// checkHealth starts a health check of a node, unless one is running.
func (s *Scheduler) checkHealth(n *node) {
	if n.checkRunning {
		return
	}
	s.work.Queue(&n.work)
	n.checkRunning = true
	n.lastCheckSent = s.now
	n.nextCheck = s.now + max(fastInterval, (s.now-n.lastSend)/8)
	s.actions = append(s.actions, CheckHealth{Node: n.Node})
}

// healthChecked handles the result of a health check.
func (s *Scheduler) healthChecked(e HealthChecked) {
	n := s.nodesByName[e.Node]
	if n == nil {
		return
	}
	s.work.Queue(&n.work)
	n.checkRunning = false
	if e.OK && n.lastCheckSent < n.SuspectedRestart { // sent before the last failure
		return
	}
	// A process that has ended can't answer a check that was sent as its connection broke.
	sentAtBreak := n.lastCheckSent <= n.SuspectedRestart+fastInterval
	if e.OK && n.brokenAt > 0 && sentAtBreak && s.now < n.lastCheckSent+s.minObjective {
		n.SuspectedRestart = n.previousSuspicion
	}
	n.brokenAt = 0
	n.lastCheckResult = s.now
	if !e.OK {
		return
	}
	n.silentSince = 0
	n.lastCheckOK = s.now
	if e.Queue >= 0 {
		s.boundLatency(n, e.Queue)
	}
}

// boundLatency bounds the smoothed latency by the number of requests that wait at the node.
func (s *Scheduler) boundLatency(n *node, queueLength float64) {
	timePerRequest := n.UnitTime * s.settings.MeanUnits
	n.SmoothedLatency = min(n.SmoothedLatency, timePerRequest*(1+queueLength))
	n.LatencyUpdated = s.now
	if timePerRequest*queueLength > float64(s.minObjective) {
		n.SmoothedLatency = max(n.SmoothedLatency, timePerRequest*queueLength)
	}
}

// needsCheckFirst reports whether a health check must precede a request. It must if slow answers are not rare
// or the node was slow, and neither an answer nor a check's result has come for a slow interval. Otherwise
// each of many fronts would notice an overloaded node only by a slow request of its own, and would not notice
// that it has recovered.
func (s *Scheduler) needsCheckFirst(n *node) bool {
	slow := s.slowShare > 1.0/slowShareSamples || n.SmoothedLatency > float64(s.minObjective)
	outdated := s.now > max(n.LatencyUpdated, n.lastCheckResult)+slowInterval
	return s.settings.HealthChecks && slow && outdated
}
