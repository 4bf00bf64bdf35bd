package health

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// NodeKey is the name of a node in messages: 40 bits of its hash. Among 2,000 nodes two have the same with a chance of
// 2 in a million; nothing is shared of such nodes then.
func NodeKey(name string) uint64 { return xxhash.Sum64String(name) & (1<<keyBits - 1) }

// weight is what fronts are ranked by for a node: rendezvous hashing, Thaler and Ravishankar 1998.
func weight(front int, key uint64) uint64 {
	var both [16]byte
	binary.BigEndian.PutUint64(both[:8], uint64(front))
	binary.BigEndian.PutUint64(both[8:], key)
	return xxhash.Sum64(both[:])
}

// rankFronts orders fronts for a node. When one leaves or comes the order of the others stays.
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

// share is a fixed number in [0, 1) of a front and a node, for delays that are to differ between fronts.
func share(front int, key uint64) float64 {
	return float64(weight(front, ^key)>>11) / (1 << 53)
}
