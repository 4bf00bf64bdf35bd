// Package model simulates a storage node without I/O or clocks: cores that serve a queue in the order of arrival, a bounded
// queue that rejects jobs when full, a cold start with reduced speed, and failure by overload while cold. Times are in
// microseconds.
package model

import "slices"

// Parameters are the parameters of a node. A value of 0 turns the property off.
type Parameters struct {
	Cores            int
	Speed            float64 // of a core; a core of speed 1 does 1 us of work per us
	Room             int     // maximum number of queued requests, without the running ones
	ColdFrom         float64 // share of its speed that it has at its start
	Ramp             int64   // time from its start until it has its full speed
	OverloadMultiple float64 // a cold node fails when it receives more than this multiple of the work that it can do
	OverloadSpan     int64   // time within which that work is counted
	OverloadFreeWork float64 // work within OverloadSpan that never makes it fail, in microseconds of a core of speed 1

	FullQueueCost float64 // additional cost of a job with a full queue, as a share; proportionally less with a shorter queue
	DeferredShare float64 // share of a write's work that is deferred
	DeferredFor   int64   // delay after which the deferred work is done in one piece on one core
	Near          float64 // share of its work that a job costs if one for the same object came within NearSpan
	NearSpan      int64   // see Near
	KeyWindow     int64   // a job whose key was used within this time is a duplicate: it is dropped and answered at once
	ProbeWork     float64 // deferred work of a health check
	ConnWork      float64 // deferred work of a new connection
	MaxConns      int     // maximum number of open connections
	MaxRemembered int     // maximum number of objects, and of keys, that are remembered
}

// Job is a request at a node. A job without a Tag is deferred work.
type Job struct {
	Tag    any
	Work   float64 // microseconds on a core of speed 1
	Write  bool
	Object string // object that it is for, "" for none
	Key    string // idempotency key, "" for none
}

// Done is a job with its end time.
type Done struct {
	Job
	At int64
}

// Node is the state of a node.
type Node struct {
	Parameters
	StartedAt     int64  // time of the last start, 0 for a node that has always been warm
	Failed        bool   // failed by overload while cold; it is silent until it restarts
	Dead          bool   // its process has ended
	Unresponsive  bool   // it accepts jobs and never answers
	running       []Done // running jobs, with their end times
	queue         []Job
	received      []Done  // work received within the last OverloadSpan while cold
	pausedUntil   int64   // end of a stall
	deferredWork  float64 // microseconds on a core of speed 1
	deferredSince int64   // time since which there is deferred work
	conns         int
	objects       map[string]int64 // time of the last job, by object
	keys          map[string]int64 // time of the last job that was not dropped, by key
}

// New returns a warm node.
func New(f Parameters) *Node {
	return &Node{Parameters: f, objects: map[string]int64{}, keys: map[string]int64{}}
}

// Restart starts a new process; the state of the old one is lost.
func (n *Node) Restart(now int64) {
	*n = *New(n.Parameters)
	n.StartedAt = now
}

// Die ends the process and returns its jobs, which are lost.
func (n *Node) Die() []Job {
	lost := n.queue
	for _, d := range n.running {
		lost = append(lost, d.Job)
	}
	n.Dead, n.running, n.queue, n.conns = true, nil, nil, 0
	return lost
}

// Pause stalls the node until a time.
func (n *Node) Pause(now, until int64) {
	for i := range n.running {
		n.running[i].At += until - now
	}
	n.pausedUntil = max(n.pausedUntil, until)
}

// Silent reports whether the node answers nothing.
func (n *Node) Silent() bool { return n.Failed || n.Dead || n.Unresponsive }

// speedShare returns the share of its speed that the node has.
func (n *Node) speedShare(now int64) float64 {
	if n.StartedAt == 0 || now >= n.StartedAt+n.Ramp {
		return 1
	}
	return n.ColdFrom + (1-n.ColdFrom)*float64(now-n.StartedAt)/float64(n.Ramp)
}

// Queue returns the number of queued jobs.
func (n *Node) Queue() int { return len(n.queue) }

// deferWork adds deferred work.
func (n *Node) deferWork(now int64, work float64) {
	if n.deferredWork == 0 {
		n.deferredSince = now
	}
	n.deferredWork += work
}

// Probe handles a health check and returns the number of queued jobs.
func (n *Node) Probe(now int64) int {
	n.deferWork(now, n.ProbeWork)
	return len(n.queue)
}

