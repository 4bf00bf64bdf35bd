package health

import (
	"slices"

	"otterturn/scheduler"
)

// maxRequestRounds is the maximum number of rounds, of TakeoverAfter each, in which a front requests evidence before it
// probes itself.
const maxRequestRounds = 8

// busyRounds is the number of rounds, of TakeoverAfter each, to wait for probers that are alive before other fronts are
// asked.
const busyRounds = 4

// seekEvidence requests evidence while this front needs it and has too little. It asks the node's probers first, and after
// each TakeoverAfter also the next group of fronts by rank. A front probes itself when its own group is reached, or after
// maxRequestRounds. So the next fronts take over when probers crash, are paused or are disconnected.
func (m *Monitor) seekEvidence(n *node) (next scheduler.Micros) {
	from := m.now - m.requestAge(n)
	if n.suspecting {
		from = max(from, n.suspectedSince)
	}
	needed := n.avoided || n.suspecting || n.verdictExpired() || n.schedulerWaits && m.countOthers(n, Silent) > 0
	if enough, until := m.hasSufficientEvidence(n, from); !needed || enough {
		n.lacking, n.takeover = false, false
		if !needed {
			return forever
		}
		return until
	}
	if !n.lacking {
		n.lacking, n.lackingSince, n.round = true, m.now, -1
	}
	lacked := m.now - n.lackingSince
	if round := m.checks.round(lacked, m.config.TakeoverAfter); round > n.round {
		n.round = round
		group := round
		if m.probersAlive(n) {
			group /= busyRounds
		}
		m.requestEvidence(n, group, max(from, n.answered))
		n.takeover = n.takeover || group >= min(n.rank/m.config.Probers, maxRequestRounds)
	}
	return m.now + m.config.TakeoverAfter - lacked%m.config.TakeoverAfter
}

// probersAlive reports whether this front has recently received any message from a quorum of the node's probers. They may
// have more updates than the rate limit permits, for example when a region is unreachable; asking further fronts would
// only add traffic.
func (m *Monitor) probersAlive(n *node) bool {
	heard := 0
	for _, front := range n.ranked[:m.config.Probers] {
		if p := m.peers[front]; front == m.config.Self || p != nil && p.at > m.now-busyRounds*m.config.TakeoverAfter {
			heard++
		}
	}
	return heard >= m.config.Quorum
}

// roundOf returns the number of the request round after evidence has been missing for the given time.
func roundOf(lacked, takeoverAfter scheduler.Micros) int { return int(lacked / takeoverAfter) }

// requestAge is the age above which evidence is no longer sufficient. It differs between fronts, so that they do not all
// send requests at the same time.
func (m *Monitor) requestAge(n *node) scheduler.Micros {
	spread := float64(m.config.EvidenceLifetime-m.config.freshEvidenceAge()) / 2
	return m.config.freshEvidenceAge() + scheduler.Micros(share(m.config.Self, n.key)*spread)
}

// isBroadcastSoon reports whether this front will soon announce its observation to the whole zone for the first time.
func (m *Monitor) isBroadcastSoon(n *node, own observation) bool {
	return m.shouldAnnounce(n, own) && own.at > n.announced.at && m.urgency(n, own) != repeated
}

// hasSufficientEvidence reports whether a quorum of fronts has observations, of any state, from after the given time, and
// until when this remains true.
func (m *Monitor) hasSufficientEvidence(n *node, from scheduler.Micros) (enough bool, until scheduler.Micros) {
	var times []scheduler.Micros
	for _, o := range n.evidence {
		if o.at > from {
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
func (m *Monitor) requestEvidence(n *node, group int, from scheduler.Micros) {
	probers := m.config.Probers
	first := group * probers % len(n.ranked)
	for i, front := range n.ranked {
		if front != m.config.Self && (i < probers || i >= first && i < first+probers) {
			m.outbox.sendTo(front, update{n.key, n.encodedStart, Suspected, from})
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
	seen, ok := n.evidence.of(m.config.Self)
	if n.answered > seen.at || !ok {
		seen = observation{m.config.Self, Reachable, n.answered}
	}
	to := seen.at
	if seen.state == Silent { // the node was silent until the probe timed out
		to += m.config.ProbeTimeout
	}
	waiting := n.requesters[:0]
	for _, a := range n.requesters {
		switch {
		case to > a.at && !m.isBroadcastSoon(n, seen):
			m.outbox.sendTo(a.front, update{n.key, n.encodedStart, seen.state, seen.at})
		case to <= a.at && a.at > m.now-m.config.EvidenceLifetime:
			waiting = append(waiting, a)
		}
	}
	n.requesters = waiting
	return forever
}
