package health

import (
	"slices"

	"otterturn/scheduler"
)

const (
	batchFor  scheduler.Micros = 20_000    // news waits for so long for others,
	batchMost scheduler.Micros = 50_000    // for so long while probes are out that may make some,
	batchGap  scheduler.Micros = 100_000   // and for so long since the last went out
	retryFor  scheduler.Micros = 50_000    // what finds no room is tried again
	bytesSpan scheduler.Micros = 1_000_000 // of Config.MessageBytes
	lifeParts                  = 3         // evidence is repeated after one in so many parts of its life
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

// room is the part of the bytes of a second up to which something may be sent.
var room = [...]float64{repeated: 0.7, standby: 0.95, request: 0.8, firstSilent: 0.95, reachable: 1}

// requestRoom is the part of the bytes of a second that requests and answers to them may take themselves.
const requestRoom = 0.1

// bothWays bounds what is sent and received within a second together, in parts of Config.MessageBytes.
const bothWays = 1.9

// news is an Entry with its time in the place of an age.
type news struct {
	node  uint64
	since scheduler.Micros
	state State
	at    scheduler.Micros
}

func (n news) urgency() urgency {
	if n.state == Reachable {
		return reachable
	}
	return firstSilent
}

// outbox is what is to be told.
type outbox struct {
	to       map[int][]news   // to single fronts
	order    []int            // of these, as they came
	news     []*node          // to the zone,
	newsAt   scheduler.Micros // at this time,
	newsMost scheduler.Micros // or until this one while probes are out
	repeats  []*node          // to the zone, with the next repetition
	repeatAt scheduler.Micros
	sentAt   scheduler.Micros // when news went out last
	rounds   []*round         // under way
	retryAt  scheduler.Micros
	sequence map[int]uint32 // of the last message to each front
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
func (o *outbox) queue(n *node, u urgency, now scheduler.Micros) {
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
		m.beginStanding()
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
			if !m.send(to, m.entries(part), request) {
				m.counts.Shed += int64(len(part))
			}
		}
		delete(o.to, to)
	}
	o.order = o.order[:0]
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
	run := scheduler.Micros(m.config.Run)
	message := Message{
		Run: m.config.Run, Sequence: m.outbox.sequence[to] + 1,
		Sent: run + scheduler.Micros(floorMillis(m.now-run))*milli, Entries: entries,
	}
	size := message.size()
	if m.bytes.Sum(m.now)+float64(size) > room[u]*m.config.MessageBytes {
		return false
	}
	if m.bytes.Sum(m.now)+m.heard.Sum(m.now)+float64(size) > bothWays*m.config.MessageBytes {
		return false
	}
	if u == request {
		if m.asking.Sum(m.now)+float64(size) > requestRoom*m.config.MessageBytes {
			return false
		}
		m.asking.Add(m.now, float64(size))
	}
	m.bytes.Add(m.now, float64(size))
	m.outbox.sequence[to]++
	m.counts.Sent++
	m.counts.SentBytes += int64(size)
	m.out = append(m.out, Send{To: to, Message: message})
	return true
}
