package scheduler // Nodes: the list, their health, and the guard of those that may be cold.

import (
	"cmp"
	"slices"

	"otterturn/scheduler/slowstart"
	"otterturn/scheduler/worklist"
)

type node struct {
	Listing
	Habits
	entry           worklist.Entry[Micros, *node]
	outUnits        float64
	pending         []*request // sent, without an outcome, oldest first
	minLatency      float64    // of this fast interval, 0 without an answer
	wasFull         bool
	calm            bool // the last minimum was within half the target, about the lowest latency
	lastSend        Micros
	served, latency float64 // units and summed latencies of this slow interval
	answers, low    float64
	mute            Micros                  // silent since then, after a failure or time-out
	lossAt          Micros                  // last attempt that timed out though later ones were answered
	scouted         Micros                  // last answer or failure of a probe
	heard           Micros                  // last answer to a probe
	probing         bool                    // a probe is out
	probed, probeAt Micros                  // last probe sent; not to be probed before
	broke, former   Micros                  // a connection broke, unprobed yet; suspect before
	pausedTo        Micros                  // what is not reserved waits until then
	fullTo          Micros                  // turned a request away not long before
	cold            slowstart.Guard[Micros] // what may be sent while it is cold
}

// learn takes over the node list. A node that is missing from a full list is gone.
func (s *Scheduler) learn(e Nodes) {
	if e.Full {
		for _, n := range s.nodes {
			n.State = Gone
		}
	}
	for _, l := range e.List {
		n := s.byName[l.Node]
		if n == nil {
			n = &node{Habits: s.Fresh(), calm: true, cold: s.cold.NewGuard()}
			s.agenda.Enter(&n.entry, n)
			s.byName[l.Node] = n
			s.nodes = append(s.nodes, n)
		}
		if l.Since != n.Since {
			n.Suspect, n.mute, n.Usual, n.pausedTo, n.calm, n.Errors = 0, 0, 0, 0, true, 0
			s.anew(n)
		}
		n.Listing = l
	}
	for _, sh := range s.shards {
		if sh.nodes = nil; sh.node != nil && sh.node.State != Running {
			sh.node, sh.since = nil, s.now
		}
	}
	for _, n := range s.nodes {
		s.agenda.Touch(&n.entry)
		if sh := s.shard(n.Shard); n.State == Running {
			sh.node, sh.nodes = n, append(sh.nodes, n)
		}
	}
	s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool {
		// What a cold node was sent counts until it is warm, also where it leaves the list and comes back.
		gone := n.State == Gone && len(n.pending) == 0 && !s.isCold(n)
		if gone {
			delete(s.byName, n.Node)
			s.agenda.Leave(&n.entry)
		}
		return gone
	})
}

// watchAt is when a node is to be watched next.
func (s *Scheduler) watchAt(n *node) Micros {
	at := Micros(worklist.Never)
	if s.set.Probing && n.mute > 0 && n.State == Running {
		at = n.probeAt
	}
	switch {
	case len(n.pending) == 0:
		return at
	case s.lossy(n):
		return s.now
	}
	return min(at, s.now-s.waiting(n)+s.stallAfter(n)+1)
}

// failing tells that most of a node's answers are errors. It gets one request at a time, each a while after
// the last error, and no new objects. Could hurt where requests of one kind alone fail.
func (n *node) failing() bool { return n.Errors > 0.5 }

// stallAfter is how long a node may be without any answer before it counts as silent.
func (s *Scheduler) stallAfter(n *node) Micros { return max(s.aim, Micros(4*n.Usual)) }

// waiting is for how long the node has owed an answer: a node that slows down shows that first.
func (s *Scheduler) waiting(n *node) Micros {
	if len(n.pending) == 0 {
		return 0
	}
	return s.now - max(n.pending[0].lastSend(), n.Answered)
}

