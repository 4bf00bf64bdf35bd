package health

import "otterturn/scheduler"

const (
	driftDivisor = 5000 // reciprocal of the assumed clock drift between two fronts, 200 ppm
	replayWindow = 64   // a message that is this many sequence numbers older than the newest counts as repeated
)

// peer is the state kept for a front that has sent messages.
type peer struct {
	incarnation    int64
	newestSequence uint32           // highest sequence number received
	receivedMask   uint64           // bit i is set if sequence number newest-i was received
	minOffset      scheduler.Micros // minimum difference between the time of receipt and of sending, corrected for drift
	offsetAt       scheduler.Micros // time of the last update of minOffset, never before the first message
}

// repeated reports whether a message of the incarnation was received before, or is too old to know. It marks the message
// as received.
func (p *peer) repeated(sequence uint32) bool {
	if sequence > p.newestSequence || p.receivedMask == 0 {
		p.receivedMask = p.receivedMask<<(sequence-p.newestSequence) | 1
		p.newestSequence = sequence
		return false
	}
	distance := p.newestSequence - sequence
	if distance >= replayWindow || p.receivedMask&(1<<distance) != 0 {
		return true
	}
	p.receivedMask |= 1 << distance
	return false
}

// delay estimates the transit time of a message: the clock difference minus the minimum difference over the messages of
// the incarnation. The first message of an incarnation has a delay of 0.
func (p *peer) delay(now, sent scheduler.Micros) scheduler.Micros {
	difference := now - sent
	if p.offsetAt == never {
		p.minOffset, p.offsetAt = difference, now
		return 0
	}
	p.minOffset, p.offsetAt = min(p.minOffset+(now-p.offsetAt)/driftDivisor, difference), now
	return difference - p.minOffset
}

// received handles a message from another front.
func (m *Monitor) received(e MessageReceived) {
	m.receivedBytes.Add(m.now, float64(e.Message.size()))
	if !m.inZone(e.From) {
		m.drop(DropForeign)
		return
	}
	p := m.peers[e.From]
	if p == nil || e.Message.Incarnation > p.incarnation {
		p = &peer{incarnation: e.Message.Incarnation, offsetAt: never}
		m.peers[e.From] = p
	}
	if e.Message.Incarnation < p.incarnation || m.checks.repeated(p, e.Message.Sequence) {
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

// inZone reports whether a front is another front of this front's zone.
func (m *Monitor) inZone(front int) bool {
	zones := m.config.Zones
	return front >= 0 && front < len(zones) && front != m.config.Self && zones[front] == zones[m.config.Self]
}

// receiveEntry handles an entry of a message. It returns the reason if the entry is dropped, else an empty string.
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
	case !m.checks.sameStart(e.StartedAt, n.encodedStart) && startedLater(e.StartedAt, n.encodedStart):
		return DropFuture
	case !m.checks.sameStart(e.StartedAt, n.encodedStart):
		return DropOutdated
	case e.Age+delay >= m.config.EvidenceLifetime:
		return DropExpired
	case !n.running():
		return "" // the endpoint list overrides evidence
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

// addObservation adds an observation of another front. If it contradicts this front's own, it records the time.
func (m *Monitor) addObservation(n *node, o observation) {
	previous, known := n.evidence.observationOf(o.front)
	own, seen := n.evidence.observationOf(m.config.Self)
	newlyReachable := o.state == Reachable && !(known && previous.state == Reachable)
	if newlyReachable && seen && own.state == Silent && n.contradictedAt <= own.at {
		n.contradictedAt = m.now
	}
	m.checks.add(&n.evidence, o)
}

func sameStart(reported, listed scheduler.Micros) bool { return reported == listed }
