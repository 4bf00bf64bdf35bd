package health

import (
	"slices"
)

// broadcast is a set of updates in transmission to all fronts of the zone.
type broadcast struct {
	priority  priority
	updates   []update
	remaining []int // remaining recipients
}

// startBroadcasts creates broadcasts of this front's observations of nodes to its zone.
func (m *Monitor) startBroadcasts(nodes []*node, repeats bool) {
	var updates, standbyUpdates []update
	for _, n := range nodes {
		if n.investigation == nil || !n.announced.queued {
			continue
		}
		n.announced.queued = false
		m.scheduleReview(n)
		own, seen := n.evidence.observationOf(m.config.Self)
		if !seen || m.byName[n.name] != n {
			continue
		}
		n.announced = announcement{state: own.state, at: own.at, pendingSince: never}
		u := update{n.key, n.encodedStart, own.state, own.at}
		if own.state == Silent && n.rank >= m.config.Quorum {
			standbyUpdates = append(standbyUpdates, u)
		} else {
			updates = append(updates, u)
		}
	}
	slices.SortStableFunc(updates, func(a, b update) int { return int(b.priority() - a.priority()) })
	to := m.recipients(nodes)
	for part := range slices.Chunk(updates, entriesPerMessage) {
		m.startBroadcast(part, part[0].priority(), repeats, to)
	}
	for part := range slices.Chunk(standbyUpdates, entriesPerMessage) {
		m.startBroadcast(part, standby, repeats, to)
	}
}

func (m *Monitor) startBroadcast(part []update, p priority, repeats bool, to []int) {
	if repeats {
		p = repeated
	}
	m.outbox.broadcasts = append(m.outbox.broadcasts, &broadcast{p, part, slices.Clone(to)})
}

// broadcastStillSilent announces with one entry that many nodes are still silent.
func (m *Monitor) broadcastStillSilent() {
	summary, ok := m.stillSilentUpdate()
	if !ok {
		return
	}
	for _, n := range m.due {
		if n.investigation != nil && n.rank < m.config.Quorum && m.announcedState(n) == Silent {
			n.announced.at = max(n.announced.at, summary.at)
		}
	}
	at := slices.Index(m.zone, m.config.Self)
	to := append(slices.Clone(m.zone[at+1:]), m.zone[:at]...)
	m.outbox.broadcasts = append(m.outbox.broadcasts, &broadcast{firstSilent, []update{summary}, to})
}

// recipients returns the other fronts of the zone in order of transmission. The order starts after this front's position,
// so that each sender reaches other fronts first. Standby probers of the nodes come last: if the rate limit delays their
// copy they broadcast in place of this front. A standby prober that replaces a missing prober uses the reverse of that
// prober's order, and so starts with the fronts that the missing prober reaches last.
func (m *Monitor) recipients(nodes []*node) []int {
	position := func(front int) int { return slices.Index(m.zone, front) }
	self := position(m.config.Self)
	order := append(slices.Clone(m.zone[self+1:]), m.zone[:self]...)
	if missing, ok := m.missingProber(nodes[0]); ok {
		at := position(missing)
		order = append(slices.Clone(m.zone[at:]), m.zone[:at]...)
		slices.Reverse(order)
		order = slices.DeleteFunc(order, func(front int) bool { return front == m.config.Self })
	}
	standbys := map[int]bool{}
	for _, n := range nodes {
		if n.investigation != nil && n.ranking != nil {
			for _, front := range n.ranking[m.config.Quorum:m.config.Probers] {
				standbys[front] = true
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case standbys[a] == standbys[b]:
			return 0
		case standbys[a]:
			return 1
		}
		return -1
	})
	return order
}

// missingProber returns the highest-ranked prober without an observation that this standby prober replaces.
func (m *Monitor) missingProber(n *node) (front int, ok bool) {
	if n.investigation == nil || n.ranking == nil || n.rank < m.config.Quorum {
		return 0, false
	}
	for _, front := range n.ranking[:m.config.Quorum] {
		if n.evidence.find(front) < 0 {
			return front, true
		}
	}
	return 0, false
}

// advance sends a broadcast to as many recipients as the rate limit permits. Updates that are no longer fresh are shed.
func (m *Monitor) advance(r *broadcast) {
	for i := range r.updates {
		m.renew(&r.updates[i])
	}
	r.updates = slices.DeleteFunc(r.updates, func(u update) bool {
		old := u.at <= m.now-m.config.freshEvidenceAge()
		if old {
			m.counts.Shed += int64(len(r.remaining))
		}
		return old || r.priority == standby && m.alreadyAnnounced(u)
	})
	if len(r.updates) == 0 {
		r.remaining = nil
		return
	}
	entries := m.entries(r.updates)
	for len(r.remaining) > 0 && m.send(r.remaining[0], entries, r.priority) {
		r.remaining = r.remaining[1:]
	}
}

// shedRepeats discards unfinished broadcasts of earlier repetitions before new ones start.
func (m *Monitor) shedRepeats() {
	m.outbox.broadcasts = slices.DeleteFunc(m.outbox.broadcasts, func(r *broadcast) bool {
		if r.priority == repeated {
			m.counts.Shed += int64(len(r.remaining) * len(r.updates))
		}
		return r.priority == repeated
	})
}

// renew updates the time of a waiting update to this front's latest observation of the same state.
func (m *Monitor) renew(u *update) {
	n := m.byKey[u.node]
	if u.state == StillSilent || n == nil || n.investigation == nil {
		return
	}
	if own, seen := n.evidence.observationOf(m.config.Self); seen && own.state == u.state {
		u.at = max(u.at, own.at)
	}
}

// alreadyAnnounced reports whether a quorum of higher-ranked fronts has announced the state.
func (m *Monitor) alreadyAnnounced(u update) bool {
	n := m.byKey[u.node]
	return n != nil && n.investigation != nil && m.countHigherRanked(n, u.state) >= m.config.Quorum
}
