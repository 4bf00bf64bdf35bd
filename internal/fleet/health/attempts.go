package health

import (
	"slices"

	"otterturn/scheduler"
)

const (
	stallFactor = 4 // an attempt that is out for so many usual latencies may be stalled
	latencySpan = 8 // answers over which the usual latency is a mean
)

// attemptID names an attempt.
type attemptID struct {
	request string
	attempt int
}

// attempt is one that is out.
type attempt struct {
	node  *node
	start scheduler.Micros // of the node, as the list had it
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
		n.owingSince = m.now
		m.reviewBy(n, m.stallTime(n))
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
	owed := n.owingSince
	if known && n.outstanding > 0 {
		n.outstanding--
	}
	switch {
	case showsReachable(e):
		if known && e.Result != scheduler.Reset {
			n.updateLatency(m.now - a.sent)
		}
		m.answeredBy(n)
	case e.Result == scheduler.Unreachable, e.Result == scheduler.Reset:
		m.suspect(n, m.now)
	case e.Result == scheduler.TimedOut && known && m.now-owed >= m.stallTimeout(n):
		m.suspect(n, owed)
	}
	if n.outstanding == 0 && n.investigation == nil {
		m.due.remove(n)
	}
}

// showsReachable tells whether an attempt's end shows that the node runs and can be reached.
func showsReachable(e AttemptEnded) bool {
	switch e.Result {
	case scheduler.OK, scheduler.Errored, scheduler.QueueFull, scheduler.Expired:
		return true
	case scheduler.Reset:
		return e.Alive
	}
	return false
}

// answeredBy takes in a success of this front's own: it counts for more than older evidence of others.
func (m *Monitor) answeredBy(n *node) {
	n.answered, n.owingSince = m.now, m.now
	if n.investigation != nil {
		m.reached(n)
		m.scheduleReview(n)
	}
}

func (n *node) updateLatency(latency scheduler.Micros) {
	if n.usualLatency == 0 {
		n.usualLatency = latency
		return
	}
	n.usualLatency += (latency - n.usualLatency) / latencySpan
}

// stallTimeout is for how long a node may owe an answer before it is suspected.
func (m *Monitor) stallTimeout(n *node) scheduler.Micros {
	return max(m.config.SuspectAfter, stallFactor*n.usualLatency)
}

// stallTime is when a node is to be suspected if it answers nothing more, forever where it owes nothing.
func (m *Monitor) stallTime(n *node) scheduler.Micros {
	if n.outstanding == 0 || !n.running() || n.investigation != nil && (n.avoided || n.suspecting) {
		return forever
	}
	return max(n.owingSince+m.stallTimeout(n), n.lastSuspected+m.config.TakeoverAfter)
}

// watchStall suspects a node that has owed an answer for too long.
func (m *Monitor) watchStall(n *node) (next scheduler.Micros) {
	if m.stallTime(n) <= m.now {
		m.suspect(n, n.owingSince)
	}
	return m.stallTime(n)
}

// suspect takes in that requests of this front stall or fail at a node, since a time.
func (m *Monitor) suspect(n *node, since scheduler.Micros) {
	if !n.running() || n.investigation != nil && (n.avoided || n.suspecting) || m.now < n.lastSuspected+m.config.TakeoverAfter {
		return
	}
	n.investigate()
	n.suspecting, n.suspectedSince, n.lastSuspected = true, since, m.now
	// That it was reached before is no word against those who find it silent now.
	n.evidence = slices.DeleteFunc(n.evidence, func(o observation) bool {
		return o.front == m.config.Self && o.state == Reachable && o.at <= since
	})
	m.scheduleReview(n)
}
