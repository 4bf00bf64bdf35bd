package health

import (
	"slices"

	"otterturn/scheduler"
)

const (
	batchDelay         scheduler.Micros = 20_000    // news waits for so long for others,
	maxBatchDelay      scheduler.Micros = 50_000    // for so long while probes are out that may make some,
	batchGap           scheduler.Micros = 100_000   // and for so long since the last went out
	retryInterval      scheduler.Micros = 50_000    // what finds no room is tried again
	rateSpan           scheduler.Micros = 1_000_000 // of Config.MessageBytes
	repeatsPerLifetime                  = 3         // evidence is repeated after one in so many parts of its life
)

// urgency orders what is told; the lowest is shed first.
type urgency int

const (
	repeated urgency = iota
	standby          // first of a prober that stands by
	request          // and answers to them
	firstSilent
	reachable
)

// rateShare is the part of the bytes of a second up to which something may be sent.
var rateShare = [...]float64{repeated: 0.7, standby: 0.95, request: 0.8, firstSilent: 0.95, reachable: 1}

// requestRateShare is the part of the bytes of a second that requests and answers to them may take themselves.
const requestRateShare = 0.1

// bidirectionalRateFactor bounds what is sent and received within a second together, in parts of Config.MessageBytes.
const bidirectionalRateFactor = 1.9

// update is an Entry with its time in the place of an age.
type update struct {
	node  uint64
	since scheduler.Micros
	state State
	at    scheduler.Micros
}

func (n update) urgency() urgency {
	if n.state == Reachable {
		return reachable
	}
	return firstSilent
}

// outbox is what is to be told.
type outbox struct {
	to       map[int][]update // to single fronts
	order    []int            // of these, as they came
	news     []*node          // to the zone,
	newsAt   scheduler.Micros // at this time,
	newsMost scheduler.Micros // or until this one while probes are out
	repeats  []*node          // to the zone, with the next repetition
	repeatAt scheduler.Micros
	sentAt   scheduler.Micros // when news went out last
	rounds   []*broadcast     // under way
	retryAt  scheduler.Micros
	sequence map[int]uint32 // of the last message to each front
}

func newOutbox() outbox {
	return outbox{to: map[int][]update{}, newsAt: forever, repeatAt: never, sentAt: never, sequence: map[int]uint32{}}
}

// sendTo puts news to a single front; it goes out with this step.
func (o *outbox) sendTo(to int, n update) {
	if len(o.to[to]) == 0 {
		o.order = append(o.order, to)
	}
	o.to[to] = append(o.to[to], n)
}

// queue puts a node whose news the zone is to be told.
func (o *outbox) queue(n *node, u urgency, now scheduler.Micros) {
	if u == repeated {
		o.repeats = append(o.repeats, n)
		return
	}
	if len(o.news) == 0 {
		o.newsAt, o.newsMost = max(now+batchDelay, o.sentAt+batchGap), max(now+maxBatchDelay, o.sentAt+batchGap)
	}
	o.news = append(o.news, n)
}

// retainFronts drops fronts that don't stay, and numbers messages anew where the front counts as another one.
func (o *outbox) retainFronts(stays func(front int) bool, same bool) {
	for _, r := range o.rounds {
		r.to = slices.DeleteFunc(r.to, func(front int) bool { return !stays(front) })
	}
	if !same {
		clear(o.sequence)
	}
}

// outboxDue is when something is to be sent.
func (m *Monitor) outboxDue() scheduler.Micros {
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

// expectsUpdates tells whether a probe is out that may be taken for failed soon.
func (m *Monitor) expectsUpdates() bool {
	return slices.ContainsFunc(m.due, func(n *node) bool {
		return n.investigation != nil && n.probedForZone && n.probe.running && !n.probe.countedFailed && !n.probe.inconclusive
	})
}

// flush sends what is due and finds room.
func (m *Monitor) flush() {
	m.flushDirect()
	o := &m.outbox
	if len(o.news) > 0 && m.now >= o.newsAt && (m.now >= o.newsMost || !m.expectsUpdates()) {
		m.startBroadcasts(o.news, false)
		o.news, o.newsAt, o.sentAt = o.news[:0], forever, m.now
	}
	if len(o.repeats) > 0 && m.now >= o.repeatAt {
		m.shedRepeats()
		m.broadcastStillSilent()
		m.startBroadcasts(o.repeats, true)
		o.repeats, o.repeatAt = o.repeats[:0], m.now+m.config.EvidenceLifetime/repeatsPerLifetime
	}
	if len(o.rounds) == 0 {
		return
	}
	slices.SortStableFunc(o.rounds, func(a, b *broadcast) int { return int(b.urgency - a.urgency) })
	for _, r := range o.rounds {
		m.advance(r)
	}
	o.rounds = slices.DeleteFunc(o.rounds, func(r *broadcast) bool { return len(r.to) == 0 })
	o.retryAt = m.now + retryInterval
}

func (m *Monitor) flushDirect() {
	o := &m.outbox
	for _, to := range o.order {
		for part := range slices.Chunk(o.to[to], entriesPerMessage) {
			if !m.send(to, m.entries(part), request) {
				m.counts.Shed += int64(len(part))
			}
		}
		delete(o.to, to)
	}
	o.order = o.order[:0]
}

// entries are news with their ages.
func (m *Monitor) entries(all []update) []Entry {
	out := make([]Entry, len(all))
	for i, n := range all {
		age := max(0, m.now-n.at)
		out[i] = Entry{Node: n.node, Since: n.since, State: n.state, Age: min(age-age%milli, longestAge)}
	}
	return out
}

// send sends a message, if there is room for it.
func (m *Monitor) send(to int, entries []Entry, u urgency) bool {
	run := scheduler.Micros(m.config.Incarnation)
	message := Message{
		Incarnation: m.config.Incarnation, Sequence: m.outbox.sequence[to] + 1,
		Sent: run + scheduler.Micros(floorMillis(m.now-run))*milli, Entries: entries,
	}
	size := message.size()
	if m.sentBytes.Sum(m.now)+float64(size) > rateShare[u]*m.config.MessageRate {
		return false
	}
	if m.sentBytes.Sum(m.now)+m.receivedBytes.Sum(m.now)+float64(size) > bidirectionalRateFactor*m.config.MessageRate {
		return false
	}
	if u == request {
		if m.requestBytes.Sum(m.now)+float64(size) > requestRateShare*m.config.MessageRate {
			return false
		}
		m.requestBytes.Add(m.now, float64(size))
	}
	m.sentBytes.Add(m.now, float64(size))
	m.outbox.sequence[to]++
	m.counts.Sent++
	m.counts.SentBytes += int64(size)
	m.actions = append(m.actions, SendMessage{To: to, Message: message})
	return true
}
