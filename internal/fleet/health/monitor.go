package health

import (
	"maps"
	"slices"
	"strings"

	"otterturn/scheduler"
	"otterturn/scheduler/window"
)

// Monitor is the health core of one front. It is not safe for concurrent use.
type Monitor struct {
	config  Config
	zone    []int // fronts of this front's zone
	now     scheduler.Micros
	actions []Action

	byName        map[string]*node
	byKey         map[uint64]*node
	attempts      map[attemptID]attempt
	due           dueQueue
	pendingReview []*node                         // nodes to review in this step
	unknownProbes map[string]bool                 // probes of unknown nodes that the scheduler waits for
	peers         map[int]*peer                   // fronts that have sent a message
	outbox        outbox                          // entries to send
	sentBytes     window.Window[scheduler.Micros] // bytes sent in the last second
	requestBytes  window.Window[scheduler.Micros] // the part of them for requests and answers to requests
	receivedBytes window.Window[scheduler.Micros] // bytes received in the last second

	meanProbeTime scheduler.Micros // moving average of the time until a probe is answered
	timerAt       scheduler.Micros // time of the pending SetTimer, forever if there is none
	counts        Counters
	avoidedNodes  int
	checks        inputChecks
}

// inputChecks are the functions that tests replace with faulty ones.
type inputChecks struct {
	repeated     func(p *peer, sequence uint32) bool
	sameStart    func(reported, listed scheduler.Micros) bool
	add          func(e *evidence, o observation)
	requestRound func(lackingFor, takeoverAfter scheduler.Micros) int
}

// New returns a Monitor without nodes.
func New(c Config) (*Monitor, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.Zones = slices.Clone(c.Zones)
	return &Monitor{
		config: c, zone: c.zoneFronts(), now: never, timerAt: forever,
		byName: map[string]*node{}, byKey: map[uint64]*node{}, attempts: map[attemptID]attempt{},
		unknownProbes: map[string]bool{}, peers: map[int]*peer{}, outbox: newOutbox(),
		sentBytes: window.New(rateSpan), requestBytes: window.New(rateSpan), receivedBytes: window.New(rateSpan),
		counts: Counters{Dropped: map[Drop]int64{}},
		checks: inputChecks{repeated: (*peer).repeated, sameStart: sameStart, add: (*evidence).add, requestRound: requestRoundAfter},
	}, nil
}

// Reconfigure replaces the configuration, or returns an error and changes nothing. It keeps the evidence of fronts that
// stay in this front's zone, and the probes that the scheduler waits for.
func (m *Monitor) Reconfigure(c Config) error {
	if err := c.Validate(); err != nil {
		return err
	}
	c.Zones = slices.Clone(c.Zones)
	previous := m.config
	m.config, m.zone = c, c.zoneFronts()
	stays := func(front int) bool {
		return slices.Contains(m.zone, front) && (front == c.Self) == (front == previous.Self)
	}
	maps.DeleteFunc(m.peers, func(front int, _ *peer) bool { return !stays(front) })
	m.outbox.retainFronts(stays, c.Incarnation == previous.Incarnation && c.Self == previous.Self)
	for _, n := range slices.SortedFunc(maps.Values(m.byName), byName) {
		if n.investigation == nil {
			continue
		}
		n.ranking = nil
		n.evidence = slices.DeleteFunc(n.evidence, func(o observation) bool { return !stays(o.front) })
		n.requesters = slices.DeleteFunc(n.requesters, func(a requester) bool { return !stays(a.front) })
		m.scheduleReview(n)
	}
	return nil
}

func byName(a, b *node) int { return strings.Compare(a.name, b.name) }

// Counters returns the counters since the start.
func (m *Monitor) Counters() Counters {
	out := m.counts
	out.Dropped, out.Avoided = maps.Clone(m.counts.Dropped), m.avoidedNodes
	return out
}

// CountUnreadable counts a datagram that Decode rejected.
func (m *Monitor) CountUnreadable() { m.drop(DropUnreadable) }

func (m *Monitor) drop(why Drop) { m.counts.Dropped[why]++ }

// Step processes events and returns the resulting actions. A time before that of the last step counts as the time of the
// last step.
func (m *Monitor) Step(now scheduler.Micros, events []Event) []Action {
	m.now, m.actions = max(m.now, now), nil
	m.discountPause()
	for _, e := range events {
		m.handle(e)
	}
	for n := m.due.take(m.now); n != nil; n = m.due.take(m.now) {
		m.scheduleReview(n)
	}
	for i := 0; i < len(m.pendingReview); i++ {
		m.review(m.pendingReview[i])
	}
	clear(m.pendingReview)
	m.pendingReview = m.pendingReview[:0]
	m.flush()
	m.setTimer()
	return m.actions
}

func (m *Monitor) handle(e Event) {
	switch e := e.(type) {
	case AttemptStarted:
		m.attemptStarted(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case EndpointsChanged:
		m.endpointsChanged(e)
	case ProbeRequested:
		m.probeRequested(e)
	case ProbeEnded:
		m.probeEnded(e)
	case MessageReceived:
		m.received(e)
	case TimerFired: // every step reviews the nodes that are due
	}
}

// scheduleReview schedules the review of a node for the end of this step.
func (m *Monitor) scheduleReview(n *node) {
	if !n.reviewPending {
		n.reviewPending = true
		m.pendingReview = append(m.pendingReview, n)
	}
}

// reviewBy schedules the review of a node for the given time at the latest.
func (m *Monitor) reviewBy(n *node, at scheduler.Micros) {
	if at < forever && (n.heapIndex == 0 || at < n.due) {
		m.due.set(n, at)
	}
}

// review updates a node's state from all current information and schedules the next review.
func (m *Monitor) review(n *node) {
	n.reviewPending = false
	if m.byName[n.name] != n {
		return
	}
	next := forever
	if n.investigation != nil {
		next = m.reviewSuspect(n)
	}
	next = min(next, m.checkStall(n))
	if next >= forever {
		m.due.remove(n)
		return
	}
	m.due.set(n, max(next, m.now+1))
}

// reviewSuspect reviews a node under investigation.
func (m *Monitor) reviewSuspect(n *node) (next scheduler.Micros) {
	if !n.running() {
		if !n.probe.running {
			n.investigation = nil
		}
		return forever
	}
	m.rank(n)
	n.evidence.prune(m.now - m.config.EvidenceLifetime)
	m.applyVerdict(n)
	next = min(m.nextExpiry(n), m.seekEvidence(n), m.answerRequesters(n), m.runProbes(n), m.announce(n), m.serveScheduler(n))
	if n.idle() {
		n.investigation = nil
		return forever
	}
	return next
}

// idle reports whether the investigation of a node holds no information and can be discarded.
func (n *node) idle() bool {
	return !n.avoided && !n.suspected && !n.schedulerWaits && !n.probe.running && n.returnAt == 0 &&
		len(n.evidence) == 0 && len(n.requesters) == 0 && !n.announced.queued
}

// rank computes the ranking of the zone's fronts for a node.
func (m *Monitor) rank(n *node) {
	if n.ranking == nil {
		n.ranking = rankFronts(m.zone, n.key)
		n.rank = slices.Index(n.ranking, m.config.Self)
	}
}

func (m *Monitor) setTimer() {
	next := m.outboxDue()
	if len(m.due) > 0 {
		next = min(next, m.due[0].due)
	}
	if m.timerAt <= m.now {
		m.timerAt = forever
	}
	if next < m.timerAt { // a pending timer that fires too early is harmless
		m.timerAt = next
		m.actions = append(m.actions, SetTimer{At: next})
	}
}
