package scheduler

import (
	"slices"

	"otterturn/scheduler/slowstart"
)

// allocator grants room at one cold node, where this host is its granter, see package cold.
type allocator struct {
	node string
	*slowstart.Allocator[Micros]
}

// isCold tells whether a node may still be warming up.
func (s *Scheduler) isCold(n *node) bool {
	up := max(n.Since, n.Suspect)
	return up > 0 && s.now < up+s.set.Ramp
}

// bears tells whether a node that may be cold can take a request more.
func (s *Scheduler) bears(n *node, r *request) bool {
	if !s.isCold(n) {
		n.cold.Clear()
		return true
	}
	return r.Units <= n.cold.Room(s.now)
}

// requestRoom asks for room at a cold node: the granter, which may be this host.
func (s *Scheduler) requestRoom(n *node, sh *shard, next *request) {
	granter, may := s.cold.Granter(n.Node, s.now)
	own := granter == s.set.Number
	if !own && !s.set.Peers || own && !may || !n.cold.ShouldRequest(s.now) {
		return
	}
	w := slowstart.Wish{Units: next.Units, Least: next.Units, Shown: n.cold.Shown()}
	for f := range sh.busy.All {
		for _, r := range f.held {
			w.Least = min(w.Least, r.Units)
		}
	}
	s.sendToGranter(granter, n, w)
}

func (s *Scheduler) sendToGranter(granter int, n *node, w slowstart.Wish) {
	if granter == s.set.Number {
		s.asked(Asked{From: granter, Node: n.Node, Since: n.Since, Wish: w})
	} else {
		s.out = append(s.out, Ask{To: granter, Node: n.Node, Since: n.Since, Wish: w})
	}
}

// answered takes in an answer of a node that may be cold, and reports it to the granter: one of many hosts
// meets the node seldom, and what it saw would be told only with its next request.
func (s *Scheduler) answered(n *node, r *request, latency Micros) {
	n.cold.Answered(s.now, r.Key, r.Units, latency)
	granter, _ := s.cold.Granter(n.Node, s.now)
	if (s.set.Peers || granter == s.set.Number) && n.cold.ShouldReport(s.now) {
		s.sendToGranter(granter, n, slowstart.Wish{Shown: n.cold.Shown()})
	}
}

// anew forgets what a node showed of its speed, where it may have started again.
func (s *Scheduler) anew(n *node) {
	n.cold.Clear()
	for _, r := range s.allocators {
		if r.node == n.Node {
			r.Reset()
		}
	}
}

// hear takes in what another host says.
func (s *Scheduler) hear(e Event) {
	switch e := e.(type) {
	case Asked:
		s.asked(e)
	case Granted:
		s.granted(e)
	case NodeSilent:
		s.silenced(e)
	}
}

// asked has a host wait for room at a node, or takes in what it saw there. What this host has not been told of it may
// not deal out, and what was seen of a start that this one does not know counts for none.
func (s *Scheduler) asked(e Asked) {
	n := s.byName[e.Node]
	if e.From < 0 || e.From >= s.set.Hosts || n == nil {
		return
	}
	if e.Since != n.Since {
		e.Shown = slowstart.Shown{}
	}
	i := slices.IndexFunc(s.allocators, func(r allocator) bool { return r.node == e.Node })
	if i < 0 {
		i = len(s.allocators)
		s.allocators = append(s.allocators, allocator{e.Node, s.cold.NewAllocator()})
	}
	if e.Units <= 0 {
		s.allocators[i].Report(s.now, e.From, e.Shown)
		return
	}
	s.allocators[i].Request(s.now, e.From, e.Wish)
}

// allocate grants what may be sent to cold nodes. One that this host takes for warm may have restarted unseen.
func (s *Scheduler) allocate() {
	kept := s.allocators[:0]
	for _, r := range s.allocators {
		n := s.byName[r.node]
		if n == nil || r.Idle(s.now) {
			continue
		}
		kept = append(kept, r)
		granter, may := s.cold.Granter(r.node, s.now)
		if granter != s.set.Number {
			r.DropRequests() // those who wait have to ask another by now
		}
		if !may || s.now <= max(s.began, s.grantsFrom)+s.cold.GrantLifetime() {
			continue
		}
		age := Micros(0)
		if s.isCold(n) {
			age = s.age(n)
		}
		for _, g := range r.Allocate(s.now, s.cold.Borne(age)) {
			if g.Host == s.set.Number {
				s.granted(Granted{From: g.Host, Node: r.node, Units: g.Units, Until: g.Until})
				continue
			}
			s.out = append(s.out, Grant{To: g.Host, Node: r.node, Units: g.Units, Until: g.Until})
		}
	}
	s.allocators = kept
}

// granted makes room at a cold node. A grant counts only from the granter of the time at which it was made.
func (s *Scheduler) granted(e Granted) {
	n := s.byName[e.Node]
	if n == nil || e.Units <= 0 || !s.cold.MayHaveGranted(e.Node, e.From, s.now, e.Until) {
		return
	}
	s.agenda.Touch(&n.entry)
	n.cold.Granted(s.now, e.Units, e.Until)
}

// roomRequested reports that a host waits for room that this one grants.
func (s *Scheduler) roomRequested() bool {
	return slices.ContainsFunc(s.allocators, func(r allocator) bool { return r.Pending() })
}

// age is how long a node that may be cold has been up.
func (s *Scheduler) age(n *node) Micros { return s.now - max(n.Since, n.Suspect) }
