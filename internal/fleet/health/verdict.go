package health

import "otterturn/scheduler"

// returnSpread is the period over which the fronts of a zone resume sending to a node that returned.
const returnSpread scheduler.Micros = 1_000_000

// applyVerdict updates whether this front suspects and avoids a node, according to the evidence.
func (m *Monitor) applyVerdict(n *node) {
	avoid, at := n.evidence.verdict(m.config.Quorum, n.answeredAt)
	if n.suspected && (avoid || m.suspicionOver(n)) {
		n.suspected = false
	}
	switch {
	case avoid && !n.avoided:
		n.avoided, n.returnAt = true, 0
		m.avoidedNodes++
		m.actions = append(m.actions, ReportSilent{scheduler.NodeSilent{Node: n.name, StartedAt: n.start, ObservedAt: at}})
	case !avoid && n.avoided:
		n.avoided, n.avoidedUntil = false, m.now
		m.avoidedNodes--
		if n.evidence.count(Reachable, never, nil) > 0 {
			n.returnAt = m.returnTime(n)
		}
	case n.verdictExpired() && n.returnAt == 0 && n.evidence.count(Reachable, n.avoidedUntil, nil) > 0:
		n.returnAt = m.returnTime(n)
	}
}

// returnTime returns the time at which this front resumes sending to a node that returned now.
func (m *Monitor) returnTime(n *node) scheduler.Micros {
	return m.now + 1 + scheduler.Micros(hashFraction(m.config.Self, n.key)*float64(returnSpread))
}

// verdictExpired reports whether the node is no longer avoided and the scheduler has waited for a probe since before then.
func (n *node) verdictExpired() bool {
	return n.schedulerWaits && !n.avoided && n.avoidedUntil > n.schedulerWaitsSince
}

// suspicionOver reports whether this front's suspicion has ended: the node has answered this front or a prober since, or
// the suspicion has had no result within EvidenceLifetime.
func (m *Monitor) suspicionOver(n *node) bool {
	return n.answeredAt > n.suspectedSince || n.evidence.count(Reachable, n.suspectedSince, nil) > 0 ||
		m.now >= n.lastSuspected+m.config.EvidenceLifetime
}

// nextExpiry returns the time at which the next observation or suspicion expires or the return of a node takes effect.
func (m *Monitor) nextExpiry(n *node) scheduler.Micros {
	next := forever
	if at, ok := n.evidence.oldest(); ok {
		next = at + m.config.EvidenceLifetime
	}
	if n.suspected {
		next = min(next, n.lastSuspected+m.config.EvidenceLifetime)
	}
	if n.returnAt > m.now {
		next = min(next, n.returnAt)
	}
	return next
}

// freshEvidenceAge returns the age up to which evidence is fresh. A front requests newer evidence after that, before the old
// evidence expires.
func (c Config) freshEvidenceAge() scheduler.Micros { return c.EvidenceLifetime * 3 / 4 }

// countOthers returns the number of other fronts whose evidence shows a state.
func (m *Monitor) countOthers(n *node, state State) int {
	return n.evidence.count(state, never, func(front int) bool { return front != m.config.Self })
}

// countHigherRanked returns the number of higher-ranked fronts whose fresh evidence shows a state.
func (m *Monitor) countHigherRanked(n *node, state State) int {
	return n.evidence.count(state, m.now-m.config.freshEvidenceAge(), func(front int) bool { return m.ranksHigher(n, front) })
}

func (m *Monitor) ranksHigher(n *node, front int) bool {
	self, other := weight(m.config.Self, n.key), weight(front, n.key)
	return other > self || other == self && front < m.config.Self
}
