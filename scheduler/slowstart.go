package scheduler

import (
	"slices"

	"otterturn/scheduler/slowstart"
)

// allocator grants capacity at one node in slow start for which this front is the granter, see package slowstart.
type allocator struct {
	node string
	*slowstart.Allocator[Micros]
}

// inSlowStart reports whether a node may still have less than its full capacity.
func (s *Scheduler) inSlowStart(n *node) bool {
	startedAt := max(n.StartedAt, n.SuspectedRestart)
	return startedAt > 0 && s.now < startedAt+s.settings.SlowStart
}

// slowStartAge returns how long a node in slow start has been up.
func (s *Scheduler) slowStartAge(n *node) Micros {
	return s.now - max(n.StartedAt, n.SuspectedRestart)
}

// slowStartAllows reports whether a node that may be in slow start can be sent another request.
func (s *Scheduler) slowStartAllows(n *node, r *request) bool {
	if !s.inSlowStart(n) {
		n.slowStart.Reset()
		return true
	}
	return r.Units <= n.slowStart.Capacity(s.now)
}

// requestCapacity asks the granter of a node, which may be this front, for capacity for the next request.
func (s *Scheduler) requestCapacity(n *node, sh *shard, next *request) {
	granter, mayGrant := s.slowStart.Granter(n.Node, s.now)
	isGranter := granter == s.settings.FrontIndex
	if !isGranter && !s.settings.PeerMessages || isGranter && !mayGrant || !n.slowStart.ShouldRequest(s.now) {
		return
	}
	wanted := slowstart.CapacityRequest{Units: next.Units, MinUnits: next.Units, Report: n.slowStart.TakeReport()}
	for f := range sh.busyFlows.All {
		for _, r := range f.queued {
			wanted.MinUnits = min(wanted.MinUnits, r.Units)
		}
	}
	s.sendToGranter(granter, n, wanted)
}

func (s *Scheduler) sendToGranter(granter int, n *node, wanted slowstart.CapacityRequest) {
	if granter == s.settings.FrontIndex {
		s.capacityRequested(CapacityRequested{From: granter, Node: n.Node, StartedAt: n.StartedAt, CapacityRequest: wanted})
		return
	}
	s.actions = append(s.actions, RequestCapacity{To: granter, Node: n.Node, StartedAt: n.StartedAt, CapacityRequest: wanted})
}

// slowStartAnswered handles an answer of a node in slow start and reports it to the granter. One of many fronts sends to
// the node rarely: without the report, the granter would learn of the answer only with this front's next request.
func (s *Scheduler) slowStartAnswered(n *node, r *request, latency Micros) {
	n.slowStart.Answered(s.now, r.Key, r.Units, latency)
	granter, _ := s.slowStart.Granter(n.Node, s.now)
	reachable := s.settings.PeerMessages || granter == s.settings.FrontIndex
	if reachable && n.slowStart.ShouldReport(s.now) {
		s.sendToGranter(granter, n, slowstart.CapacityRequest{Report: n.slowStart.TakeReport()})
	}
}

// resetSlowStart drops what is known of a node's speed because it may have restarted.
func (s *Scheduler) resetSlowStart(n *node) {
	n.slowStart.Reset()
	for _, a := range s.allocators {
		if a.node == n.Node {
			a.Reset()
		}
	}
}

// capacityRequested queues a front's request for capacity at a node, or handles its load report. A node that is not in
// this front's endpoint list gets no grants from here, and a report on an unknown start of the node is ignored.
func (s *Scheduler) capacityRequested(e CapacityRequested) {
	n := s.nodesByName[e.Node]
	if e.From < 0 || e.From >= s.settings.Fronts || n == nil {
		return
	}
	if e.StartedAt != n.StartedAt {
		e.Report = slowstart.LoadReport{}
	}
	a := s.allocatorFor(e.Node)
	if e.Units <= 0 {
		a.Report(s.now, e.From, e.Report)
		return
	}
	a.Request(s.now, e.From, e.CapacityRequest)
}

// allocatorFor finds or creates the allocator of a node.
func (s *Scheduler) allocatorFor(node string) allocator {
	i := slices.IndexFunc(s.allocators, func(a allocator) bool { return a.node == node })
	if i < 0 {
		i = len(s.allocators)
		s.allocators = append(s.allocators, allocator{node, s.slowStart.NewAllocator()})
	}
	return s.allocators[i]
}

// grantCapacity grants capacity at nodes in slow start. A node that this front considers warm may have restarted
// unnoticed, so requests for it are granted too.
func (s *Scheduler) grantCapacity() {
	active := s.allocators[:0]
	for _, a := range s.allocators {
		n := s.nodesByName[a.node]
		if n == nil || a.Idle(s.now) {
			continue
		}
		active = append(active, a)
		s.grantAt(n, a)
	}
	s.allocators = active
}

func (s *Scheduler) grantAt(n *node, a allocator) {
	granter, mayGrant := s.slowStart.Granter(a.node, s.now)
	if granter != s.settings.FrontIndex {
		a.DropRequests() // the waiting fronts must ask another granter now
	}
	formerGrantsUntil := max(s.startedAt, s.noGrantsBefore) + s.slowStart.GrantLifetime()
	if !mayGrant || s.now <= formerGrantsUntil {
		return
	}
	age := Micros(0)
	if s.inSlowStart(n) {
		age = s.slowStartAge(n)
	}
	for _, g := range a.Allocate(s.now, s.slowStart.SafeUnitsAt(age)) {
		if g.Front == s.settings.FrontIndex {
			s.capacityGranted(CapacityGranted{From: g.Front, Node: a.node, Units: g.Units, ValidUntil: g.ValidUntil})
			continue
		}
		s.actions = append(s.actions, GrantCapacity{To: g.Front, Node: a.node, Units: g.Units, ValidUntil: g.ValidUntil})
	}
}

// capacityGranted handles a grant. A grant is valid only if its sender was the granter when it made the grant.
func (s *Scheduler) capacityGranted(e CapacityGranted) {
	n := s.nodesByName[e.Node]
	if n == nil || e.Units <= 0 || !s.slowStart.MayHaveGranted(e.Node, e.From, s.now, e.ValidUntil) {
		return
	}
	s.work.Queue(&n.work)
	n.slowStart.Granted(s.now, e.Units, e.ValidUntil)
}

// capacityPending reports whether a front waits for capacity that this front grants.
func (s *Scheduler) capacityPending() bool {
	return slices.ContainsFunc(s.allocators, func(a allocator) bool { return a.Pending() })
}
