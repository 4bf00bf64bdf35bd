package scheduler

import (
	"cmp"

	"otterturn/scheduler/curve"
	"otterturn/scheduler/quantile"
)

// observe passes the outcome of an attempt to the control loops and to the node's health state.
func (s *Scheduler) observe(n *node, r *request, e AttemptEnded) {
	switch e.Result {
	case OK, Errored:
		s.observeAnswer(n, r, e)
	case Expired:
		n.markAnswered(s.now)
	case QueueFull:
		// A full queue takes long to drain: requests sent before that would be rejected again or be late.
		n.markAnswered(s.now)
		n.backoffUntil = s.now + queueFullPause*s.minObjective
		n.Budget = max(n.Budget/2, s.settings.MeanUnits)
	case TimedOut:
		s.observeTimeout(n, r, e)
	case Unreachable, Reset:
		if !e.Alive {
			s.suspectRestart(n, e.Result)
		}
	}
}

// markAnswered records that the node showed that it is serving.
func (n *node) markAnswered(now Micros) {
	n.LastAnswer = now
	n.silentSince = 0
}

func (s *Scheduler) observeAnswer(n *node, r *request, e AttemptEnded) {
	n.markAnswered(s.now)
	if s.inSlowStart(n) {
		s.slowStartAnswered(n, r, e.Latency)
	}
	if e.Result == Errored {
		n.ErrorRate += (1 - n.ErrorRate) / errorRateSamples
	} else {
		n.ErrorRate -= n.ErrorRate / errorRateSamples
	}
	if n.isOutlier() && e.Result == Errored {
		// Errors are quick: counted as latencies they would draw ever more requests to a failing node.
		n.backoffUntil = s.now + s.minObjective/2
		return
	}
	latency := n.normalizeLatency(float64(e.Latency), r.Units, s.settings.MeanUnits)
	for _, controller := range s.latencyControllers(n, r) {
		s.work.Activate(&controller.work)
		s.updateLatency(controller, latency)
		controller.addAnswer(latency, r.Units)
	}
}

// addAnswer adds an answer to the current fast and slow interval.
func (n *node) addAnswer(latency, units float64) {
	n.slowMinLatency = min(latency, cmp.Or(n.slowMinLatency, latency))
	n.fastMinLatency = min(latency, cmp.Or(n.fastMinLatency, latency))
	n.slowServedUnits += units
	n.slowLatencySum += latency
	n.slowAnswers++
}

// observeTimeout treats an attempt that timed out as lost if later ones were answered, otherwise as slow.
func (s *Scheduler) observeTimeout(n *node, r *request, e AttemptEnded) {
	if r.overtakenBy >= lostAfterAnswers {
		n.lastLoss = s.now
	} else {
		for _, controller := range s.latencyControllers(n, r) {
			s.updateLatency(controller, float64(e.Latency))
		}
	}
	if n.LastAnswer < s.now-s.silenceTimeout(n) {
		n.silentSince = cmp.Or(n.silentSince, s.now)
	}
}

// suspectRestart handles a failed connection as the end of the node's process: the next process may be in
// slow start before the endpoint list reports it. A lost answer or a broken connection can have other
// causes, so a health check becomes due at once.
func (s *Scheduler) suspectRestart(n *node, result Result) {
	switch {
	case result == Unreachable:
		n.brokenAt = 0
	case n.brokenAt == 0:
		n.previousSuspicion = n.SuspectedRestart
		n.brokenAt = s.now
	}
	n.silentSince = cmp.Or(n.silentSince, s.now)
	n.SuspectedRestart = s.now
	n.nextCheck = s.now
	s.resetSlowStart(n)
}

// latencyControllers returns the controllers of the queues in which an attempt waits: the node's and, for a
// new object, also that of the pool of all nodes. One of many fronts sends to a node too rarely to notice
// an overload: some node always seems fast, and together the fronts overload it.
func (s *Scheduler) latencyControllers(n *node, r *request) []*node {
	if r.newObject {
		return []*node{n, s.placementPool}
	}
	return []*node{n}
}

