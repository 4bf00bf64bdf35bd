// Package scheduler decides when each request of a front's volumes is sent to the storage node that holds
// its data. It combines the queuing budgets of SlowFast CoDel with the order of mClock. It owns the state
// of nodes, volumes and open requests; it does no I/O, reads no clock, and draws randomness from its seed
// alone.
//
// Step takes events and returns actions. The files that decide are named under policy in
// deploy/balancer.toml.
package scheduler

// Constants of the design, the same for every deployment.
const (
	fastInterval        Micros = 200_000   // the fast loop adjusts the budget
	slowInterval        Micros = 2_000_000 // the slow loop adjusts the target
	second              Micros = 1_000_000
	staleAfter                 = 4 * slowInterval // what was measured longer ago tells little
	maxBudgetRequests          = 32               // bound of a budget, in mean requests
	initialBudget              = 4                // budget of an unknown node, in mean requests
	curvePoints                = 16               // slow intervals that the latency curve remembers
	curveSlope                 = 0.1              // relative slope of the curve at the target
	lostAfterAnswers           = 2                // later attempts answered: lost
	overdueFactor              = 4                // times the expected latency: overdue
	queueFullObjectives        = 2                // shortest objectives: pause after a full queue
	slowShareSpan              = 16               // answers over which the share of slow ones is smoothed
	errorRateSpan              = 6                // answers over which the error rate is smoothed
	latencySpan                = 8                // answers over which the latency is smoothed
	outlierErrorRate           = 0.5              // a node with a higher error rate is an outlier
	staleNodePenalty           = 1.5              // factor on the score of a node that did not answer of late
	placementSample            = 64               // nodes looked at for a new object, drawn at random
	placementNoise             = 0.01             // spreads new objects over nodes that look alike
	timerTicks                 = 5                // ticks until the next step while requests are queued
	minWeight                  = 1e-9             // of a plan, against a division by 0
)

// Step handles the events since the last step and returns the actions to perform now, in their order. Times
// must not go back.
func (s *Scheduler) Step(now Micros, events []Event) []Action {
	s.now = now
	s.actions = nil
	if s.startedAt == 0 {
		s.startedAt = now
	}
	for _, e := range events {
		s.handle(e)
	}
	for n := range s.work.Due(now) {
		s.fastLoop(n)
		s.slowLoop(n)
		s.reviewNode(n)
	}
	s.dispatch()
	s.grantCapacity()
	s.rejectHopeless()
	s.shedLoad()
	s.sweep(len(events))
	s.work.Finish(s.nextReview)
	s.armTimer()
	return s.actions
}

func (s *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case EndpointsChanged:
		s.endpointsChanged(e)
	case Request:
		s.admit(e)
	case AttemptEnded:
		s.attemptEnded(e)
	case ClientLeft:
		if r := s.requests[e.ID]; r != nil {
			s.closeRequest(r)
		}
	case HealthChecked:
		s.healthChecked(e)
	case OpenLimitChanged:
		s.settings.MaxOpen = e.MaxOpen
	case TimerFired:
		s.timerSet = false
	case StateSaved:
		s.stateSaved(e)
	case CapacityRequested:
		s.capacityRequested(e)
	case CapacityGranted:
		s.capacityGranted(e)
	case NodeSilent:
		s.nodeSilent(e)
	}
}

// armTimer asks for another step while something is queued, as it may become due with time alone.
func (s *Scheduler) armTimer() {
	waiting := s.busyShards.Len() > 0 || s.capacityPending()
	if waiting && !s.timerSet {
		s.timerSet = true
		s.actions = append(s.actions, SetTimer{At: s.now + timerTicks*s.settings.Tick})
	}
}
