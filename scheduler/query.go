package scheduler

// AvoidedNodes returns the number of nodes in the endpoint list that are sent no new requests now, because of their
// listed state or their behavior.
func (s *Scheduler) AvoidedNodes(now Micros) (count int) {
	for _, n := range s.nodes {
		avoided := n.silentSince > 0 || now < n.backoffUntil || n.isOutlier()
		if n.State != Removed && (n.State != Running || avoided) {
			count++
		}
	}
	return count
}

// NodeFor returns the node to which a request would be sent now, "" for none, and its shard. Long requests are streamed
// there before they are complete. The scheduler decides on a request only once it is complete.
func (s *Scheduler) NodeFor(now Micros, e Request) (node string, shard int) {
	s.now = max(s.now, now)
	shard = e.Shard
	if shard < 0 {
		shard = s.choosePlacement(s.newRequest(e))
	}
	n := s.shardFor(shard).activeNode
	if shard >= 0 && n != nil && n.silentSince == 0 {
		node = n.Node
	}
	return node, shard
}
