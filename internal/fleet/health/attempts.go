package health

import (
	"slices"

	"otterturn/scheduler"
)

const (
	stallFactor      = 4 // an attempt may be stalled after this many mean latencies
	latencySmoothing = 8 // the mean latency is a moving average with weight 1/8 for each new answer
)

// attemptID identifies an attempt.
type attemptID struct {
	request string
	attempt int
}

// attempt is an attempt without a result.
type attempt struct {
	node  *node
	start scheduler.Micros // start of the node according to the endpoint list
	sent  scheduler.Micros
}

func (m *Monitor) attemptStarted(e AttemptStarted) {
	n := m.byName[e.Node]
	if n == nil {
		return
	}
	m.attempts[attemptID{e.ID, e.Attempt}] = attempt{n, n.start, m.now}
	n.outstanding++
	if n.outstanding == 1 {
		n.unansweredSince = m.now
		m.reviewBy(n, m.stallDeadline(n))
	}
}

func (m *Monitor) attemptEnded(e AttemptEnded) {
	id := attemptID{e.ID, e.Attempt}
	a, known := m.attempts[id]
	delete(m.attempts, id)
	n := m.byName[e.Node]
	if n == nil || known && (a.node != n || a.start != n.start) {
		return
	}
	stalledSince := n.unansweredSince
	if known && n.outstanding > 0 {
		n.outstanding--
	}
	switch {
	case showsReachable(e):
		if known && e.Result != scheduler.Reset {
			n.updateLatency(m.now - a.sent)
		}
		m.recordAnswer(n)
	case e.Result == scheduler.Unreachable, e.Result == scheduler.Reset:
		m.suspect(n, m.now)
	case e.Result == scheduler.TimedOut && known && m.now-stalledSince >= m.stallTimeout(n):
		m.suspect(n, stalledSince)
	}
	if n.outstanding == 0 && n.investigation == nil {
		m.due.remove(n)
	}
}

// showsReachable reports whether the result of an attempt proves that the node runs and can be reached.
func showsReachable(e AttemptEnded) bool {
	switch e.Result {
	case scheduler.OK, scheduler.Errored, scheduler.QueueFull, scheduler.Expired:
		return true
	case scheduler.Reset:
		return e.Alive
	}
	return false
}

// recordAnswer records an answer that this front received from a node. It overrides older evidence of other fronts.
func (m *Monitor) recordAnswer(n *node) {
	n.answeredAt, n.unansweredSince = m.now, m.now
	if n.investigation != nil {
		m.recordReachable(n)
		m.scheduleReview(n)
	}
}

func (n *node) updateLatency(latency scheduler.Micros) {
	if n.meanLatency == 0 {
		n.meanLatency = latency
		return
	}
	n.meanLatency += (latency - n.meanLatency) / latencySmoothing
}

// stallTimeout returns the time without an answer after which a node with outstanding attempts is suspected.
func (m *Monitor) stallTimeout(n *node) scheduler.Micros {
	return max(m.config.SuspectAfter, stallFactor*n.meanLatency)
}

// stallDeadline returns the time at which a node is suspected unless it answers before. It is forever if no
// attempt is outstanding or the node is suspected or avoided already.
func (m *Monitor) stallDeadline(n *node) scheduler.Micros {
	if n.outstanding == 0 || !n.running() || n.investigation != nil && (n.avoided || n.suspected) {
		return forever
	}
	return max(n.unansweredSince+m.stallTimeout(n), n.lastSuspected+m.config.TakeoverAfter)
}

// checkStall suspects a node whose attempts have been unanswered for too long.
func (m *Monitor) checkStall(n *node) (next scheduler.Micros) {
	if m.stallDeadline(n) <= m.now {
		m.suspect(n, n.unansweredSince)
	}
	return m.stallDeadline(n)
}

// suspect records that requests of this front have stalled or failed at a node since the given time.
func (m *Monitor) suspect(n *node, since scheduler.Micros) {
	if !n.running() || n.investigation != nil && (n.avoided || n.suspected) || m.now < n.lastSuspected+m.config.TakeoverAfter {
		return
	}
	n.investigate()
	n.suspected, n.suspectedSince, n.lastSuspected = true, since, m.now
	// Remove this front's earlier success: it does not contradict fronts that find the node silent now.
	n.evidence = slices.DeleteFunc(n.evidence, func(o observation) bool {
		return o.front == m.config.Self && o.state == Reachable && o.at <= since
	})
	m.scheduleReview(n)
}
