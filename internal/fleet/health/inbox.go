package health

import "otterturn/scheduler"

const (
	driftDivisor = 5000 // two clocks differ by one in so many parts of time more, 200 ppm
	replayWindow = 64   // a message that comes so many later than one behind it counts as repeated
)

// peer is what is kept of a front that sent messages.
type peer struct {
	run    int64
	newest uint32           // sequence
	seen   uint64           // bit i: newest - i came
	offset scheduler.Micros // least difference of both clocks
	at     scheduler.Micros // when that was seen last
}

// repeated tells whether a message of the run came before, or can't be told from one that did. It counts as come from
// then on.
func (p *peer) repeated(sequence uint32) bool {
	if sequence > p.newest || p.seen == 0 {
		p.seen = p.seen<<(sequence-p.newest) | 1
		p.newest = sequence
		return false
	}
	back := p.newest - sequence
	if back >= replayWindow || p.seen&(1<<back) != 0 {
		return true
	}
	p.seen |= 1 << back
	return false
}

// delay is for how long a message was under way: by how much more both clocks differ than they did at the quickest
// message of the run. The first of a run counts as quick.
func (p *peer) delay(now, sent scheduler.Micros) scheduler.Micros {
	difference := now - sent
	if p.at == never {
		p.offset, p.at = difference, now
		return 0
	}
	p.offset, p.at = min(p.offset+(now-p.at)/driftDivisor, difference), now
	return difference - p.offset
}

// received takes in a message of another front.
func (m *Monitor) received(e MessageReceived) {
	m.receivedBytes.Add(m.now, float64(e.Message.size()))
	if !m.inZone(e.From) {
		m.drop(DropForeign)
		return
	}
	p := m.peers[e.From]
	if p == nil || e.Message.Incarnation > p.run {
		p = &peer{run: e.Message.Incarnation, at: never}
		m.peers[e.From] = p
	}
	if e.Message.Incarnation < p.run || m.checks.repeated(p, e.Message.Sequence) {
		m.drop(DropRepeated)
		return
	}
	delay := p.delay(m.now, e.Message.Sent)
	if delay > m.config.EvidenceLifetime {
		m.drop(DropExpired)
		return
	}
	m.counts.Received++
	for _, entry := range e.Message.Entries {
		if why := m.receiveEntry(e.From, entry, delay); why != "" {
			m.drop(why)
		}
	}
}

// inZone tells whether a front is another one of this front's zone.
func (m *Monitor) inZone(front int) bool {
	zones := m.config.Zones
	return front >= 0 && front < len(zones) && front != m.config.Self && zones[front] == zones[m.config.Self]
}

// receiveEntry takes in what a front tells of a node, or tells why not.
func (m *Monitor) receiveEntry(from int, e Entry, delay scheduler.Micros) Drop {
	if e.State == StillSilent {
		return m.receiveStillSilent(from, e, delay)
	}
	n := m.byKey[e.Node]
	switch {
	case e.State < Reachable || e.State > StillSilent:
		return DropUnreadable
	case n == nil || n.keyCollision:
		return DropUnknown
	case e.Age < 0:
		return DropFuture
	case !m.checks.sameStart(e.Since, n.encodedStart) && startedLater(e.Since, n.encodedStart):
		return DropFuture
	case !m.checks.sameStart(e.Since, n.encodedStart):
		return DropOutdated
	case e.Age+delay >= m.config.EvidenceLifetime:
		return DropExpired
	case !n.running():
		return "" // the list counts for more
	}
	at := m.now - delay - e.Age
	if e.State == Suspected {
		m.evidenceRequested(n, from, at)
		return ""
	}
	n.investigate()
	m.addObservation(n, observation{from, e.State, at})
	m.scheduleReview(n)
	return ""
}

// addObservation takes in another front's observation.
func (m *Monitor) addObservation(n *node, o observation) {
	former, known := n.evidence.of(o.front)
	own, seen := n.evidence.of(m.config.Self)
	turned := o.state == Reachable && !(known && former.state == Reachable)
	if turned && seen && own.state == Silent && n.contradicted <= own.at {
		n.contradicted = m.now
	}
	m.checks.add(&n.evidence, o)
}

func sameStart(told, listed scheduler.Micros) bool { return told == listed }
