package hollow

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest is a running hash of an actor's actions, in their order.
type digest uint64

func (d *digest) add(values ...uint64) {
	for _, v := range values {
		*d = digest((uint64(*d)^v)*0x9E3779B97F4A7C15 ^ v>>29)
	}
}

// Digest returns a hash of everything that happened so far: runs with the same settings and script have the same digest.
func (w *World) Digest() uint64 {
	sum := xxhash.New()
	add := func(v uint64) { sum.Write(binary.LittleEndian.AppendUint64(nil, v)) }
	for _, f := range w.fronts {
		add(uint64(f.digest))
		for i, n := range f.counts.total {
			add(uint64(n + f.counts.currentSecond[i]))
		}
	}
	for _, n := range w.nodes {
		add(uint64(n.counts.attempts))
		add(uint64(n.counts.served))
		add(uint64(n.counts.probes))
	}
	add(uint64(w.discovery.counts.calls))
	return sum.Sum64()
}
