package health

import (
	"slices"
)

// broadcast is a set of updates in transmission to all fronts of the zone.
type broadcast struct {
	urgency urgency
	news    []update
	to      []int // remaining recipients
}

// startBroadcasts creates broadcasts of this front's observations of nodes to its zone.
func (m *Monitor) startBroadcasts(nodes []*node, repeats bool) {
	var all, stoodIn []update
	for _, n := range nodes {
		if n.investigation == nil || !n.announced.queued {
			continue
		}
		n.announced.queued = false
		m.scheduleReview(n)
		own, seen := n.evidence.of(m.config.Self)
		if !seen || m.byName[n.name] != n {
			continue
		}
		n.announced = announcement{state: own.state, at: own.at, pendingSince: never}
		this := update{n.key, n.encodedStart, own.state, own.at}
		if own.state == Silent && n.rank >= m.config.Quorum {
			stoodIn = append(stoodIn, this)
		} else {
			all = append(all, this)
		}
	}
	slices.SortStableFunc(all, func(a, b update) int { return int(b.urgency() - a.urgency()) })
	to := m.recipients(nodes)
	for part := range slices.Chunk(all, entriesPerMessage) {
		m.startBroadcast(part, part[0].urgency(), repeats, to)
	}
	for part := range slices.Chunk(stoodIn, entriesPerMessage) {
		m.startBroadcast(part, standby, repeats, to)
	}
}

func (m *Monitor) startBroadcast(part []update, u urgency, repeats bool, to []int) {
	if repeats {
		u = repeated
	}
	m.outbox.rounds = append(m.outbox.rounds, &broadcast{u, part, slices.Clone(to)})
}

// broadcastStillSilent announces with one entry that many nodes are still silent.
func (m *Monitor) broadcastStillSilent() {
	all, ok := m.stillSilentUpdate()
	if !ok {
		return
	}
	for _, n := range m.due {
		if n.investigation != nil && n.rank < m.config.Quorum && m.announcedState(n) == Silent {
			n.announced.at = max(n.announced.at, all.at)
		}
	}
	at := slices.Index(m.zone, m.config.Self)
	to := append(slices.Clone(m.zone[at+1:]), m.zone[:at]...)
	m.outbox.rounds = append(m.outbox.rounds, &broadcast{firstSilent, []update{all}, to})
}

// recipients returns the other fronts of the zone in order of transmission. The order starts after this front's position,
// so that each sender reaches other fronts first. Standby probers of the nodes come last: if the rate limit delays their
// copy they broadcast in place of this front. A standby prober that replaces a missing prober uses the reverse of that
// prober's order, and so starts with the fronts that the missing prober reaches last.
func (m *Monitor) recipients(nodes []*node) []int {
	place := func(front int) int { return slices.Index(m.zone, front) }
	self := place(m.config.Self)
	order := append(slices.Clone(m.zone[self+1:]), m.zone[:self]...)
	if missing, ok := m.missingProber(nodes[0]); ok {
		at := place(missing)
		order = append(slices.Clone(m.zone[at:]), m.zone[:at]...)
		slices.Reverse(order)
		order = slices.DeleteFunc(order, func(front int) bool { return front == m.config.Self })
	}
	last := map[int]bool{}
	for _, n := range nodes {
		if n.investigation != nil && n.ranked != nil {
			for _, front := range n.ranked[m.config.Quorum:m.config.Probers] {
				last[front] = true
			}
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case last[a] == last[b]:
			return 0
		case last[a]:
			return 1
		}
		return -1
	})
	return order
}

// missingProber returns the highest-ranked prober without an observation that this standby prober replaces.
func (m *Monitor) missingProber(n *node) (front int, ok bool) {
	if n.investigation == nil || n.ranked == nil || n.rank < m.config.Quorum {
		return 0, false
	}
	for _, front := range n.ranked[:m.config.Quorum] {
		if n.evidence.find(front) < 0 {
			return front, true
		}
	}
	return 0, false
}

// advance sends a broadcast to as many recipients as the rate limit permits. Updates that are no longer fresh are shed.
func (m *Monitor) advance(r *broadcast) {
	for i := range r.news {
		m.renew(&r.news[i])
	}
	r.news = slices.DeleteFunc(r.news, func(n update) bool {
		old := n.at <= m.now-m.config.freshEvidenceAge()
		if old {
			m.counts.Shed += int64(len(r.to))
		}
		return old || r.urgency == standby && m.alreadyAnnounced(n)
	})
	if len(r.news) == 0 {
		r.to = nil
		return
	}
	entries := m.entries(r.news)
	for len(r.to) > 0 && m.send(r.to[0], entries, r.urgency) {
		r.to = r.to[1:]
	}
}

// shedRepeats discards unfinished broadcasts of earlier repetitions before new ones start.
func (m *Monitor) shedRepeats() {
	m.outbox.rounds = slices.DeleteFunc(m.outbox.rounds, func(r *broadcast) bool {
		if r.urgency == repeated {
			m.counts.Shed += int64(len(r.to) * len(r.news))
		}
		return r.urgency == repeated
	})
}

// renew updates the time of a waiting update to this front's latest observation of the same state.
func (m *Monitor) renew(n *update) {
	about := m.byKey[n.node]
	if n.state == StillSilent || about == nil || about.investigation == nil {
		return
	}
	if own, seen := about.evidence.of(m.config.Self); seen && own.state == n.state {
		n.at = max(n.at, own.at)
	}
}

// alreadyAnnounced reports whether a quorum of higher-ranked fronts has announced the state.
func (m *Monitor) alreadyAnnounced(n update) bool {
	about := m.byKey[n.node]
	return about != nil && about.investigation != nil && m.countHigherRanked(about, n.state) >= m.config.Quorum
}
