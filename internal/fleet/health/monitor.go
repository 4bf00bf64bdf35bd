package health

import (
	"maps"
	"slices"
	"strings"

	"otterturn/scheduler"
	"otterturn/scheduler/window"
)

// Monitor is the core of one front. It belongs to one goroutine.
type Monitor struct {
	config Config
	zone   []int // fronts of this front's zone
	now    scheduler.Micros
	out    []Action

	byName   map[string]*node
	byKey    map[uint64]*node
	attempts map[attemptID]attempt
	due      dueQueue
	touched  []*node                         // to be looked at in this step
	passed   map[string]bool                 // probes of unknown nodes that the scheduler waits for
	peers    map[int]*peer                   // those that sent a message
	outbox   outbox                          // what is to be told
	bytes    window.Window[scheduler.Micros] // sent in the last second,
	asking   window.Window[scheduler.Micros] // of these, requests and answers to them
	heard    window.Window[scheduler.Micros] // received in the last second

	usualProbe scheduler.Micros // mean time of a probe's answer of late
	alarm      scheduler.Micros // the last SetAlarm that has not come, forever for none
	counts     Counters
	condemned  int
	seams      seams
}

// seams are the checks of what comes in, which tests break on purpose.
type seams struct {
	repeated  func(p *peer, sequence uint32) bool
	sameStart func(told, listed scheduler.Micros) bool
	add       func(e *evidence, o observation)
	round     func(lacked, takeoverAfter scheduler.Micros) int
}

// New returns a Monitor that knows no node.
func New(c Config) (*Monitor, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	c.Zones = slices.Clone(c.Zones)
	return &Monitor{
		config: c, zone: c.zoneFronts(), now: never, alarm: forever,
		byName: map[string]*node{}, byKey: map[uint64]*node{}, attempts: map[attemptID]attempt{},
		passed: map[string]bool{}, peers: map[int]*peer{}, outbox: newOutbox(),
		bytes: window.New(bytesSpan), asking: window.New(bytesSpan), heard: window.New(bytesSpan),
		counts: Counters{Dropped: map[Drop]int64{}},
		seams:  seams{repeated: (*peer).repeated, sameStart: sameStart, add: (*evidence).add, round: roundOf},
	}, nil
}

// Reconfigure takes another Config, whole or not at all, and keeps what still holds: evidence of fronts that stay in
// this front's zone, and what is owed to the scheduler.
func (m *Monitor) Reconfigure(c Config) error {
	if err := c.Validate(); err != nil {
		return err
	}
	c.Zones = slices.Clone(c.Zones)
	former := m.config
	m.config, m.zone = c, c.zoneFronts()
	stays := func(front int) bool {
		return slices.Contains(m.zone, front) && (front == c.Self) == (front == former.Self)
	}
	maps.DeleteFunc(m.peers, func(front int, _ *peer) bool { return !stays(front) })
	m.outbox.keep(stays, c.Run == former.Run && c.Self == former.Self)
	for _, n := range slices.SortedFunc(maps.Values(m.byName), byName) {
		if n.trouble == nil {
			continue
		}
		n.ranked = nil
		n.evidence = slices.DeleteFunc(n.evidence, func(o observation) bool { return !stays(o.front) })
		n.askers = slices.DeleteFunc(n.askers, func(a asker) bool { return !stays(a.front) })
		m.touch(n)
	}
	return nil
}

func byName(a, b *node) int { return strings.Compare(a.name, b.name) }

// Counters returns what was done since the start.
func (m *Monitor) Counters() Counters {
	out := m.counts
	out.Dropped, out.Condemned = maps.Clone(m.counts.Dropped), m.condemned
	return out
}

// Unreadable counts a datagram that Decode refused.
func (m *Monitor) Unreadable() { m.drop(DropUnreadable) }

func (m *Monitor) drop(why Drop) { m.counts.Dropped[why]++ }

// Step takes events in and returns what is to be done. Times do not go back; one that does counts as the last one.
func (m *Monitor) Step(now scheduler.Micros, events []Event) []Action {
	m.now, m.out = max(m.now, now), nil
	m.doubt()
	for _, e := range events {
		m.take(e)
	}
	for n := m.due.take(m.now); n != nil; n = m.due.take(m.now) {
		m.touch(n)
	}
	for i := 0; i < len(m.touched); i++ {
		m.review(m.touched[i])
	}
	clear(m.touched)
	m.touched = m.touched[:0]
	m.flush()
	m.setAlarm()
	return m.out
}

func (m *Monitor) take(e Event) {
	switch e := e.(type) {
	case AttemptStarted:
		m.attemptStarted(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case NodeList:
		m.list(e)
	case ProbeWanted:
		m.probeWanted(e)
	case ProbeEnded:
		m.probeEnded(e)
	case Received:
		m.received(e)
	case Alarm: // any step looks at what is due
	}
}

// touch has a node looked at at the end of this step.
func (m *Monitor) touch(n *node) {
	if !n.touched {
		n.touched = true
		m.touched = append(m.touched, n)
	}
}

// wake has a node looked at at a time at the latest.
func (m *Monitor) wake(n *node, at scheduler.Micros) {
	if at < forever && (n.place == 0 || at < n.due) {
		m.due.set(n, at)
	}
}

// review brings a node to what follows from all that is known of it now, and sets when it is to be looked at again.
func (m *Monitor) review(n *node) {
	n.touched = false
	if m.byName[n.name] != n {
		return
	}
	next := forever
	if n.trouble != nil {
		next = m.care(n)
	}
	next = min(next, m.watchStall(n))
	if next >= forever {
		m.due.remove(n)
		return
	}
	m.due.set(n, max(next, m.now+1))
}

// care reviews a node in trouble.
func (m *Monitor) care(n *node) (next scheduler.Micros) {
	if !n.running() {
		if !n.probe.out {
			n.trouble = nil
		}
		return forever
	}
	m.rank(n)
	n.evidence.prune(m.now - m.config.EvidenceLife)
	m.judge(n)
	next = min(m.fades(n), m.seek(n), m.serve(n), m.look(n), m.tell(n), m.release(n))
	if n.idle() {
		n.trouble = nil
		return forever
	}
	return next
}

// idle tells whether nothing of a node's trouble needs to be kept.
func (n *node) idle() bool {
	return !n.avoided && !n.suspecting && !n.held && !n.probe.out && n.returnAt == 0 &&
		len(n.evidence) == 0 && len(n.askers) == 0 && !n.told.queued
}

// rank orders the zone's fronts for a node.
func (m *Monitor) rank(n *node) {
	if n.ranked == nil {
		n.ranked = rankFronts(m.zone, n.key)
		n.rank = slices.Index(n.ranked, m.config.Self)
	}
}

func (m *Monitor) setAlarm() {
	next := m.outboxDue()
	if len(m.due) > 0 {
		next = min(next, m.due[0].due)
	}
	if m.alarm <= m.now {
		m.alarm = forever
	}
	if next < m.alarm { // one that comes too early does no harm
		m.alarm = next
		m.out = append(m.out, SetAlarm{At: next})
	}
}
