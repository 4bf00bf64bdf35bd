package health

import "otterturn/scheduler"

// standbyDelay is the time that a prober ranked beyond the quorum waits for the announcements of the others before it
// announces its own observation.
const standbyDelay scheduler.Micros = 60_000

// announce queues the announcement of a new observation of a node if this front is responsible for it.
func (m *Monitor) announce(n *node) (next scheduler.Micros) {
	own, seen := n.evidence.observationOf(m.config.Self)
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
	if delay := m.announceDelay(n); m.now < n.announced.pendingSince+delay {
		return n.announced.pendingSince + delay
	}
	n.announced.queued = true
	m.outbox.queue(n, m.priority(n, own), m.now)
	return forever
}

// shouldAnnounce reports whether this front is responsible for announcing its observation to the zone.
func (m *Monitor) shouldAnnounce(n *node, own observation) bool {
	if !n.probedForZone || own.state == Reachable && !m.zoneMayHoldSilent(n) || m.contradictedSince(n, own) {
		return false
	}
	contradicted := m.announcedState(n) != 0 && n.announced.state != own.state
	return contradicted || m.countHigherRanked(n, own.state) < m.config.Quorum
}

// contradictedSince reports whether another front reported the node reachable after this front sent its unanswered probe.
// This front then probes again before it announces anything, and announces the result of that probe in any case.
func (m *Monitor) contradictedSince(n *node, own observation) bool {
	return own.state == Silent && n.contradictedAt > own.at && m.countOthers(n, Reachable) > 0
}

// zoneMayHoldSilent reports whether fronts of the zone may consider the node silent.
func (m *Monitor) zoneMayHoldSilent(n *node) bool {
	return n.avoided || m.announcedState(n) == Silent || m.countOthers(n, Silent) > 0
}

// announcedState returns the state in the last announcement of this front that has not expired, 0 if there is none.
func (m *Monitor) announcedState(n *node) State {
	if n.announced.at <= m.now-m.config.EvidenceLifetime {
		return 0
	}
	return n.announced.state
}

// announceDelay returns the time to wait for announcements of others. It is 0 for a front that corrects or repeats its own
// announcement.
func (m *Monitor) announceDelay(n *node) scheduler.Micros {
	if n.rank < m.config.Quorum || m.announcedState(n) != 0 {
		return 0
	}
	return standbyDelay
}

// priority returns the priority of an announcement. Announcements that only refresh evidence, or withdraw evidence that no
// longer makes the zone avoid the node, have the lowest one.
func (m *Monitor) priority(n *node, own observation) priority {
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

// zoneAvoids reports whether the zone's other fronts avoid a node, judging by the announcements they received.
func (m *Monitor) zoneAvoids(n *node) bool {
	silent, reached := m.countOthers(n, Silent), m.countOthers(n, Reachable)
	switch m.announcedState(n) {
	case Silent:
		silent++
	case Reachable:
		reached++
	}
	return silent >= m.config.Quorum && silent > reached
}
