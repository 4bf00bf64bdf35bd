package health

import (
	"slices"
)

// round is news on its way to all fronts of the zone.
type round struct {
	urgency urgency
	news    []news
	to      []int // still to be told
}

// begin turns what this front saw of nodes into rounds to its zone.
func (m *Monitor) begin(nodes []*node, repeats bool) {
	var all, stoodIn []news
	for _, n := range nodes {
		if n.trouble == nil || !n.told.queued {
			continue
		}
		n.told.queued = false
		m.touch(n)
		own, seen := n.evidence.of(m.config.Self)
		if !seen || m.byName[n.name] != n {
			continue
		}
		n.told = tale{state: own.state, at: own.at, since: never}
		this := news{n.key, n.wire, own.state, own.at}
		if own.state == Silent && n.rank >= m.config.Quorum {
			stoodIn = append(stoodIn, this)
		} else {
			all = append(all, this)
		}
	}
	slices.SortStableFunc(all, func(a, b news) int { return int(b.urgency() - a.urgency()) })
	to := m.recipients(nodes)
	for part := range slices.Chunk(all, entriesPerMessage) {
		m.beginRound(part, part[0].urgency(), repeats, to)
	}
	for part := range slices.Chunk(stoodIn, entriesPerMessage) {
		m.beginRound(part, standby, repeats, to)
	}
}

func (m *Monitor) beginRound(part []news, u urgency, repeats bool, to []int) {
	if repeats {
		u = repeated
	}
	m.outbox.rounds = append(m.outbox.rounds, &round{u, part, slices.Clone(to)})
}

// beginStanding says of many nodes at once that they are still silent.
func (m *Monitor) beginStanding() {
	all, ok := m.standing()
	if !ok {
		return
	}
	for _, n := range m.due {
		if n.trouble != nil && n.rank < m.config.Quorum && m.tells(n) == Silent {
			n.told.at = max(n.told.at, all.at)
		}
	}
	at := slices.Index(m.zone, m.config.Self)
	to := append(slices.Clone(m.zone[at+1:]), m.zone[:at]...)
	m.outbox.rounds = append(m.outbox.rounds, &round{firstSilent, []news{all}, to})
}

// recipients are the zone's other fronts in the order in which they are told: from this front's place on. Probers that
// stand by come last: where there is no room for them they tell the others in this front's place. They begin with
// those that a prober which they have not heard comes to last.
func (m *Monitor) recipients(nodes []*node) []int {
	place := func(front int) int { return slices.Index(m.zone, front) }
	self := place(m.config.Self)
	order := append(slices.Clone(m.zone[self+1:]), m.zone[:self]...)
	if missing, ok := m.unheard(nodes[0]); ok {
		at := place(missing)
		order = append(slices.Clone(m.zone[at:]), m.zone[:at]...)
		slices.Reverse(order)
		order = slices.DeleteFunc(order, func(front int) bool { return front == m.config.Self })
	}
	last := map[int]bool{}
	for _, n := range nodes {
		if n.trouble != nil && n.ranked != nil {
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

// unheard is the first prober of a node that this front stands in for.
func (m *Monitor) unheard(n *node) (front int, ok bool) {
	if n.trouble == nil || n.ranked == nil || n.rank < m.config.Quorum {
		return 0, false
	}
	for _, front := range n.ranked[:m.config.Quorum] {
		if n.evidence.find(front) < 0 {
			return front, true
		}
	}
	return 0, false
}

// advance sends a round on to as many fronts as there is room for. What is too old is shed.
func (m *Monitor) advance(r *round) {
	for i := range r.news {
		m.renew(&r.news[i])
	}
	r.news = slices.DeleteFunc(r.news, func(n news) bool {
		old := n.at <= m.now-m.config.freshFor()
		if old {
			m.counts.Shed += int64(len(r.to))
		}
		return old || r.urgency == standby && m.spoken(n)
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

// shed drops what is left of earlier repetitions as new ones begin.
func (m *Monitor) shed() {
	m.outbox.rounds = slices.DeleteFunc(m.outbox.rounds, func(r *round) bool {
		if r.urgency == repeated {
			m.counts.Shed += int64(len(r.to) * len(r.news))
		}
		return r.urgency == repeated
	})
}

// renew brings news that waited up to what this front saw since.
func (m *Monitor) renew(n *news) {
	about := m.byKey[n.node]
	if n.state == Standing || about == nil || about.trouble == nil {
		return
	}
	if own, seen := about.evidence.of(m.config.Self); seen && own.state == n.state {
		n.at = max(n.at, own.at)
	}
}

// spoken tells whether those for whom this front stands in have told the news.
func (m *Monitor) spoken(n news) bool {
	about := m.byKey[n.node]
	return about != nil && about.trouble != nil && m.ahead(about, n.state) >= m.config.Quorum
}