// Connect opens a connection and reports whether the limit allowed it.
func (n *Node) Connect(now int64) bool {
	if n.MaxConns > 0 && n.conns >= n.MaxConns {
		return false
	}
	n.conns++
	n.deferWork(now, n.ConnWork)
	return true
}

// Disconnect closes a connection.
func (n *Node) Disconnect() { n.conns = max(0, n.conns-1) }

// Arrive takes a job and reports whether it was accepted. A node that has failed returns true and drops the job, so that it
// stays silent instead of rejecting.
func (n *Node) Arrive(now int64, j Job) bool {
	n.countReceived(now, j.Work)
	if n.Failed || len(n.queue) >= n.Room && len(n.running) >= n.Cores {
		return n.Failed // a failed node is silent and rejects nothing
	}
	n.queue = append(n.queue, j)
	n.startJobs(now)
	return true
}

// countReceived counts received work and makes a cold node fail that received too much.
func (n *Node) countReceived(now int64, work float64) {
	share := n.speedShare(now)
	if share >= 1 {
		n.received = nil
		return
	}
	n.received = slices.DeleteFunc(append(n.received, Done{Job{Work: work}, now}), func(d Done) bool { return d.At < now-n.OverloadSpan })
	sum := 0.0
	for _, d := range n.received {
		sum += d.Work
	}
	if sum > max(n.OverloadFreeWork, n.OverloadMultiple*share*n.Speed*float64(n.Cores)*float64(n.OverloadSpan)) {
		n.Failed, n.running, n.queue = true, nil, nil
	}
}

// startJobs starts jobs on free cores: deferred work that is due first, then queued jobs.
func (n *Node) startJobs(now int64) {
	for len(n.running) < n.Cores && len(n.queue) > 0 {
		if n.deferredWork > 0 && now >= n.deferredSince+n.DeferredFor {
			n.run(now, Job{Work: n.deferredWork})
			n.deferredWork = 0
			continue
		}
		j := n.queue[0]
		n.queue = n.queue[1:]
		j.Work = n.cost(now, j)
		n.run(now, j)
	}
}

// run starts a job on a free core.
func (n *Node) run(now int64, j Job) {
	n.running = append(n.running, Done{j, max(now, n.pausedUntil) + int64(j.Work/n.Speed/n.speedShare(now)) + 1})
}

// cost returns the work that a job takes if it starts now.
func (n *Node) cost(now int64, j Job) float64 {
	if at, done := n.keys[j.Key]; done && j.Key != "" && now < at+n.KeyWindow {
		return 0
	}
	work := j.Work
	if n.Room > 0 {
		work *= 1 + n.FullQueueCost*float64(len(n.queue))/float64(n.Room)
	}
	if n.NearSpan > 0 && j.Object != "" {
		if at, worked := n.objects[j.Object]; worked && now < at+n.NearSpan {
			work *= n.Near
		}
		remember(n.objects, j.Object, now, n.NearSpan, n.MaxRemembered)
	}
	if j.Write && n.DeferredFor > 0 {
		n.deferWork(now, work*n.DeferredShare)
		work *= 1 - n.DeferredShare
	}
	if j.Key != "" && n.KeyWindow > 0 {
		remember(n.keys, j.Key, now, n.KeyWindow, n.MaxRemembered)
	}
	return work
}

// remember sets the time of a name. At the maximum size of the map it removes entries older than span, or all entries if that
// is not enough.
func remember(at map[string]int64, name string, now, span int64, maxEntries int) {
	if len(at) >= max(maxEntries, 1) {
		for k, t := range at {
			if t < now-span {
				delete(at, k)
			}
		}
		if len(at) >= max(maxEntries, 1) {
			clear(at)
		}
	}
	at[name] = now
}

// Next returns the time at which the next job ends, if one is running.
func (n *Node) Next() (at int64, ok bool) {
	for _, d := range n.running {
		if !ok || d.At < at {
			at, ok = d.At, true
		}
	}
	return at, ok
}

// Finish returns the jobs that have ended by now and starts others.
func (n *Node) Finish(now int64) []Done {
	var out []Done
	n.running = slices.DeleteFunc(n.running, func(d Done) bool {
		if d.At <= now && d.Tag != nil { // deferred work has no client
			out = append(out, d)
		}
		return d.At <= now
	})
	n.startJobs(now)
	return out
}
