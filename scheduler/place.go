package scheduler // Where new objects go, whose shard is this host's choice.

import (
	"cmp"
	"math"
	"slices"
)

// place chooses the shard for a new object: the node whose budget has most room left, -1 if there is none.
func (s *Scheduler) place(r *request) int {
	best, shard := math.Inf(1), -1
	for i := range min(len(s.nodes), placeAmong) {
		n := s.nodes[i]
		if len(s.nodes) > placeAmong {
			n = s.nodes[s.rng.IntN(len(s.nodes))]
		}
		if n.State != Running || n.mute > 0 || n.failing() || s.now < n.fullTo {
			continue
		}
		load := n.outUnits + s.shard(n.Shard).units
		score := (load + r.Units) / n.Budget * (1 + 0.01*s.rng.Float64())
		score *= max(cmp.Or(n.Usual, s.pool.Usual, float64(s.aim)), float64(s.waiting(n)))
		if s.now > n.Answered+4*slowInterval { // nor is a connection to it kept
			score *= unsure
		}
		if s.isCold(n) { // as slow as it may be
			score *= s.cold.Slowdown(s.age(n))
		}
		if score < best {
			best, shard = score, n.Shard
		}
	}
	return shard
}

// replace finds another shard for new objects that are held where no node takes them.
func (s *Scheduler) replace() {
	for f := range s.shard(-1).busy.All {
		for _, r := range slices.Clone(f.held) {
			s.unhold(r)
			s.hold(r)
		}
	}
}
