package health

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NodeKey returns the key of a node in messages: 40 bits of the hash of its name. Among 2,000 nodes, two have the same key
// with a probability of 2 in a million; no evidence about such nodes is exchanged.
func NodeKey(name string) uint64 { return xxhash.Sum64String(name) & (1<<keyBits - 1) }

// weight returns the weight of a front for a node in rendezvous hashing (Thaler and Ravishankar 1998).
func weight(front int, key uint64) uint64 {
	var both [16]byte
	binary.BigEndian.PutUint64(both[:8], uint64(front))
	binary.BigEndian.PutUint64(both[8:], key)
	return xxhash.Sum64(both[:])
}

// rankFronts orders fronts for a node by descending weight. Adding or removing a front does not reorder the others.
func rankFronts(fronts []int, key uint64) []int {
	type ranked struct {
		front  int
		weight uint64
	}
	all := make([]ranked, len(fronts))
	for i, front := range fronts {
		all[i] = ranked{front, weight(front, key)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.front, b.front))
	})
	out := make([]int, len(all))
	for i, r := range all {
		out[i] = r.front
	}
	return out
}

// hashFraction returns a number in [0, 1) that depends only on a front and a node. It spreads delays over the fronts.
func hashFraction(front int, key uint64) float64 {
	return float64(weight(front, ^key)>>11) / (1 << 53)
}
