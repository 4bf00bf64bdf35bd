package health

import "otterturn/scheduler"

// standbyDelay is for how long a prober beyond the quorum waits before it tells what it saw: the others tell it.
const standbyDelay scheduler.Micros = 60_000

// announce tells the zone what this front saw of a node, where that is its part and news.
func (m *Monitor) announce(n *node) (next scheduler.Micros) {
	own, seen := n.evidence.of(m.config.Self)
	if !seen || own.at <= n.announced.at && own.state == n.announced.state {
		n.announced.pendingSince = never
		return forever
	}
	if n.announced.queued || !m.shouldAnnounce(n, own) {
		return forever
	}
	if n.announced.pendingSince == never {
		n.announced.pendingSince = m.now
	}
	if patience := m.announceDelay(n); m.now < n.announced.pendingSince+patience {
		return n.announced.pendingSince + patience
	}
	n.announced.queued = true
	m.outbox.queue(n, m.urgency(n, own), m.now)
	return forever
}

// shouldAnnounce tells whether it is this front's part to tell its zone what it saw.
func (m *Monitor) shouldAnnounce(n *node, own observation) bool {
	if !n.probedForZone || own.state == Reachable && !m.zoneMayHoldSilent(n) || m.contradictedSince(n, own) {
		return false
	}
	contradicted := m.announcedState(n) != 0 && n.announced.state != own.state
	return contradicted || m.countHigherRanked(n, own.state) < m.config.Quorum
}

// contradictedSince tells whether this front heard, after it sent the probe that was not answered, that another one reached the
// node: then it looks again before it says anything. What it sees then it tells whatever others say.
func (m *Monitor) contradictedSince(n *node, own observation) bool {
	return own.state == Silent && n.contradicted > own.at && m.countOthers(n, Reachable) > 0
}

// zoneMayHoldSilent tells whether the zone may hold a node for silent.
func (m *Monitor) zoneMayHoldSilent(n *node) bool {
	return n.avoided || m.announcedState(n) == Silent || m.countOthers(n, Silent) > 0
}

// announcedState is what the zone heard of this front and may still believe, 0 for nothing.
func (m *Monitor) announcedState(n *node) State {
	if n.announced.at <= m.now-m.config.EvidenceLifetime {
		return 0
	}
	return n.announced.state
}

// announceDelay is how long this front waits for others before it tells: not where it is to take back what it told.
func (m *Monitor) announceDelay(n *node) scheduler.Micros {
	if n.rank < m.config.Quorum || m.announcedState(n) != 0 {
		return 0
	}
	return standbyDelay
}

// urgency tells news from what only keeps older news fresh, or takes back what makes no difference any more.
func (m *Monitor) urgency(n *node, own observation) urgency {
	switch {
	case m.announcedState(n) == own.state:
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
	silent, back := m.countOthers(n, Silent), m.countOthers(n, Reachable)
	switch m.announcedState(n) {
	case Silent:
		silent++
	case Reachable:
		back++
	}
	return silent >= m.config.Quorum && silent > back
}
