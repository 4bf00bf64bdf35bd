package scheduler

import "slices"

// admit queues a client's request until the control loops, the order and the request's conditions let it
// start.
func (s *Scheduler) admit(e Request) {
	knownClass := e.Class >= 0 && e.Class < len(s.settings.Classes)
	knownPlan := e.Plan >= 0 && e.Plan < len(s.settings.Plans)
	if !knownClass || !knownPlan {
		s.actions = append(s.actions, Reject{ID: e.ID, Reason: InvalidRequest})
		return
	}
	if e.Units <= 0 {
		e.Units = 1
	}
	r := s.newRequest(e)
	s.recognizeRetry(r)
	s.requests[e.ID] = r
	r.volume.openRequests++
	if r.class.InOrder && e.Key != "" {
		s.keyQueues.Push(e.Key, r)
	}
	s.retryBudget.AddRequest(s.now)
	s.enqueue(r)
}

// newRequest returns the state of a request that arrives now. Its objective ends no later than its
// deadline: work for clients that have left would displace other requests.
func (s *Scheduler) newRequest(e Request) *request {
	class := &s.settings.Classes[e.Class]
	return &request{
		Request:     e,
		class:       class,
		volume:      s.volumeFor(e),
		objectiveAt: s.now + min(class.LatencyObjective, e.TimeLeft),
		deadline:    s.now + e.TimeLeft,
		newObject:   e.Shard < 0,
	}
}

// recognizeRetry gives a client's retry of a rejected request the objective of the first request. A retry
// has the same identity and the same deadline.
func (s *Scheduler) recognizeRetry(r *request) {
	first, found := s.rejected.Get(r.retryIdentity())
	if !found {
		return
	}
	difference := max(r.deadline-first.deadline, first.deadline-r.deadline)
	if difference <= s.sendMargin() {
		r.objectiveAt = min(r.objectiveAt, first.objectiveAt)
	}
}

// retryIdentity returns the fields that a client's retry shares with its first request.
func (r *request) retryIdentity() Request {
	return Request{Class: r.Class, Volume: r.Volume, Key: r.Key, Units: r.Units}
}

// sendMargin returns how long before its deadline a request is no longer sent.
func (s *Scheduler) sendMargin() Micros { return 2 * s.settings.Tick }

// attemptEnded handles the outcome of an attempt: the node's control loops learn from it, and the request
// is finished or queued again.
func (s *Scheduler) attemptEnded(e AttemptEnded) {
	r := s.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[e.Attempt]
	s.work.Queue(&a.node.work)
	s.removePending(a.node, r, e.Result)
	r.cancelled = false
	s.countServedElsewhere(r.volume, e.ServedElsewhere)
	s.observe(a.node, r, e)
	s.recordExecution(r, a, e.Result)
	switch {
	case e.Final || r.finished:
		s.closeRequest(r)
	case s.now >= r.deadline-s.sendMargin() || e.Result == Expired || !s.mayRetry(r):
		s.finish(r, 0, NotRetryable)
	default:
		s.enqueue(r)
	}
}

// removePending removes a request from those outstanding at a node. An answer overtakes all requests that
// were sent before the answered one.
func (s *Scheduler) removePending(n *node, r *request, result Result) {
	i := slices.Index(n.pending, r)
	if i < 0 {
		return
	}
	if result.isAnswer() {
		for _, earlier := range n.pending[:i] {
			earlier.overtakenBy++
		}
	}
	n.pending = slices.Delete(n.pending, i, i+1)
	for _, controller := range s.latencyControllers(n, r) {
		controller.outstandingUnits -= r.Units
	}
	r.outstanding--
}

// recordExecution records what the result of an attempt reveals about whether the request ran.
func (s *Scheduler) recordExecution(r *request, a attempt, result Result) {
	if result.mayHaveRun() && r.mayHaveRun == nil {
		r.mayHaveRun = &a
		r.retryUntil = a.sentAt + r.class.DedupWindow
	}
	if result == NotStarted {
		r.tokensDrawn = false
	}
	if result.isAnswer() || result == NotStarted {
		r.settleUnits()
	}
	mayStillRun := result.mayHaveRun() && result != Errored
	if r.class.InOrder && mayStillRun {
		s.keyQueues.PauseUntil(r.Key, s.now+s.settings.KeyPause)
	}
}

// mayRetry reports whether the request may be sent again, now or later.
func (s *Scheduler) mayRetry(r *request) bool {
	attemptsLeft := r.class.maxAttempts <= 0 || len(r.attempts) < r.class.maxAttempts
	inWindow := r.mayHaveRun == nil || s.now < r.retryUntil-s.sendMargin()
	return attemptsLeft && inWindow
}

// closeRequest removes a request once it has no outstanding attempt. Until then the request blocks its key.
func (s *Scheduler) closeRequest(r *request) {
	s.dequeue(r)
	r.finished = true
	if r.outstanding > 0 {
		return
	}
	r.settleUnits()
	delete(s.requests, r.ID)
	v := r.volume
	v.openRequests--
	v.idleSince = s.now
	if v.openRequests == 0 {
		v.uncountedUnits = 0 // clears rounding errors
	}
	if r.class.InOrder {
		s.keyQueues.Remove(r.Key, r, s.now, 2*len(s.requests))
	}
}
