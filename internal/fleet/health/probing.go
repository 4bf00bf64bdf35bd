package health

import "otterturn/scheduler"

const (
	minProbeInterval scheduler.Micros = 200_000   // minimum time between two probes of a node
	maxProbeInterval scheduler.Micros = 2_000_000 // maximum time between two probes of a node by one of its probers
	silenceDivisor                    = 8         // the interval between probes grows to the duration of the silence divided by this
	timeoutFactor                     = 4         // a probe may count as failed after this multiple of the mean probe time
	maxTimeoutFactor                  = 4         // a probe counts as failed at the latest after this multiple of ProbeTimeout
	pausedAfter      scheduler.Micros = 500_000   // a timer that fires later than this indicates that this front was paused
)

// pausedAfter returns the delay of a timer above which this front counts as paused. It is at most half of ProbeTimeout, because
// during a longer pause a probe could time out although its answer is waiting to be read.
func (c Config) pausedAfter() scheduler.Micros { return min(pausedAfter, c.ProbeTimeout/2) }

// mustProbe reports whether this front must probe a node for its zone.
func (m *Monitor) mustProbe(n *node) bool {
	own, seen := n.evidence.observationOf(m.config.Self)
	silent := seen && own.state == Silent
	if n.rank < m.config.Probers {
		return len(n.requesters) > 0 || n.suspected || n.avoided || silent || m.countOthers(n, Silent) > 0
	}
	for _, a := range n.requesters {
		if !m.coveredByHigherRanked(n, a.at-m.config.ProbeTimeout) {
			return true
		}
	}
	return n.takeover || n.probedForZone && silent && !m.coveredByHigherRanked(n, never)
}

// coveredByHigherRanked reports whether a quorum of higher-ranked fronts has fresh observations of the node from after the given time.
func (m *Monitor) coveredByHigherRanked(n *node, after scheduler.Micros) bool {
	after = max(after, m.now-m.config.freshEvidenceAge())
	higherRanked := func(front int) bool { return m.ranksHigher(n, front) }
	return n.evidence.count(Silent, after, higherRanked)+n.evidence.count(Reachable, after, higherRanked) >= m.config.Quorum
}

// runProbes starts the probes of a node that this front must probe, and handles the timeout of a running probe.
func (m *Monitor) runProbes(n *node) (next scheduler.Micros) {
	if n.probe.running {
		return m.expireProbe(n)
	}
	if !m.mustProbe(n) {
		return forever
	}
	n.probedForZone = true
	if own, seen := n.evidence.observationOf(m.config.Self); seen && m.contradictedSince(n, own) {
		n.probe.notBefore = min(n.probe.notBefore, n.probe.sentAt+minProbeInterval)
	}
	if m.now < n.probe.notBefore {
		return n.probe.notBefore
	}
	m.startProbe(n)
	return m.expireProbe(n)
}

func (m *Monitor) startProbe(n *node) {
	n.probe = probe{running: true, sentAt: m.now, notBefore: m.now + minProbeInterval}
	m.counts.Probes++
	m.actions = append(m.actions, StartProbe{Node: n.name})
}

func (m *Monitor) expireProbe(n *node) (next scheduler.Micros) {
	if n.probe.countedFailed || n.probe.inconclusive {
		return forever
	}
	timeout := max(m.config.ProbeTimeout, min(timeoutFactor*m.meanProbeTime, maxTimeoutFactor*m.config.ProbeTimeout))
	if m.now < n.probe.sentAt+timeout {
		return n.probe.sentAt + timeout
	}
	m.probeFailed(n)
	return forever
}

// probeFailed records the failure of a probe.
func (m *Monitor) probeFailed(n *node) {
	n.probe.countedFailed = true
	if n.probe.sentAt < n.answeredAt { // an attempt was answered after the probe was sent
		return
	}
	first := n.silentSince == never
	if first {
		n.silentSince = n.probe.sentAt
	}
	n.evidence.add(observation{m.config.Self, Silent, n.probe.sentAt})
	n.probe.notBefore = n.probe.sentAt + m.probeInterval(n)
	if first {
		// All probers start at the same time, so their second probes are spread over one interval.
		n.probe.notBefore += scheduler.Micros(hashFraction(m.config.Self, n.key) * float64(m.probeInterval(n)))
	}
	if !n.probedForZone {
		m.suspect(n, n.probe.sentAt)
	}
	m.scheduleReview(n)
}

// probeInterval returns the time between two probes of a silent node by this front.
func (m *Monitor) probeInterval(n *node) scheduler.Micros {
	interval := max(m.config.intervalPerProber(), (m.now-n.silentSince)/silenceDivisor, minProbeInterval)
	maxInterval := max(m.config.maxProbeInterval(), minProbeInterval)
	switch {
	case n.rank >= m.config.Probers: // fronts that do not receive each other's messages may all probe
		fleetInterval := float64(len(m.config.Zones)) / m.config.ProbesPerNode * microsPerSecond
		return min(interval, max(scheduler.Micros(fleetInterval), maxInterval))
	case n.rank >= m.config.Quorum && m.countHigherRanked(n, Silent) >= m.config.Quorum: // standby: other probers provide the evidence
		return maxInterval
	}
	return min(interval, maxInterval)
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
		m.meanProbeTime += (m.now - n.probe.sentAt - m.meanProbeTime) / latencySmoothing
		m.recordAnswer(n)
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

// recordReachable records that a probe or an attempt of this front reached a node under investigation.
func (m *Monitor) recordReachable(n *node) {
	n.silentSince = never
	if n.evidence.count(Silent, never, nil) > 0 || len(n.requesters) > 0 || n.suspected {
		n.evidence.add(observation{m.config.Self, Reachable, m.now})
	}
}
