package health

import "otterturn/scheduler"

// returnSpread is the time over which the fronts of a fleet come back to a node.
const returnSpread scheduler.Micros = 1_000_000

// judge brings what this front holds of a node up to its evidence.
func (m *Monitor) judge(n *node) {
	avoid, at := n.evidence.verdict(m.config.Quorum, n.answered)
	if n.suspecting && (avoid || m.dispelled(n)) {
		n.suspecting = false
	}
	switch {
	case avoid && !n.avoided:
		n.avoided, n.returnAt = true, 0
		m.condemned++
		m.out = append(m.out, Report{scheduler.NodeSilent{Node: n.name, StartedAt: n.start, ObservedAt: at}})
	case !avoid && n.avoided:
		n.avoided, n.ended = false, m.now
		m.condemned--
		if n.evidence.count(Reachable, never, nil) > 0 {
			n.returnAt = m.returnsAt(n)
		}
	case n.faded() && n.returnAt == 0 && n.evidence.count(Reachable, n.ended, nil) > 0:
		n.returnAt = m.returnsAt(n)
	}
}

// returnsAt is when this front comes back to a node, if it does now.
func (m *Monitor) returnsAt(n *node) scheduler.Micros {
	return m.now + 1 + scheduler.Micros(share(m.config.Self, n.key)*float64(returnSpread))
}

// faded tells whether a verdict ended for want of evidence, and a probe still waits for news.
func (n *node) faded() bool { return n.held && !n.avoided && n.ended > n.heldAt }

// dispelled tells whether a suspicion of this front's is over: the node has answered it or a prober since, or nothing
// came of it for as long as evidence lives.
func (m *Monitor) dispelled(n *node) bool {
	return n.answered > n.suspected || n.evidence.count(Reachable, n.suspected, nil) > 0 ||
		m.now >= n.raised+m.config.EvidenceLife
}

// fades is when the next thing known of a node is too old.
func (m *Monitor) fades(n *node) scheduler.Micros {
	next := forever
	if at, ok := n.evidence.oldest(); ok {
		next = at + m.config.EvidenceLife
	}
	if n.suspecting {
		next = min(next, n.raised+m.config.EvidenceLife)
	}
	if n.returnAt > m.now {
		next = min(next, n.returnAt)
	}
	return next
}

// freshFor is the age up to which evidence is sufficient; beyond it this front asks for more, before it fades.
func (c Config) freshFor() scheduler.Micros { return c.EvidenceLife * 3 / 4 }

// others counts the other fronts that saw a state of late.
func (m *Monitor) others(n *node, state State) int {
	return n.evidence.count(state, never, func(front int) bool { return front != m.config.Self })
}

// ahead counts the fronts of a lower rank than this one's that saw a state not too long ago.
func (m *Monitor) ahead(n *node, state State) int {
	return n.evidence.count(state, m.now-m.config.freshFor(), func(front int) bool { return m.ranksAhead(n, front) })
}

func (m *Monitor) ranksAhead(n *node, front int) bool {
	self, other := weight(m.config.Self, n.key), weight(front, n.key)
	return other > self || other == self && front < m.config.Self
}
