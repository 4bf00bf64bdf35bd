// Package scheduler decides when each request of a front's volumes is sent to the storage node that holds
// its data. It combines the queuing budgets of SlowFast CoDel with the request order of mClock. It owns the
// state of nodes, volumes and open requests, performs no I/O, reads no clock, and draws all randomness from
// its seed.
//
// Step takes events and returns actions. The files of the decision module are listed under policy in
// deploy/balancer.toml.
package scheduler

// Constants of the design, the same for every deployment.
const (
	fastInterval      Micros = 200_000   // interval of the fast loop, which adjusts the budget
	slowInterval      Micros = 2_000_000 // interval of the slow loop, which adjusts the target
	second            Micros = 1_000_000
	staleAfter               = 4 * slowInterval // age from which measurements count as outdated
	maxBudgetRequests        = 32               // maximum budget, in requests of mean size
	initialBudget            = 4                // budget of an unknown node, in requests of mean size
	curvePoints              = 16               // slow intervals that the latency curve covers
	curveSlope               = 0.1              // relative slope of the curve at the target latency
	lostAfterAnswers         = 2                // answers to later attempts after which one counts as lost
	overdueFactor            = 4                // expected latencies after which a request is overdue
	queueFullPause           = 2                // pause after QueueFull, in shortest objectives
	slowShareSamples         = 16               // answers over which the share of slow answers is smoothed
	errorRateSamples         = 6                // answers over which the error rate is smoothed
	latencySamples           = 8                // answers over which the latency is smoothed
	outlierErrorRate         = 0.5              // a node with a higher error rate is an outlier
	staleNodePenalty         = 1.5              // score factor for a node without a recent answer
	placementSample          = 64               // nodes drawn at random and compared for a new object
	placementNoise           = 0.01             // relative noise that spreads objects over equal nodes
	timerTicks               = 5                // ticks until the next step while requests are queued
	minWeight                = 1e-9             // minimum weight of a plan, prevents a division by 0
)

// Step handles the events since the last step and returns the actions to perform now, in order. The time
// must not go backwards.
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
	s.rejectUnservable()
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

// armTimer schedules another step while requests or capacity requests are queued, as time alone may make
// them due.
func (s *Scheduler) armTimer() {
	pending := s.busyShards.Len() > 0 || s.capacityPending()
	if pending && !s.timerSet {
		s.timerSet = true
		s.actions = append(s.actions, SetTimer{At: s.now + timerTicks*s.settings.Tick})
	}
}
