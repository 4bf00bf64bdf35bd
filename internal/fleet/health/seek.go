package health

import (
	"slices"

	"otterturn/scheduler"
)

// maxRequestRounds bounds for how many times TakeoverAfter a front asks others before it looks for itself.
const maxRequestRounds = 8

// busyRounds is for how many times TakeoverAfter probers that live are waited for before others are asked.
const busyRounds = 4

// seekEvidence asks for evidence while this front needs it and has none that suffices: the node's probers first, and with
// each TakeoverAfter the next ones in rank beside them. A front in that rank looks itself, as does one that has asked for
// mostRounds. So when probers die, are paused or cut off the next follow.
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

// probersAlive tells whether a quorum of a node's probers live, by any message of theirs of late: they may have too much to tell, as
// when a region can't be seen, and others would only add to it.
func (m *Monitor) probersAlive(n *node) bool {
	heard := 0
	for _, front := range n.ranked[:m.config.Probers] {
		if p := m.peers[front]; front == m.config.Self || p != nil && p.at > m.now-busyRounds*m.config.TakeoverAfter {
			heard++
		}
	}
	return heard >= m.config.Quorum
}

// roundOf is the round of asking after evidence has been missing for so long.
func roundOf(lacked, takeoverAfter scheduler.Micros) int { return int(lacked / takeoverAfter) }

// requestAge is the age at which evidence no longer suffices: another one at each front, as all would ask at once.
func (m *Monitor) requestAge(n *node) scheduler.Micros {
	spread := float64(m.config.EvidenceLifetime-m.config.freshEvidenceAge()) / 2
	return m.config.freshEvidenceAge() + scheduler.Micros(share(m.config.Self, n.key)*spread)
}

// isBroadcastSoon tells whether the whole zone is told soon what this front saw, for the first time.
func (m *Monitor) isBroadcastSoon(n *node, own observation) bool {
	return m.shouldAnnounce(n, own) && own.at > n.announced.at && m.urgency(n, own) != repeated
}

// hasSufficientEvidence tells whether a quorum of fronts, whatever they saw, did so after a time, and until when it stays so.
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

// requestEvidence tells the probers, and those of a later group, that this front wants news of a node younger than a time.
func (m *Monitor) requestEvidence(n *node, group int, from scheduler.Micros) {
	probers := m.config.Probers
	first := group * probers % len(n.ranked)
	for i, front := range n.ranked {
		if front != m.config.Self && (i < probers || i >= first && i < first+probers) {
			m.outbox.sendTo(front, update{n.key, n.encodedStart, Suspected, from})
		}
	}
}

// evidenceRequested takes in that another front wants news of a node.
func (m *Monitor) evidenceRequested(n *node, from int, at scheduler.Micros) {
	n.investigate()
	if i := slices.IndexFunc(n.requesters, func(a requester) bool { return a.front == from }); i >= 0 {
		n.requesters[i].at = max(n.requesters[i].at, at)
	} else {
		n.requesters = append(n.requesters, requester{from, at})
	}
	m.scheduleReview(n)
}

// answerRequesters answers those who asked, as soon as there is something younger than they want. What the whole zone is told they
// hear with it.
func (m *Monitor) answerRequesters(n *node) (next scheduler.Micros) {
	if len(n.requesters) == 0 {
		return forever
	}
	seen, ok := n.evidence.of(m.config.Self)
	if n.answered > seen.at || !ok {
		seen = observation{m.config.Self, Reachable, n.answered}
	}
	to := seen.at
	if seen.state == Silent { // all the while the probe was out
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
