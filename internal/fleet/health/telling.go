package health

import "otterturn/scheduler"

// standbyPatience is for how long a prober beyond the quorum waits before it tells what it saw: the others tell it.
const standbyPatience scheduler.Micros = 60_000

// tell tells the zone what this front saw of a node, where that is its part and news.
func (m *Monitor) tell(n *node) (next scheduler.Micros) {
	own, seen := n.evidence.of(m.config.Self)
	if !seen || own.at <= n.told.at && own.state == n.told.state {
		n.told.since = never
		return forever
	}
	if n.told.queued || !m.tellsAll(n, own) {
		return forever
	}
	if n.told.since == never {
		n.told.since = m.now
	}
	if patience := m.patience(n); m.now < n.told.since+patience {
		return n.told.since + patience
	}
	n.told.queued = true
	m.outbox.queue(n, m.urgency(n, own), m.now)
	return forever
}

// tellsAll tells whether it is this front's part to tell its zone what it saw.
func (m *Monitor) tellsAll(n *node, own observation) bool {
	if !n.duty || own.state == Reachable && !m.heldSilent(n) || m.overtaken(n, own) {
		return false
	}
	contradicted := m.tells(n) != 0 && n.told.state != own.state
	return contradicted || m.ahead(n, own.state) < m.config.Quorum
}

// overtaken tells whether this front heard, after it sent the probe that was not answered, that another one reached the
// node: then it looks again before it says anything. What it sees then it tells whatever others say.
func (m *Monitor) overtaken(n *node, own observation) bool {
	return own.state == Silent && n.contradicted > own.at && m.others(n, Reachable) > 0
}

// heldSilent tells whether the zone may hold a node for silent.
func (m *Monitor) heldSilent(n *node) bool {
	return n.avoided || m.tells(n) == Silent || m.others(n, Silent) > 0
}

// tells is what the zone heard of this front and may still believe, 0 for nothing.
func (m *Monitor) tells(n *node) State {
	if n.told.at <= m.now-m.config.EvidenceLife {
		return 0
	}
	return n.told.state
}

// patience is how long this front waits for others before it tells: not where it is to take back what it told.
func (m *Monitor) patience(n *node) scheduler.Micros {
	if n.rank < m.config.Quorum || m.tells(n) != 0 {
		return 0
	}
	return standbyPatience
}

// urgency tells news from what only keeps older news fresh, or takes back what makes no difference any more.
func (m *Monitor) urgency(n *node, own observation) urgency {
	switch {
	case m.tells(n) == own.state:
		return repeated
	case own.state == Silent:
		return firstSilent
	case m.zoneAvoids(n):
		return reachable
	}
	return repeated
}

// zoneAvoids tells whether the zone's other fronts avoid a node, by what they have heard.
func (m *Monitor) zoneAvoids(n *node) bool {
	silent, back := m.others(n, Silent), m.others(n, Reachable)
	switch m.tells(n) {
	case Silent:
		silent++
	case Reachable:
		back++
	}
	return silent >= m.config.Quorum && silent > back
}
