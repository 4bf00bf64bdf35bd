package scheduler

import "slices"

// endpointsChanged applies a change of the endpoint list. A node that is missing from a full list was removed.
func (s *Scheduler) endpointsChanged(e EndpointsChanged) {
	if e.Full {
		for _, n := range s.nodes {
			n.State = Removed
		}
	}
	for _, endpoint := range e.Endpoints {
		s.updateEndpoint(endpoint)
	}
	s.assignShards()
	s.nodes = slices.DeleteFunc(s.nodes, func(n *node) bool {
		// Units sent during slow start count until its end, even if the node leaves the list and comes back.
		removable := n.State == Removed && len(n.pending) == 0 && !s.inSlowStart(n)
		if removable {
			delete(s.nodesByName, n.Node)
			s.work.Remove(&n.work)
		}
		return removable
	})
}

func (s *Scheduler) updateEndpoint(endpoint Endpoint) {
	n := s.nodesByName[endpoint.Node]
	if n == nil {
		n = s.newNode()
		s.nodesByName[endpoint.Node] = n
		s.nodes = append(s.nodes, n)
	}
	if endpoint.StartedAt != n.StartedAt {
		n.SuspectedRestart = 0
		n.silentSince = 0
		n.SmoothedLatency = 0
		n.throttledUntil = 0
		n.lowLatency = true
		n.ErrorRate = 0
		s.resetSlowStart(n)
	}
	n.Endpoint = endpoint
}

// newNode returns the state of an unknown node.
func (s *Scheduler) newNode() *node {
	n := &node{NodeStats: s.NewNodeStats(), slowStart: s.slowStart.NewGuard()}
	n.lowLatency = true
	s.work.Add(&n.work, n)
	return n
}

// assignShards updates the running nodes of each shard.
func (s *Scheduler) assignShards() {
	for _, sh := range s.shards {
		sh.nodes = nil
		if sh.activeNode != nil && sh.activeNode.State != Running {
			sh.activeNode = nil
			sh.withoutNodeSince = s.now
		}
	}
	for _, n := range s.nodes {
		s.work.Queue(&n.work)
		sh := s.shardFor(n.Shard)
		if n.State == Running {
			sh.activeNode = n
			sh.nodes = append(sh.nodes, n)
		}
	}
}
