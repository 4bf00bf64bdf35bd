package health

import (
	"slices"

	"otterturn/scheduler"
)

// maxRequestRounds is the maximum number of rounds, of TakeoverAfter each, in which a front requests evidence before it
// probes itself.
const maxRequestRounds = 8

// aliveProberRounds is the number of rounds, of TakeoverAfter each, that a front waits for probers that are alive
// before it asks other fronts.
const aliveProberRounds = 4

// seekEvidence requests evidence while this front needs it and has too little. It asks the node's probers first, and after
// each TakeoverAfter also the next group of fronts by rank. A front probes itself when its own group is reached, or after
// maxRequestRounds. So the next fronts take over when probers crash, are paused or are disconnected.
func (m *Monitor) seekEvidence(n *node) (next scheduler.Micros) {
	after := m.now - m.requestAge(n)
	if n.suspected {
		after = max(after, n.suspectedSince)
	}
	needed := n.avoided || n.suspected || n.verdictExpired() || n.schedulerWaits && m.countOthers(n, Silent) > 0
	if sufficient, until := m.hasSufficientEvidence(n, after); !needed || sufficient {
		n.lackingEvidence, n.takeover = false, false
		if !needed {
			return forever
		}
		return until
	}
	if !n.lackingEvidence {
		n.lackingEvidence, n.lackingEvidenceSince, n.requestRound = true, m.now, -1
	}
	lackingFor := m.now - n.lackingEvidenceSince
	if requestRound := m.checks.requestRound(lackingFor, m.config.TakeoverAfter); requestRound > n.requestRound {
		n.requestRound = requestRound
		group := requestRound
		if m.probersAlive(n) {
			group /= aliveProberRounds
		}
		m.requestEvidence(n, group, max(after, n.answeredAt))
		n.takeover = n.takeover || group >= min(n.rank/m.config.Probers, maxRequestRounds)
	}
	return m.now + m.config.TakeoverAfter - lackingFor%m.config.TakeoverAfter
}

// probersAlive reports whether this front has recently received any message from a quorum of the node's probers. They may
// have more updates than the rate limit permits, for example when a region is unreachable; asking further fronts would
// only add traffic.
func (m *Monitor) probersAlive(n *node) bool {
	alive := 0
	for _, front := range n.ranking[:m.config.Probers] {
		if p := m.peers[front]; front == m.config.Self || p != nil && p.offsetAt > m.now-aliveProberRounds*m.config.TakeoverAfter {
			alive++
		}
	}
	return alive >= m.config.Quorum
}

// requestRoundAfter returns the number of the request round after evidence has been missing for the given time.
func requestRoundAfter(lackingFor, takeoverAfter scheduler.Micros) int {
	return int(lackingFor / takeoverAfter)
}

// requestAge returns the age above which evidence is no longer sufficient. It differs between fronts, so that they do not all
// send requests at the same time.
func (m *Monitor) requestAge(n *node) scheduler.Micros {
	spread := float64(m.config.EvidenceLifetime-m.config.freshEvidenceAge()) / 2
	return m.config.freshEvidenceAge() + scheduler.Micros(hashFraction(m.config.Self, n.key)*spread)
}

// isBroadcastSoon reports whether this front will soon announce its observation to the whole zone for the first time.
func (m *Monitor) isBroadcastSoon(n *node, own observation) bool {
	return m.shouldAnnounce(n, own) && own.at > n.announced.at && m.priority(n, own) != repeated
}

// hasSufficientEvidence reports whether a quorum of fronts has observations, of any state, from after the given time, and
// until when this remains true.
func (m *Monitor) hasSufficientEvidence(n *node, after scheduler.Micros) (sufficient bool, until scheduler.Micros) {
	var times []scheduler.Micros
	for _, o := range n.evidence {
		if o.at > after {
			times = append(times, o.at)
		}
	}
	if len(times) < m.config.Quorum {
		return false, 0
	}
	slices.Sort(times)
	return true, times[len(times)-m.config.Quorum] + m.requestAge(n)
}

// requestEvidence asks the probers, and the fronts of the given group, for evidence about a node newer than the given
// time.
func (m *Monitor) requestEvidence(n *node, group int, after scheduler.Micros) {
	probers := m.config.Probers
	first := group * probers % len(n.ranking)
	for i, front := range n.ranking {
		if front != m.config.Self && (i < probers || i >= first && i < first+probers) {
			m.outbox.sendTo(front, update{n.key, n.encodedStart, Suspected, after})
		}
	}
}

// evidenceRequested records that another front requests evidence about a node.
func (m *Monitor) evidenceRequested(n *node, from int, at scheduler.Micros) {
	n.investigate()
	if i := slices.IndexFunc(n.requesters, func(a requester) bool { return a.front == from }); i >= 0 {
		n.requesters[i].at = max(n.requesters[i].at, at)
	} else {
		n.requesters = append(n.requesters, requester{from, at})
	}
	m.scheduleReview(n)
}

// answerRequesters answers the requesters for which this front has evidence that is new enough. Observations that are about
// to be broadcast to the zone need no separate answer.
func (m *Monitor) answerRequesters(n *node) (next scheduler.Micros) {
	if len(n.requesters) == 0 {
		return forever
	}
	latest, ok := n.evidence.observationOf(m.config.Self)
	if n.answeredAt > latest.at || !ok {
		latest = observation{m.config.Self, Reachable, n.answeredAt}
	}
	observedUntil := latest.at
	if latest.state == Silent { // the node was silent until the probe timed out
		observedUntil += m.config.ProbeTimeout
	}
	waiting := n.requesters[:0]
	for _, r := range n.requesters {
		switch {
		case observedUntil > r.at && !m.isBroadcastSoon(n, latest):
			m.outbox.sendTo(r.front, update{n.key, n.encodedStart, latest.state, latest.at})
		case observedUntil <= r.at && r.at > m.now-m.config.EvidenceLifetime:
			waiting = append(waiting, r)
		}
	}
	n.requesters = waiting
	return forever
}
