package health

import "otterturn/scheduler"

const (
	fastestProbe scheduler.Micros = 200_000   // between two probes of a node
	slowestProbe scheduler.Micros = 2_000_000 // between two probes of a node that a front is to watch
	silencePart                   = 8         // a silent node is probed after one in so many parts of its silence
	lateUsuals                    = 4         // a probe that is out for so many times the usual may count as failed
	mostLate                      = 4         // times ProbeLate, within which it counts as failed whatever is usual
	pausedAfter  scheduler.Micros = 500_000   // an alarm that is later means that this front was paused
)

// pausedAfter is how late an alarm is at a front that was paused: half of the time that a probe has, as a pause of that
// length would take an answer that waits to be read for none.
func (c Config) pausedAfter() scheduler.Micros { return min(pausedAfter, c.ProbeLate/2) }

// onDuty tells whether this front is to probe a node for its zone.
func (m *Monitor) onDuty(n *node) bool {
	own, seen := n.evidence.of(m.config.Self)
	silent := seen && own.state == Silent
	if n.rank < m.config.Probers {
		return len(n.askers) > 0 || n.suspecting || n.avoided || silent || m.others(n, Silent) > 0
	}
	for _, a := range n.askers {
		if !m.covered(n, a.at-m.config.ProbeLate) {
			return true
		}
	}
	return n.takeover || n.duty && silent && !m.covered(n, never)
}

// covered tells whether a quorum of fronts of lower rank saw the node after a time, and not long ago.
func (m *Monitor) covered(n *node, after scheduler.Micros) bool {
	after = max(after, m.now-m.config.freshFor())
	ahead := func(front int) bool { return m.ranksAhead(n, front) }
	return n.evidence.count(Silent, after, ahead)+n.evidence.count(Reachable, after, ahead) >= m.config.Quorum
}

// look probes a node that this front is to probe, and takes a probe that is out for too long for failed.
func (m *Monitor) look(n *node) (next scheduler.Micros) {
	if n.probe.out {
		return m.lookLate(n)
	}
	if !m.onDuty(n) {
		return forever
	}
	n.duty = true
	if own, seen := n.evidence.of(m.config.Self); seen && m.overtaken(n, own) {
		n.probe.next = min(n.probe.next, n.probe.sent+fastestProbe)
	}
	if m.now < n.probe.next {
		return n.probe.next
	}
	m.startProbe(n)
	return m.lookLate(n)
}

func (m *Monitor) startProbe(n *node) {
	n.probe = probe{out: true, sent: m.now, next: m.now + fastestProbe}
	m.counts.Probes++
	m.out = append(m.out, StartProbe{Node: n.name})
}

func (m *Monitor) lookLate(n *node) (next scheduler.Micros) {
	if n.probe.counted || n.probe.void {
		return forever
	}
	late := max(m.config.ProbeLate, min(lateUsuals*m.usualProbe, mostLate*m.config.ProbeLate))
	if m.now < n.probe.sent+late {
		return n.probe.sent + late
	}
	m.unanswered(n)
	return forever
}

// unanswered takes a probe for failed.
func (m *Monitor) unanswered(n *node) {
	n.probe.counted = true
	if n.probe.sent < n.answered { // an attempt was answered meanwhile
		return
	}
	first := n.silent == never
	if first {
		n.silent = n.probe.sent
	}
	n.evidence.add(observation{m.config.Self, Silent, n.probe.sent})
	n.probe.next = n.probe.sent + m.interval(n)
	if first {
		// All probers begin together: from their second probe on they are spread over an interval.
		n.probe.next += scheduler.Micros(share(m.config.Self, n.key) * float64(m.interval(n)))
	}
	if !n.duty {
		m.suspect(n, n.probe.sent)
	}
	m.touch(n)
}

// interval is the time between two probes of a silent node.
func (m *Monitor) interval(n *node) scheduler.Micros {
	pace := max(m.config.probePace(), (m.now-n.silent)/silencePart, fastestProbe)
	slowest := max(m.config.slowestProbe(), fastestProbe)
	switch {
	case n.rank >= m.config.Probers: // any number of fronts may do so, where they don't hear each other
		all := float64(len(m.config.Zones)) / m.config.ProbesPerNode * microsPerSecond
		return min(pace, max(scheduler.Micros(all), slowest))
	case n.rank >= m.config.Quorum && m.ahead(n, Silent) >= m.config.Quorum: // stands by
		return slowest
	}
	return min(pace, slowest)
}

func (m *Monitor) probeEnded(e ProbeEnded) {
	if m.passed[e.Node] {
		delete(m.passed, e.Node)
		m.out = append(m.out, ProbeAnswered(e))
	}
	n := m.byName[e.Node]
	if n == nil || n.trouble == nil || !n.probe.out {
		return
	}
	n.probe.out = false
	if e.OK {
		m.usualProbe += (m.now - n.probe.sent - m.usualProbe) / usualOver
		m.answeredBy(n)
	} else if !n.probe.counted && !n.probe.void {
		m.unanswered(n)
	}
	if n.probe.void && !e.OK {
		n.probe.next = m.now
	}
	if n.held && !n.avoided && (e.OK || n.probe.wanted) {
		m.answer(n, e.HealthChecked)
	}
	n.probe.wanted = false
	m.touch(n)
}

// reached takes in that this front reached a node in trouble, by a probe or an attempt.
func (m *Monitor) reached(n *node) {
	n.silent = never
	if n.evidence.count(Silent, never, nil) > 0 || len(n.askers) > 0 || n.suspecting {
		n.evidence.add(observation{m.config.Self, Reachable, m.now})
	}
}
