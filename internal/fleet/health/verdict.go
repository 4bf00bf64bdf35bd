package health

import "otterturn/scheduler"

// returnSpread is the time over which the fronts of a fleet come back to a node.
const returnSpread scheduler.Micros = 1_000_000

// applyVerdict brings what this front holds of a node up to its evidence.
func (m *Monitor) applyVerdict(n *node) {
	avoid, at := n.evidence.verdict(m.config.Quorum, n.answered)
	if n.suspecting && (avoid || m.suspicionOver(n)) {
		n.suspecting = false
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

// returnTime is when this front comes back to a node, if it does now.
func (m *Monitor) returnTime(n *node) scheduler.Micros {
	return m.now + 1 + scheduler.Micros(share(m.config.Self, n.key)*float64(returnSpread))
}

// verdictExpired tells whether a verdict ended for want of evidence, and a probe still waits for news.
func (n *node) verdictExpired() bool {
	return n.schedulerWaits && !n.avoided && n.avoidedUntil > n.schedulerWaitsSince
}

// suspicionOver tells whether a suspicion of this front's is over: the node has answered it or a prober since, or nothing
// came of it for as long as evidence lives.
func (m *Monitor) suspicionOver(n *node) bool {
	return n.answered > n.suspectedSince || n.evidence.count(Reachable, n.suspectedSince, nil) > 0 ||
		m.now >= n.lastSuspected+m.config.EvidenceLifetime
}

// nextExpiry is when the next thing known of a node is too old.
func (m *Monitor) nextExpiry(n *node) scheduler.Micros {
	next := forever
	if at, ok := n.evidence.oldest(); ok {
		next = at + m.config.EvidenceLifetime
	}
	if n.suspecting {
		next = min(next, n.lastSuspected+m.config.EvidenceLifetime)
	}
	if n.returnAt > m.now {
		next = min(next, n.returnAt)
	}
	return next
}

// freshEvidenceAge is the age up to which evidence is sufficient; beyond it this front asks for more, before it fades.
func (c Config) freshEvidenceAge() scheduler.Micros { return c.EvidenceLifetime * 3 / 4 }

// countOthers counts the other fronts that saw a state of late.
func (m *Monitor) countOthers(n *node, state State) int {
	return n.evidence.count(state, never, func(front int) bool { return front != m.config.Self })
}

// countHigherRanked counts the fronts of a lower rank than this one's that saw a state not too long ago.
func (m *Monitor) countHigherRanked(n *node, state State) int {
	return n.evidence.count(state, m.now-m.config.freshEvidenceAge(), func(front int) bool { return m.ranksHigher(n, front) })
}

func (m *Monitor) ranksHigher(n *node, front int) bool {
	self, other := weight(m.config.Self, n.key), weight(front, n.key)
	return other > self || other == self && front < m.config.Self
}
