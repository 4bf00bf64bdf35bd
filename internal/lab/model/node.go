// Package model simulates a storage node without I/O or clocks: cores that serve a queue in the order of arrival, a bounded
// queue that rejects jobs when full, a cold start with reduced speed, and failure by overload while cold. Times are in
// microseconds.
package model

import "slices"

// Figures are the parameters of a node. A value of 0 turns the property off.
type Figures struct {
	Cores     int
	Speed     float64 // of a core; a core of speed 1 does 1 us of work per us
	Room      int     // maximum number of queued requests, without the running ones
	ColdFrom  float64 // share of its speed that it has at its start
	Ramp      int64   // time from its start until it has its full speed
	FallTimes float64 // a cold node fails when it receives more than this multiple of the work that it can do
	FallSpan  int64   // time within which that work is counted
	FallFree  float64 // work within FallSpan that never makes it fail, in microseconds of a core of speed 1

	Overfull   float64 // additional cost of a job with a full queue, as a share; proportionally less with a shorter queue
	PutOff     float64 // share of a write's work that is deferred
	PutOffFor  int64   // delay after which the deferred work is done in one piece on one core
	Near       float64 // share of its work that a job costs if one for the same object came within NearSpan
	NearSpan   int64   // see Near
	KeyWindow  int64   // a job whose key was used within this time costs nothing, as a duplicate
	ProbeWork  float64 // deferred work of a health check
	ConnWork   float64 // deferred work of a new connection
	MostConns  int     // maximum number of open connections
	MostMemory int     // maximum number of objects, and of keys, that are remembered
}

// Job is a request at a node. A job without a Tag is deferred work.
type Job struct {
	Tag   any
	Work  float64 // microseconds on a core of speed 1
	Write bool
	Piece string // object that it is for, "" for none
	Key   string // idempotency key, "" for none
}

// Done is a job with its end time.
type Done struct {
	Job
	At int64
}

// Node is the state of a node.
type Node struct {
	Figures
	Up     int64  // time of the last start, 0 for a node that has always been warm
	Fallen bool   // failed by overload while cold; it is silent until it restarts
	Dead   bool   // its process has ended
	Mute   bool   // it accepts jobs and never answers
	busy   []Done // running jobs, with their end times
	queue  []Job
	sent   []Done  // work received within the last FallSpan while cold
	paused int64   // end of a stall
	debt   float64 // deferred work
	debtAt int64   // time since which there is deferred work
	conns  int
	pieces map[string]int64 // time of the last job, by object
	keys   map[string]int64 // time of the first job, by key
}

// New returns a warm node.
func New(f Figures) *Node {
	return &Node{Figures: f, pieces: map[string]int64{}, keys: map[string]int64{}}
}

// Restart starts a new process; the state of the old one is lost.
func (n *Node) Restart(now int64) {
	*n = *New(n.Figures)
	n.Up = now
}

// Die ends the process and returns its jobs, which are lost.
func (n *Node) Die() []Job {
	lost := n.queue
	for _, d := range n.busy {
		lost = append(lost, d.Job)
	}
	n.Dead, n.busy, n.queue, n.conns = true, nil, nil, 0
	return lost
}

// Pause stalls the node until a time.
func (n *Node) Pause(now, until int64) {
	for i := range n.busy {
		n.busy[i].At += until - now
	}
	n.paused = max(n.paused, until)
}

// Silent reports whether the node answers nothing.
func (n *Node) Silent() bool { return n.Fallen || n.Dead || n.Mute }

// warm returns the share of its speed that the node has.
func (n *Node) warm(now int64) float64 {
	if n.Up == 0 || now >= n.Up+n.Ramp {
		return 1
	}
	return n.ColdFrom + (1-n.ColdFrom)*float64(now-n.Up)/float64(n.Ramp)
}

// Queue returns the number of queued jobs.
func (n *Node) Queue() int { return len(n.queue) }

// owe adds deferred work.
func (n *Node) owe(now int64, work float64) {
	if n.debt == 0 {
		n.debtAt = now
	}
	n.debt += work
}

// Probe handles a health check and returns the number of queued jobs.
func (n *Node) Probe(now int64) int {
	n.owe(now, n.ProbeWork)
	return len(n.queue)
}

