package hollow

import "time"

// counter is the index of a counter that each front has.
type counter int

const (
	requests            counter = iota // that arrived
	served                             // requests with an answer of a node
	rejected                           // requests that the scheduler rejected
	failed                             // requests that failed or reached their deadline without an attempt in progress
	lost                               // requests that were open when the front's process ended
	attempts                           // sent to nodes
	unanswered                         // attempts without an answer at the request's deadline
	unansweredAtWatched                // unanswered attempts at watched nodes
	connections                        // opened to nodes
	probesSent
	probesToWatched // probes sent to watched nodes
	probeTraffic    // bytes of probes
	peerMessagesSent
	peerMessagesReceived
	peerMessageBytes // in both directions
	healthSent
	healthReceived
	healthBytes // in both directions
	listCalls
	listFailures
	listBytes // in both directions
	unreadableMessages
	counterCount // number of counters
)

// controlCounters lists the counters that add up to the control traffic, in bytes.
var controlCounters = []counter{probeTraffic, peerMessageBytes, healthBytes, listBytes}

// counts holds a front's counters.
type counts struct {
	currentSecond [counterCount]int64 // counts in the current second of virtual time
	total         [counterCount]int64 // counts in all seconds before
}

// controlBytes returns the front's control traffic in the current second.
func (c *counts) controlBytes() (sum int64) {
	for _, f := range controlCounters {
		sum += c.currentSecond[f]
	}
	return sum
}

// cost is the wall-clock time that parts of a front took; it is not part of the digest.
type cost struct {
	scheduler, health time.Duration
	busy              time.Duration // total of the workers
	steps             int64
}

type nodeCounts struct {
	attempts, served, probes int64
}

type discoveryCounts struct {
	calls, droppedCalls int64
	answeredLines       float64
	requestedLines      float64 // lines that the calls requested
}

// Second holds the counts of a fleet in one second of virtual time.
type Second struct {
	Sum               [counterCount]int64
	Max               [counterCount]int64 // highest count of a single front
	Control           int64               // control traffic of all fronts, in bytes
	MaxControl        int64               // highest control traffic of a single front, in bytes
	AnsweredLines     float64             // answered by discovery
	RequestedLines    float64             // lines that calls requested from discovery
	Calls             int64               // received by discovery
	MaxAttemptsAtNode int64               // highest number of attempts at a single node
}

type meter struct {
	seconds   []Second
	discovery discoveryCounts // counts at the end of the last second
	attempts  []int64         // by node, total at the end of the last second
}

// endSecond records the counts of a second and resets them.
func (m *meter) endSecond(w *World) {
	var s Second
	for _, f := range w.fronts {
		bytes := f.counts.controlBytes()
		s.Control += bytes
		s.MaxControl = max(s.MaxControl, bytes)
		for i, n := range f.counts.currentSecond {
			s.Sum[i] += n
			s.Max[i] = max(s.Max[i], n)
			f.counts.total[i] += n
		}
		f.counts.currentSecond = [counterCount]int64{}
	}
	d := w.discovery.counts
	s.AnsweredLines, s.RequestedLines, s.Calls = d.answeredLines-m.discovery.answeredLines,
		d.requestedLines-m.discovery.requestedLines, d.calls-m.discovery.calls
	m.discovery = d
	if m.attempts == nil {
		m.attempts = make([]int64, len(w.nodes))
	}
	for i, n := range w.nodes {
		s.MaxAttemptsAtNode = max(s.MaxAttemptsAtNode, n.counts.attempts-m.attempts[i])
		m.attempts[i] = n.counts.attempts
	}
	m.seconds = append(m.seconds, s)
}
