package health

import (
	"slices"

	"otterturn/scheduler"
)

const (
	batchDelay         scheduler.Micros = 20_000    // an update waits this long for others to share a message
	maxBatchDelay      scheduler.Micros = 50_000    // and this long while running probes may fail soon
	batchGap           scheduler.Micros = 100_000   // minimum time between two batches of updates
	retryInterval      scheduler.Micros = 50_000    // time between attempts to send what exceeds the rate limit
	rateSpan           scheduler.Micros = 1_000_000 // window over which Config.MessageRate is enforced
	repeatsPerLifetime                  = 3         // evidence is repeated this many times per EvidenceLifetime
)

// urgency is the priority of an update; the lowest is shed first.
type urgency int

const (
	repeated urgency = iota
	standby          // first silent observation of a prober that ranks beyond the quorum
	request          // requests for evidence and answers to them
	firstSilent
	reachable
)

// rateShare is the fraction of Config.MessageRate that may be in use for an update of a priority to be sent.
var rateShare = [...]float64{repeated: 0.7, standby: 0.95, request: 0.8, firstSilent: 0.95, reachable: 1}

// requestRateShare is the maximum fraction of Config.MessageRate for requests and answers to them.
const requestRateShare = 0.1

// bidirectionalRateFactor is the maximum of the bytes sent and received per second together, as a multiple of
// Config.MessageRate.
const bidirectionalRateFactor = 1.9

// update is an Entry with the time of the observation instead of its age.
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

// outbox holds the updates to send.
type outbox struct {
	to       map[int][]update // updates to single fronts, by recipient
	order    []int            // recipients of these, in order of arrival
	news     []*node          // nodes with updates to broadcast to the zone
	newsAt   scheduler.Micros // time of the next broadcast
	newsMost scheduler.Micros // latest time of it, used while running probes may fail soon
	repeats  []*node          // nodes whose evidence the next repetition broadcasts
	repeatAt scheduler.Micros
	sentAt   scheduler.Micros // time of the last broadcast of updates
	rounds   []*broadcast     // broadcasts in progress
	retryAt  scheduler.Micros
	sequence map[int]uint32 // sequence number of the last message to each front
}

func newOutbox() outbox {
	return outbox{to: map[int][]update{}, newsAt: forever, repeatAt: never, sentAt: never, sequence: map[int]uint32{}}
}

// sendTo queues an update to a single front. It is sent at the end of this step.
func (o *outbox) sendTo(to int, n update) {
	if len(o.to[to]) == 0 {
		o.order = append(o.order, to)
	}
	o.to[to] = append(o.to[to], n)
}

// queue queues a node whose observation is to be broadcast to the zone.
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

// retainFronts removes recipients for which stays returns false. same is false if this front has another number or
// incarnation, so that sequence numbers start again.
func (o *outbox) retainFronts(stays func(front int) bool, same bool) {
	for _, r := range o.rounds {
		r.to = slices.DeleteFunc(r.to, func(front int) bool { return !stays(front) })
	}
	if !same {
		clear(o.sequence)
	}
}

// outboxDue returns the time at which the outbox has something to send.
func (m *Monitor) outboxDue() scheduler.Micros {
	o, next := &m.outbox, forever
	switch {
	case len(o.news) == 0:
	case m.now < o.newsAt:
		next = o.newsAt
	default: // the end of the running probes may permit it earlier
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

// expectsUpdates reports whether a running probe may time out soon.
func (m *Monitor) expectsUpdates() bool {
	return slices.ContainsFunc(m.due, func(n *node) bool {
		return n.investigation != nil && n.probedForZone && n.probe.running && !n.probe.countedFailed && !n.probe.inconclusive
	})
}

// flush sends what is due, as far as the rate limit permits.
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

// entries converts updates to entries with their current ages.
func (m *Monitor) entries(all []update) []Entry {
	out := make([]Entry, len(all))
	for i, n := range all {
		age := max(0, m.now-n.at)
		out[i] = Entry{Node: n.node, Since: n.since, State: n.state, Age: min(age-age%milli, longestAge)}
	}
	return out
}

// send sends a message if the rate limits permit it, and reports whether it did.
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