// Connect opens a connection and reports whether the limit allowed it.
func (n *Node) Connect(now int64) bool {
	if n.MostConns > 0 && n.conns >= n.MostConns {
		return false
	}
	n.conns++
	n.owe(now, n.ConnWork)
	return true
}

// Disconnect closes a connection.
func (n *Node) Disconnect() { n.conns = max(0, n.conns-1) }

// Arrive takes a job and reports whether it was accepted. A node that has failed returns true and drops the job, so that it
// stays silent instead of rejecting.
func (n *Node) Arrive(now int64, j Job) bool {
	n.press(now, j.Work)
	if n.Fallen || len(n.queue) >= n.Room && len(n.busy) >= n.Cores {
		return n.Fallen // a failed node is silent and rejects nothing
	}
	n.queue = append(n.queue, j)
	n.begin(now)
	return true
}

// press counts received work and makes a cold node fail that received too much.
func (n *Node) press(now int64, work float64) {
	share := n.warm(now)
	if share >= 1 {
		n.sent = nil
		return
	}
	n.sent = slices.DeleteFunc(append(n.sent, Done{Job{Work: work}, now}), func(d Done) bool { return d.At < now-n.FallSpan })
	sum := 0.0
	for _, d := range n.sent {
		sum += d.Work
	}
	if sum > max(n.FallFree, n.FallTimes*share*n.Speed*float64(n.Cores)*float64(n.FallSpan)) {
		n.Fallen, n.busy, n.queue = true, nil, nil
	}
}

// begin starts jobs on free cores: deferred work that is due first, then queued jobs.
func (n *Node) begin(now int64) {
	for len(n.busy) < n.Cores && len(n.queue) > 0 {
		if n.debt > 0 && now >= n.debtAt+n.PutOffFor {
			n.occupy(now, Job{Work: n.debt})
			n.debt = 0
			continue
		}
		j := n.queue[0]
		n.queue = n.queue[1:]
		j.Work = n.cost(now, j)
		n.occupy(now, j)
	}
}

// occupy starts a job on a free core.
func (n *Node) occupy(now int64, j Job) {
	n.busy = append(n.busy, Done{j, max(now, n.paused) + int64(j.Work/n.Speed/n.warm(now)) + 1})
}

// cost returns the work that a job takes if it starts now.
func (n *Node) cost(now int64, j Job) float64 {
	if at, done := n.keys[j.Key]; done && j.Key != "" && now < at+n.KeyWindow {
		return 0
	}
	work := j.Work
	if n.Room > 0 {
		work *= 1 + n.Overfull*float64(len(n.queue))/float64(n.Room)
	}
	if n.NearSpan > 0 && j.Piece != "" {
		if at, worked := n.pieces[j.Piece]; worked && now < at+n.NearSpan {
			work *= n.Near
		}
		remember(n.pieces, j.Piece, now, n.NearSpan, n.MostMemory)
	}
	if j.Write && n.PutOffFor > 0 {
		n.owe(now, work*n.PutOff)
		work *= 1 - n.PutOff
	}
	if j.Key != "" && n.KeyWindow > 0 {
		remember(n.keys, j.Key, now, n.KeyWindow, n.MostMemory)
	}
	return work
}

// remember sets the time of a name. At the maximum size of the map it removes entries older than span, or all entries if that
// is not enough.
func remember(at map[string]int64, name string, now, span int64, most int) {
	if len(at) >= max(most, 1) {
		for k, t := range at {
			if t < now-span {
				delete(at, k)
			}
		}
		if len(at) >= max(most, 1) {
			clear(at)
		}
	}
	at[name] = now
}

// Next returns the time at which the next job ends, if one is running.
func (n *Node) Next() (at int64, ok bool) {
	for _, d := range n.busy {
		if !ok || d.At < at {
			at, ok = d.At, true
		}
	}
	return at, ok
}

// Finish returns the jobs that have ended by now and starts others.
func (n *Node) Finish(now int64) []Done {
	var out []Done
	n.busy = slices.DeleteFunc(n.busy, func(d Done) bool {
		if d.At <= now && d.Tag != nil { // deferred work has no client
			out = append(out, d)
		}
		return d.At <= now
	})
	n.begin(now)
	return out
}
