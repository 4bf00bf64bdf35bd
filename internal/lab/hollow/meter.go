package hollow

import "time"

// figure is something that is counted at each front.
type figure int

const (
	requests   figure = iota // that came
	served                   // final answers: the node's,
	refused                  // a refusal,
	failed                   // or a failure
	lost                     // with a front's process
	attempts                 // that were sent
	unanswered               // attempts that had no answer until the request's deadline,
	paid                     // and those of them at watched nodes
	connections
	probesSent
	probesWatched // at watched nodes
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
	figures // how many there are
)

// controlFigures are those whose sum is the traffic of control, in bytes.
var controlFigures = []figure{probeTraffic, noteBytes, healthBytes, listBytes}

// counts are those of a front.
type counts struct {
	now   [figures]int64 // of this second
	total [figures]int64
}

// controlBytes is the traffic of control in a second.
func (c *counts) controlBytes() (sum int64) {
	for _, f := range controlFigures {
		sum += c.now[f]
	}
	return sum
}

// cost is wall-clock time that a front's parts took; it is no part of the digest.
type cost struct {
	scheduler, health time.Duration
	busy              time.Duration // in all, of the workers
	steps             int64
}

type nodeCounts struct {
	attempts, served, probes int64
}

type discoveryCounts struct {
	calls, dropped int64
	lines          float64 // answered
	asked          float64
}

// Second is what a fleet did in a second of virtual time.
type Second struct {
	Sum         [figures]int64
	Most        [figures]int64 // at one front
	Control     int64          // bytes of all fronts
	MostControl int64          // bytes at one front
	Lines       float64        // that discovery answered
	Asked       float64        // lines that calls asked it for
	Calls       int64          // that it got
	MostAtNode  int64          // attempts at one node
}

type meter struct {
	seconds   []Second
	discovery discoveryCounts // up to the last second
	attempts  []int64         // of each node up to then
}

// close ends a second.
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
