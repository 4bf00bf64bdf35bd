package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// choosePlacement returns the shard for a new object: that of the node with the best score, or -1 if no
// node accepts one.
func (s *Scheduler) choosePlacement(r *request) int {
	best, shard := math.Inf(1), -1
	for i := range min(len(s.nodes), placementSample) {
		n := s.nodes[i]
		if len(s.nodes) > placementSample {
			n = s.nodes[s.rng.IntN(len(s.nodes))]
		}
		if n.State != Running || n.silentSince > 0 || n.isOutlier() || s.now < n.backoffUntil {
			continue
		}
		if score := s.placementScore(n, r); score < best {
			best, shard = score, n.Shard
		}
	}
	return shard
}

// placementScore returns a node's score for a new object. It is lower for a node that has more of its budget
// left and answers sooner.
func (s *Scheduler) placementScore(n *node, r *request) float64 {
	load := n.outstandingUnits + s.shardFor(n.Shard).queuedUnits
	score := (load + r.Units) / n.Budget * (1 + placementNoise*s.rng.Float64())
	latency := cmp.Or(n.SmoothedLatency, s.placementPool.SmoothedLatency, float64(s.minObjective))
	score *= max(latency, float64(s.unansweredFor(n)))
	if s.now > n.LastAnswer+staleAfter { // no connection to it is kept open either
		score *= staleNodePenalty
	}
	if s.inSlowStart(n) { // assumes its maximum slowdown
		score *= s.slowStart.Slowdown(s.slowStartAge(n))
	}
	return score
}

// rechoosePlacements chooses a shard again for new objects that are queued because no node accepted them.
func (s *Scheduler) rechoosePlacements() {
	for f := range s.shardFor(-1).busyFlows.All {
		for _, r := range slices.Clone(f.queued) {
			s.dequeue(r)
			s.enqueue(r)
		}
	}
}
