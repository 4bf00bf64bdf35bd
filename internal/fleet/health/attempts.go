package health

import (
	"slices"

	"otterturn/scheduler"
)

const (
	stallUsuals = 4 // an attempt that is out for so many usual latencies may be stalled
	usualOver   = 8 // answers over which the usual latency is a mean
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
	n.out++
	if n.out == 1 {
		n.owing = m.now
		m.wake(n, m.stallsAt(n))
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
	owed := n.owing
	if known && n.out > 0 {
		n.out--
	}
	switch {
	case answers(e):
		if known && e.Result != scheduler.Reset {
			n.learn(m.now - a.sent)
		}
		m.answeredBy(n)
	case e.Result == scheduler.Unreachable, e.Result == scheduler.Reset:
		m.suspect(n, m.now)
	case e.Result == scheduler.TimedOut && known && m.now-owed >= m.stallAfter(n):
		m.suspect(n, owed)
	}
	if n.out == 0 && n.trouble == nil {
		m.due.remove(n)
	}
}

// answers tells whether an attempt's end shows that the node runs and can be reached.
func answers(e AttemptEnded) bool {
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
	n.answered, n.owing = m.now, m.now
	if n.trouble != nil {
		m.reached(n)
		m.touch(n)
	}
}

func (n *node) learn(latency scheduler.Micros) {
	if n.usual == 0 {
		n.usual = latency
		return
	}
	n.usual += (latency - n.usual) / usualOver
}

// stallAfter is for how long a node may owe an answer before it is suspected.
func (m *Monitor) stallAfter(n *node) scheduler.Micros {
	return max(m.config.SuspectAfter, stallUsuals*n.usual)
}

// stallsAt is when a node is to be suspected if it answers nothing more, forever where it owes nothing.
func (m *Monitor) stallsAt(n *node) scheduler.Micros {
	if n.out == 0 || !n.running() || n.trouble != nil && (n.avoided || n.suspecting) {
		return forever
	}
	return max(n.owing+m.stallAfter(n), n.raised+m.config.TakeoverAfter)
}

// watchStall suspects a node that has owed an answer for too long.
func (m *Monitor) watchStall(n *node) (next scheduler.Micros) {
	if m.stallsAt(n) <= m.now {
		m.suspect(n, n.owing)
	}
	return m.stallsAt(n)
}

// suspect takes in that requests of this front stall or fail at a node, since a time.
func (m *Monitor) suspect(n *node, since scheduler.Micros) {
	if !n.running() || n.trouble != nil && (n.avoided || n.suspecting) || m.now < n.raised+m.config.TakeoverAfter {
		return
	}
	n.inTrouble()
	n.suspecting, n.suspected, n.raised = true, since, m.now
	// That it was reached before is no word against those who find it silent now.
	n.evidence = slices.DeleteFunc(n.evidence, func(o observation) bool {
		return o.front == m.config.Self && o.state == Reachable && o.at <= since
	})
	m.touch(n)
}
