package health

import (
	"slices"

	"otterturn/rules"
)

const (
	batchFor  rules.Micros = 20_000    // news waits for so long for others,
	batchMost rules.Micros = 50_000    // for so long while probes are out that may make some,
	batchGap  rules.Micros = 100_000   // and for so long since the last went out
	retryFor  rules.Micros = 50_000    // what finds no room is tried again
	bytesSpan rules.Micros = 1_000_000 // of Config.MessageBytes
	lifeParts              = 3         // evidence is repeated after one in so many parts of its life
)

// urgency orders what is told; the lowest is shed first.
type urgency int

const (
	repeated urgency = iota
	request
	firstSilent
	reachable
)

// room is the part of the bytes of a second up to which something may be sent.
var room = [...]float64{repeated: 0.7, request: 0.8, firstSilent: 0.95, reachable: 1}

// news is an Entry with its time in the place of an age.
type news struct {
	node  uint64
	since rules.Micros
	state State
	at    rules.Micros
}

func (n news) urgency() urgency {
	switch n.state {
	case Suspected:
		return request
	case Reachable:
		return reachable
	}
	return firstSilent
}

// outbox is what is to be told.
type outbox struct {
	to       map[int][]news // to single fronts
	order    []int          // of these, as they came
	news     []*node        // to the zone,
	newsAt   rules.Micros   // at this time,
	newsMost rules.Micros   // or until this one while probes are out
	repeats  []*node        // to the zone, with the next repetition
	repeatAt rules.Micros
	sentAt   rules.Micros // when news went out last
	rounds   []*round     // under way
	retryAt  rules.Micros
	sequence map[int]uint32 // of the last message to each front
}

// round is news on its way to all fronts of the zone.
type round struct {
	urgency urgency
	news    []news
	to      []int // still to be told
}

func newOutbox() outbox {
	return outbox{to: map[int][]news{}, newsAt: forever, repeatAt: never, sentAt: never, sequence: map[int]uint32{}}
}

// direct puts news to a single front; it goes out with this step.
func (o *outbox) direct(to int, n news) {
	if len(o.to[to]) == 0 {
		o.order = append(o.order, to)
	}
	o.to[to] = append(o.to[to], n)
}

// queue puts a node whose news the zone is to be told.
func (o *outbox) queue(n *node, u urgency, now rules.Micros) {
	if u == repeated {
		o.repeats = append(o.repeats, n)
		return
	}
	if len(o.news) == 0 {
		o.newsAt, o.newsMost = max(now+batchFor, o.sentAt+batchGap), max(now+batchMost, o.sentAt+batchGap)
	}
	o.news = append(o.news, n)
}

// keep drops fronts that don't stay, and numbers messages anew where the front counts as another one.
func (o *outbox) keep(stays func(front int) bool, same bool) {
	for _, r := range o.rounds {
		r.to = slices.DeleteFunc(r.to, func(front int) bool { return !stays(front) })
	}
	if !same {
		clear(o.sequence)
	}
}

// outboxDue is when something is to be sent.
func (m *Monitor) outboxDue() rules.Micros {
	o, next := &m.outbox, forever
	switch {
	case len(o.news) == 0:
	case m.now < o.newsAt:
		next = o.newsAt
	default: // a probe's end may be earlier
		next = o.newsMost
	}
	if len(o.repeats) > 0 {
		next = min(next, o.repeatAt)
	}
	if len(o.rounds) > 0 {
		next = min(next, o.retryAt)
	}
	return next
}

// expectsNews tells whether a probe is out that may be taken for failed soon.
func (m *Monitor) expectsNews() bool {
	return slices.ContainsFunc(m.due, func(n *node) bool {
		return n.trouble != nil && n.duty && n.probe.out && !n.probe.counted && !n.probe.void
	})
}

// flush sends what is due and finds room.
func (m *Monitor) flush() {
	m.flushDirect()
	o := &m.outbox
	if len(o.news) > 0 && m.now >= o.newsAt && (m.now >= o.newsMost || !m.expectsNews()) {
		m.begin(o.news, false)
		o.news, o.newsAt, o.sentAt = o.news[:0], forever, m.now
	}
	if len(o.repeats) > 0 && m.now >= o.repeatAt {
		m.shed()
		m.begin(o.repeats, true)
		o.repeats, o.repeatAt = o.repeats[:0], m.now+m.config.EvidenceLife/lifeParts
	}
	if len(o.rounds) == 0 {
		return
	}
	slices.SortStableFunc(o.rounds, func(a, b *round) int { return int(b.urgency - a.urgency) })
	for _, r := range o.rounds {
		m.advance(r)
	}
	o.rounds = slices.DeleteFunc(o.rounds, func(r *round) bool { return len(r.to) == 0 })
	o.retryAt = m.now + retryFor
}

func (m *Monitor) flushDirect() {
	o := &m.outbox
	for _, to := range o.order {
		for part := range slices.Chunk(o.to[to], entriesPerMessage) {
			u := request
			for _, n := range part {
				u = max(u, n.urgency())
			}
			if !m.send(to, m.entries(part), u) {
				m.counts.Shed += int64(len(part))
			}
		}
		delete(o.to, to)
	}
	o.order = o.order[:0]
}

// begin turns what this front saw of nodes into rounds to its zone.
func (m *Monitor) begin(nodes []*node, repeats bool) {
	var all []news
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
		all = append(all, news{n.key, n.wire, own.state, own.at})
	}
	slices.SortStableFunc(all, func(a, b news) int { return int(b.urgency() - a.urgency()) })
	to := m.recipients(nodes)
	for part := range slices.Chunk(all, entriesPerMessage) {
		u := part[0].urgency()
		if repeats {
			u = repeated
		}
		m.outbox.rounds = append(m.outbox.rounds, &round{u, part, slices.Clone(to)})
	}
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
	r.news = slices.DeleteFunc(r.news, func(n news) bool {
		old := n.at <= m.now-m.config.freshFor()
		if old {
			m.counts.Shed += int64(len(r.to))
		}
		return old
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

// entries are news with their ages.
func (m *Monitor) entries(all []news) []Entry {
	out := make([]Entry, len(all))
	for i, n := range all {
		age := max(0, m.now-n.at)
		out[i] = Entry{Node: n.node, Since: n.since, State: n.state, Age: min(age-age%milli, longestAge)}
	}
	return out
}

// send sends a message, if there is room for it.
func (m *Monitor) send(to int, entries []Entry, u urgency) bool {
	run := rules.Micros(m.config.Run)
	message := Message{
		Run: m.config.Run, Sequence: m.outbox.sequence[to] + 1,
		Sent: run + rules.Micros(floorMillis(m.now-run))*milli, Entries: entries,
	}
	size := message.size()
	if m.bytes.Sum(m.now)+float64(size) > room[u]*m.config.MessageBytes {
		return false
	}
	m.bytes.Add(m.now, float64(size))
	m.outbox.sequence[to]++
	m.counts.Sent++
	m.counts.SentBytes += int64(size)
	m.out = append(m.out, Send{To: to, Message: message})
	return true
}
