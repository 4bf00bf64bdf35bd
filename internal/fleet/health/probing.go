package health

import "otterturn/scheduler"

const (
	fastestProbe     scheduler.Micros = 200_000   // between two probes of a node
	slowestProbe     scheduler.Micros = 2_000_000 // between two probes of a node that a front is to watch
	silenceDivisor                    = 8         // a silent node is probed after one in so many parts of its silence
	lateFactor                        = 4         // a probe that is out for so many times the usual may count as failed
	maxTimeoutFactor                  = 4         // times ProbeLate, within which it counts as failed whatever is usual
	pausedAfter      scheduler.Micros = 500_000   // an alarm that is later means that this front was paused
)

// pausedAfter is how late an alarm is at a front that was paused: half of the time that a probe has, as a pause of that
// length would take an answer that waits to be read for none.
func (c Config) pausedAfter() scheduler.Micros { return min(pausedAfter, c.ProbeTimeout/2) }

// onDuty tells whether this front is to probe a node for its zone.
func (m *Monitor) onDuty(n *node) bool {
	own, seen := n.evidence.of(m.config.Self)
	silent := seen && own.state == Silent
	if n.rank < m.config.Probers {
		return len(n.requesters) > 0 || n.suspecting || n.avoided || silent || m.countOthers(n, Silent) > 0
	}
	for _, a := range n.requesters {
		if !m.covered(n, a.at-m.config.ProbeTimeout) {
			return true
		}
	}
	return n.takeover || n.probedForZone && silent && !m.covered(n, never)
}

// covered tells whether a quorum of fronts of lower rank saw the node after a time, and not long ago.
func (m *Monitor) covered(n *node, after scheduler.Micros) bool {
	after = max(after, m.now-m.config.freshEvidenceAge())
	ahead := func(front int) bool { return m.ranksHigher(n, front) }
	return n.evidence.count(Silent, after, ahead)+n.evidence.count(Reachable, after, ahead) >= m.config.Quorum
}

// runProbes probes a node that this front is to probe, and takes a probe that is out for too long for failed.
func (m *Monitor) runProbes(n *node) (next scheduler.Micros) {
	if n.probe.running {
		return m.expireProbe(n)
	}
	if !m.onDuty(n) {
		return forever
	}
	n.probedForZone = true
	if own, seen := n.evidence.of(m.config.Self); seen && m.contradictedSince(n, own) {
		n.probe.notBefore = min(n.probe.notBefore, n.probe.sentAt+fastestProbe)
	}
	if m.now < n.probe.notBefore {
		return n.probe.notBefore
	}
	m.startProbe(n)
	return m.expireProbe(n)
}

func (m *Monitor) startProbe(n *node) {
	n.probe = probe{running: true, sentAt: m.now, notBefore: m.now + fastestProbe}
	m.counts.Probes++
	m.actions = append(m.actions, StartProbe{Node: n.name})
}

func (m *Monitor) expireProbe(n *node) (next scheduler.Micros) {
	if n.probe.countedFailed || n.probe.inconclusive {
		return forever
	}
	late := max(m.config.ProbeTimeout, min(lateFactor*m.usualProbeTime, maxTimeoutFactor*m.config.ProbeTimeout))
	if m.now < n.probe.sentAt+late {
		return n.probe.sentAt + late
	}
	m.probeFailed(n)
	return forever
}

// probeFailed takes a probe for failed.
func (m *Monitor) probeFailed(n *node) {
	n.probe.countedFailed = true
	if n.probe.sentAt < n.answered { // an attempt was answered meanwhile
		return
	}
	first := n.silentSince == never
	if first {
		n.silentSince = n.probe.sentAt
	}
	n.evidence.add(observation{m.config.Self, Silent, n.probe.sentAt})
	n.probe.notBefore = n.probe.sentAt + m.probeInterval(n)
	if first {
		// All probers begin together: from their second probe on they are spread over an interval.
		n.probe.notBefore += scheduler.Micros(share(m.config.Self, n.key) * float64(m.probeInterval(n)))
	}
	if !n.probedForZone {
		m.suspect(n, n.probe.sentAt)
	}
	m.scheduleReview(n)
}

// probeInterval is the time between two probes of a silent node.
func (m *Monitor) probeInterval(n *node) scheduler.Micros {
	pace := max(m.config.probePace(), (m.now-n.silentSince)/silenceDivisor, fastestProbe)
	slowest := max(m.config.slowestProbe(), fastestProbe)
	switch {
	case n.rank >= m.config.Probers: // any number of fronts may do so, where they don't hear each other
		all := float64(len(m.config.Zones)) / m.config.ProbesPerNode * microsPerSecond
		return min(pace, max(scheduler.Micros(all), slowest))
	case n.rank >= m.config.Quorum && m.countHigherRanked(n, Silent) >= m.config.Quorum: // stands by
		return slowest
	}
	return min(pace, slowest)
}

func (m *Monitor) probeEnded(e ProbeEnded) {
	if m.unknownProbes[e.Node] {
		delete(m.unknownProbes, e.Node)
		m.actions = append(m.actions, AnswerProbe(e))
	}
	n := m.byName[e.Node]
	if n == nil || n.investigation == nil || !n.probe.running {
		return
	}
	n.probe.running = false
	if e.OK {
		m.usualProbeTime += (m.now - n.probe.sentAt - m.usualProbeTime) / latencySpan
		m.answeredBy(n)
	} else if !n.probe.countedFailed && !n.probe.inconclusive {
		m.probeFailed(n)
	}
	if n.probe.inconclusive && !e.OK {
		n.probe.notBefore = m.now
	}
	if n.schedulerWaits && !n.avoided && (e.OK || n.probe.forScheduler) {
		m.answerProbe(n, e.HealthChecked)
	}
	n.probe.forScheduler = false
	m.scheduleReview(n)
}

// reached takes in that this front reached a node in trouble, by a probe or an attempt.
func (m *Monitor) reached(n *node) {
	n.silentSince = never
	if n.evidence.count(Silent, never, nil) > 0 || len(n.requesters) > 0 || n.suspecting {
		n.evidence.add(observation{m.config.Self, Reachable, m.now})
	}
}