// expected is how long the node usually takes for a request of this size.
func (s *Scheduler) expected(n *node, r *request) Micros {
	return Micros(n.Usual + (r.Units-s.set.MeanUnits)*n.Unit)
}

// overdue tells that a request's attempt has been out for much longer than the node usually takes.
func (s *Scheduler) overdue(n *node, r *request) bool {
	return s.now-r.lastSend() > cmp.Or(overdueTimes*s.expected(n, r), s.aim)
}

// lossy tells that not long ago an attempt ran into its deadline though later ones were answered.
func (s *Scheduler) lossy(n *node) bool {
	return n.lossAt > 0 && s.now < n.lossAt+curvePoints*slowInterval
}

// live is what counts against the budget: in doubt nothing overdue, which is lost if overtaken, else silence.
func (s *Scheduler) live(n *node) (units float64, count int, silent bool) {
	if !s.lossy(n) && s.waiting(n) <= s.stallAfter(n) {
		return n.outUnits, len(n.pending), false
	}
	for _, r := range n.pending {
		switch {
		case !s.overdue(n, r):
			units += r.Units
			count++
		case r.overtaken < lostAfter:
			silent = true
		}
	}
	return units, count, silent
}

// watch probes a node that failed or may be silent, until it answers, and cancels attempts lost while it
// answers others, if another one can be in time. Could do work twice where a node is slow for some requests.
func (s *Scheduler) watch(n *node) {
	_, _, silent := s.live(n)
	if s.set.Probing && n.State == Running && (n.mute > 0 || silent) && s.now >= n.probeAt {
		s.probe(n)
	}
	for _, r := range n.pending {
		lost := s.lossy(n) && r.overtaken >= lostAfter && s.overdue(n, r) && !r.cancelled && !r.done
		may := s.set.Cancel && r.class.Repeat != Unsafe && s.mayRepeat(r) && s.allowance.Left(s.now)
		if lost && may && s.now+s.expected(n, r) < r.deadline-s.margin() {
			r.cancelled = true
			s.out = append(s.out, Cancel{ID: r.ID, Attempt: len(r.sends) - 1})
		}
	}
}

func (s *Scheduler) probe(n *node) {
	if !n.probing {
		s.agenda.Touch(&n.entry)
		n.probing, n.probed, n.probeAt = true, s.now, s.now+max(fastInterval, (s.now-n.lastSend)/8)
		s.out = append(s.out, Probe{Node: n.Node})
	}
}

func (s *Scheduler) probed(e Probed) {
	n := s.byName[e.Node]
	if n == nil {
		return
	}
	s.agenda.Touch(&n.entry)
	n.probing = false
	if e.OK && n.probed < n.Suspect { // sent before the last failure
		return
	}
	// A dead process can't answer what was sent as it broke. Could hurt if one restarts as fast.
	if e.OK && n.broke > 0 && n.probed <= n.Suspect+fastInterval && s.now < n.probed+s.aim {
		n.Suspect = n.former
	}
	n.broke, n.scouted = 0, s.now
	if e.OK {
		n.mute, n.heard = 0, s.now
	}
	if each := n.Unit * s.set.MeanUnits; e.OK && e.Queue >= 0 { // what waits there bounds the usual latency
		n.Usual, n.Judged = min(n.Usual, each*(1+e.Queue)), s.now
		if each*e.Queue > float64(s.aim) {
			n.Usual = max(n.Usual, each*e.Queue)
		}
	}
}

// wary tells that a probe goes ahead of a request: where slow answers are not rare, or the node was slow, and
// it was not heard of for a slow interval. Otherwise each of many hosts would find out by a slow request of
// its own that a node is overloaded, and never that it is free. Could hurt where a queue soon grows.
func (s *Scheduler) wary(n *node) bool {
	slow := s.slow > 1.0/seldom || n.Usual > float64(s.aim)
	return s.set.Probing && slow && s.now > max(n.Judged, n.scouted)+slowInterval
}