// updateLatency smooths the latency of answers and timeouts. With many fronts, one request per front fills
// a node, and a budget below one request would need more answers than a front gets. So at the minimum
// budget, requests beyond the reservations are paused: for longer the further the last two latencies exceed
// the target, for one slow interval at most.
func (s *Scheduler) updateLatency(n *node, latency float64) {
	n.SmoothedLatency = cmp.Or(n.SmoothedLatency, latency)
	n.SmoothedLatency += (latency - n.SmoothedLatency) / latencySamples
	excess := min(latency, n.PreviousLatency) / max(n.Target, float64(s.minObjective)/2)
	if excess > 1 && n.Budget <= s.settings.MeanUnits {
		n.throttledUntil = s.now + min(slowInterval, Micros(latency*(excess*excess-1)))
	}
	n.PreviousLatency = latency
	n.LatencyUpdated = s.now
	if n == s.placementPool {
		return
	}
	s.slowShare -= s.slowShare / slowShareSamples
	if latency > float64(s.minObjective) {
		s.slowShare += 1.0 / slowShareSamples
	}
}

// normalizeLatency scales a latency to a request of mean size. Otherwise small requests, and retries that
// the node has cached, would set a minimum that no other request reaches. The time per unit is estimated
// as a low quantile; the rest of a latency is waiting time.
func (n *node) normalizeLatency(latency, units, meanUnits float64) float64 {
	n.UnitTime = quantile.Low(n.UnitTime, latency/units)
	waiting := max(0, latency-units*n.UnitTime)
	return waiting + meanUnits*n.UnitTime
}

// fastLoop runs Queuing Budget Adjusting CoDel.
func (s *Scheduler) fastLoop(n *node) {
	if !n.work.Fast.Ended(s.now) {
		return
	}
	if n.fastMinLatency > 0 {
		s.adjustBudget(n)
	}
	s.work.RestartFast(&n.work)
}

// adjustBudget adapts the budget to the lowest latency of the fast interval. An increase amounts to one
// mean request over all fronts.
func (s *Scheduler) adjustBudget(n *node) {
	n.lowLatency = n.fastMinLatency <= n.Target/2
	switch {
	case n.fastMinLatency > n.Target:
		n.Budget *= n.Target / n.fastMinLatency
	case n.budgetExhausted:
		n.Budget += s.settings.MeanUnits / float64(s.settings.Fronts)
	}
	n.Budget = min(max(n.Budget, s.settings.MeanUnits), maxBudgetRequests*s.settings.MeanUnits)
	n.fastMinLatency = 0
	n.budgetExhausted = false
}

// slowLoop adds a point to the throughput-latency curve and sets the target to the latency at curveSlope.
func (s *Scheduler) slowLoop(n *node) {
	if !n.work.Slow.Ended(s.now) {
		return
	}
	end, _ := n.work.Slow.SeparateEnd()
	if n.slowAnswers > 0 && end > 0 {
		s.adjustTarget(n, float64(s.now-end+slowInterval)/float64(second))
	}
	n.slowServedUnits, n.slowLatencySum, n.slowAnswers, n.slowMinLatency = 0, 0, 0, 0
	s.work.RestartSlow(&n.work)
}

// adjustTarget updates curve and target with the answers of the last span seconds.
func (s *Scheduler) adjustTarget(n *node, span float64) {
	point := curve.Point{
		Throughput: n.slowServedUnits / span,
		Latency:    n.slowLatencySum / n.slowAnswers,
		Low:        n.slowMinLatency,
	}
	n.Curve = n.Curve.Add(point, curvePoints)
	latency, lowest := n.Curve.LatencyAtSlope(curveSlope)
	n.Target = max(2*lowest, min(latency, float64(s.minObjective)/2))
}
