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

// priority is the priority of an update; the lowest is shed first.
type priority int

const (
	repeated priority = iota
	standby           // first silent observation of a prober that ranks beyond the quorum
	request           // requests for evidence and answers to them
	firstSilent
	reachable
)

// maxRateShare is the fraction of Config.MessageRate that may be in use for an update of a priority to be sent.
var maxRateShare = [...]float64{repeated: 0.7, standby: 0.95, request: 0.8, firstSilent: 0.95, reachable: 1}

// maxRequestRateShare is the maximum fraction of Config.MessageRate for requests and answers to them.
const maxRequestRateShare = 0.1

// maxBidirectionalRateFactor is the maximum of the bytes sent and received per second together, as a multiple of
// Config.MessageRate.
const maxBidirectionalRateFactor = 1.9

// update is an Entry with the time of the observation instead of its age.
type update struct {
	node      uint64
	startedAt scheduler.Micros
	state     State
	at        scheduler.Micros
}

func (u update) priority() priority {
	if u.state == Reachable {
		return reachable
	}
	return firstSilent
}

// outbox holds the updates to send.
type outbox struct {
	direct           map[int][]update // updates to single fronts, by recipient
	directRecipients []int            // recipients of these, in order of arrival
	pending          []*node          // nodes with updates to broadcast to the zone
	broadcastAt      scheduler.Micros // time of the next broadcast
	maxBroadcastAt   scheduler.Micros // latest time of it, used while running probes may fail soon
	repeats          []*node          // nodes whose evidence the next repetition broadcasts
	repeatAt         scheduler.Micros
	lastBroadcastAt  scheduler.Micros // time of the last broadcast of updates
	broadcasts       []*broadcast     // broadcasts in progress
	retryAt          scheduler.Micros
	sequence         map[int]uint32 // sequence number of the last message to each front
}

func newOutbox() outbox {
	return outbox{direct: map[int][]update{}, broadcastAt: forever, repeatAt: never, lastBroadcastAt: never, sequence: map[int]uint32{}}
}

// sendTo queues an update to a single front. It is sent at the end of this step.
func (o *outbox) sendTo(to int, u update) {
	if len(o.direct[to]) == 0 {
		o.directRecipients = append(o.directRecipients, to)
	}
	o.direct[to] = append(o.direct[to], u)
}

// queue queues a node whose observation is to be broadcast to the zone.
func (o *outbox) queue(n *node, p priority, now scheduler.Micros) {
	if p == repeated {
		o.repeats = append(o.repeats, n)
		return
	}
	if len(o.pending) == 0 {
		o.broadcastAt, o.maxBroadcastAt = max(now+batchDelay, o.lastBroadcastAt+batchGap), max(now+maxBatchDelay, o.lastBroadcastAt+batchGap)
	}
	o.pending = append(o.pending, n)
}

// retainFronts removes recipients for which stays returns false. same is false if this front has another number or
// incarnation, so that sequence numbers start again.
func (o *outbox) retainFronts(stays func(front int) bool, same bool) {
	for _, r := range o.broadcasts {
		r.remaining = slices.DeleteFunc(r.remaining, func(front int) bool { return !stays(front) })
	}
	if !same {
		clear(o.sequence)
	}
}

// outboxDue returns the time at which the outbox has something to send.
func (m *Monitor) outboxDue() scheduler.Micros {
	o, next := &m.outbox, forever
	switch {
	case len(o.pending) == 0:
	case m.now < o.broadcastAt:
		next = o.broadcastAt
	default: // the end of the running probes may permit it earlier
		next = o.maxBroadcastAt
	}
	if len(o.repeats) > 0 {
		next = min(next, o.repeatAt)
	}
	if len(o.broadcasts) > 0 {
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
	if len(o.pending) > 0 && m.now >= o.broadcastAt && (m.now >= o.maxBroadcastAt || !m.expectsUpdates()) {
		m.startBroadcasts(o.pending, false)
		o.pending, o.broadcastAt, o.lastBroadcastAt = o.pending[:0], forever, m.now
	}
	if len(o.repeats) > 0 && m.now >= o.repeatAt {
		m.shedRepeats()
		m.broadcastStillSilent()
		m.startBroadcasts(o.repeats, true)
		o.repeats, o.repeatAt = o.repeats[:0], m.now+m.config.EvidenceLifetime/repeatsPerLifetime
	}
	if len(o.broadcasts) == 0 {
		return
	}
	slices.SortStableFunc(o.broadcasts, func(a, b *broadcast) int { return int(b.priority - a.priority) })
	for _, r := range o.broadcasts {
		m.advance(r)
	}
	o.broadcasts = slices.DeleteFunc(o.broadcasts, func(r *broadcast) bool { return len(r.remaining) == 0 })
	o.retryAt = m.now + retryInterval
}

func (m *Monitor) flushDirect() {
	o := &m.outbox
	for _, to := range o.directRecipients {
		for part := range slices.Chunk(o.direct[to], entriesPerMessage) {
			if !m.send(to, m.entries(part), request) {
				m.counts.Shed += int64(len(part))
			}
		}
		delete(o.direct, to)
	}
	o.directRecipients = o.directRecipients[:0]
}

// entries converts updates to entries with their current ages.
func (m *Monitor) entries(updates []update) []Entry {
	out := make([]Entry, len(updates))
	for i, u := range updates {
		age := max(0, m.now-u.at)
		out[i] = Entry{Node: u.node, StartedAt: u.startedAt, State: u.state, Age: min(age-age%milli, maxAge)}
	}
	return out
}

// send sends a message if the rate limits permit it, and reports whether it did.
func (m *Monitor) send(to int, entries []Entry, p priority) bool {
	incarnation := scheduler.Micros(m.config.Incarnation)
	message := Message{
		Incarnation: m.config.Incarnation, Sequence: m.outbox.sequence[to] + 1,
		Sent: incarnation + scheduler.Micros(floorMillis(m.now-incarnation))*milli, Entries: entries,
	}
	size := message.size()
	if m.sentBytes.Sum(m.now)+float64(size) > maxRateShare[p]*m.config.MessageRate {
		return false
	}
	if m.sentBytes.Sum(m.now)+m.receivedBytes.Sum(m.now)+float64(size) > maxBidirectionalRateFactor*m.config.MessageRate {
		return false
	}
	if p == request {
		if m.requestBytes.Sum(m.now)+float64(size) > maxRequestRateShare*m.config.MessageRate {
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
