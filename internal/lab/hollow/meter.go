package hollow

import "time"

// figure is the index of a counter that each front has.
type figure int

const (
	requests    figure = iota // that arrived
	served                    // requests with an answer of a node
	refused                   // requests that the scheduler rejected
	failed                    // requests that failed or reached their deadline without an attempt in progress
	lost                      // requests that were open when the front's process ended
	attempts                  // sent to nodes
	unanswered                // attempts without an answer at the request's deadline
	paid                      // unanswered attempts at watched nodes
	connections               // opened to nodes
	probesSent
	probesWatched // probes sent to watched nodes
	probeTraffic  // bytes of probes
	notesSent
	notesReceived
	noteBytes // in both directions
	healthSent
	healthReceived
	healthBytes // in both directions
	listCalls
	listFailures
	listBytes // in both directions
	unreadable
	figures // number of counters
)

// controlFigures lists the counters that add up to the control traffic, in bytes.
var controlFigures = []figure{probeTraffic, noteBytes, healthBytes, listBytes}

// counts holds a front's counters.
type counts struct {
	now   [figures]int64 // in the current second of virtual time
	total [figures]int64 // in the seconds before
}

// controlBytes returns the control traffic in the current second.
func (c *counts) controlBytes() (sum int64) {
	for _, f := range controlFigures {
		sum += c.now[f]
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
	calls, dropped int64
	lines          float64 // answered
	asked          float64 // lines that the calls requested
}

// Second holds the counts of a fleet in one second of virtual time.
type Second struct {
	Sum         [figures]int64
	Most        [figures]int64 // highest count of a single front
	Control     int64          // control traffic of all fronts, in bytes
	MostControl int64          // highest control traffic of a single front, in bytes
	Lines       float64        // answered by discovery
	Asked       float64        // lines that calls requested from discovery
	Calls       int64          // received by discovery
	MostAtNode  int64          // highest number of attempts at a single node
}

type meter struct {
	seconds   []Second
	discovery discoveryCounts // counts at the end of the last second
	attempts  []int64         // by node, total at the end of the last second
}

// close records the counts of a second and resets them.
func (m *meter) close(w *World) {
	var s Second
	for _, f := range w.fronts {
		bytes := f.counts.controlBytes()
		s.Control += bytes
		s.MostControl = max(s.MostControl, bytes)
		for i, n := range f.counts.now {
			s.Sum[i] += n
			s.Most[i] = max(s.Most[i], n)
			f.counts.total[i] += n
		}
		f.counts.now = [figures]int64{}
	}
	d := w.discovery.counts
	s.Lines, s.Asked, s.Calls = d.lines-m.discovery.lines, d.asked-m.discovery.asked, d.calls-m.discovery.calls
	m.discovery = d
	if m.attempts == nil {
		m.attempts = make([]int64, len(w.nodes))
	}
	for i, n := range w.nodes {
		s.MostAtNode = max(s.MostAtNode, n.counts.attempts-m.attempts[i])
		m.attempts[i] = n.counts.attempts
	}
	m.seconds = append(m.seconds, s)
}
