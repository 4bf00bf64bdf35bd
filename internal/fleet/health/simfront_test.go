package health

import (
	"cmp"
	"slices"

	"otterturn/scheduler"
)

type simFront struct {
	number         int
	config         Config
	monitor        *Monitor
	generation     int // counts restarts
	timer          int // number of the last SetTimer
	paused         bool
	removed        bool
	deferred       []simEvent // events that arrived while paused
	excluded       map[string]bool
	knownStarts    map[string]scheduler.Micros // start of each node according to the endpoint list
	probeRequests  map[string]scheduler.Micros // time of each unanswered ProbeRequested
	failedRequests map[string]int              // failed requests by node
	traffic        []sentBytes                 // messages sent and received
}

type sentBytes struct {
	at    scheduler.Micros
	bytes int
}

type simNode struct {
	name   string
	index  int
	start  scheduler.Micros
	dead   bool
	refuse bool // refuses connections while dead instead of not answering
	probes []scheduler.Micros
}

type simEvent struct {
	at         scheduler.Micros
	order      int
	front      int // -1 for events of the simulation itself
	generation int
	run        func()
	event      Event
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// setAll makes all nodes silent, or lets them return.
func (w *simulation) setAll(dead bool) {
	for _, n := range w.nodes {
		n.dead = dead
	}
}

// maxBytesPerSecond returns the maximum number of bytes that a front sent and received within one second.
func (f *simFront) maxBytesPerSecond() int {
	slices.SortStableFunc(f.traffic, func(a, b sentBytes) int { return cmp.Compare(a.at, b.at) })
	maxBytes, sum, from := 0, 0, 0
	for _, b := range f.traffic {
		sum += b.bytes
		for f.traffic[from].at <= b.at-1_000_000 {
			sum -= f.traffic[from].bytes
			from++
		}
		maxBytes = max(maxBytes, sum)
	}
	return maxBytes
}
