package hollow

import (
	"slices"

	"otterturn/scheduler"
)

// watched are the nodes that a script does something to, and what becomes of them. Each front writes its own part alone.
type watched struct {
	index      []int32 // of each node among the watched ones, -1 for none; nil while there are none
	nodes      []int32
	from       scheduler.Micros   // what came before counts for nothing
	across     bool               // a front is to avoid those of the other region alone
	version    int64              // of the list, that fronts are to hear of
	informedAt []scheduler.Micros // of each front, 0 for not yet
	newsAt     scheduler.Micros
	refusedAt  []scheduler.Micros // of each front, the last request that was not served by a watched node
}

// Watch has nodes watched from now on.
func (w *World) Watch(nodes ...int32) {
	x := &w.watched
	x.index = slices.Repeat([]int32{-1}, len(w.nodes))
	for i, n := range nodes {
		x.index[n] = int32(i)
	}
	x.nodes, x.from = nodes, w.now()
	x.refusedAt = make([]scheduler.Micros, len(w.fronts))
	for _, f := range w.fronts {
		f.avoided = make([]scheduler.Micros, len(nodes))
	}
}

// Expect notes when each front hears of the present version of the list.
func (w *World) Expect() {
	w.watched.version, w.watched.newsAt = w.discovery.version, w.now()
	w.watched.informedAt = make([]scheduler.Micros, len(w.fronts))
}

func (x *watched) of(node int32) int32 {
	if x.index == nil {
		return -1
	}
	return x.index[node]
}

// suspects notes that a front's scheduler asked for a probe: it sends no more until that is answered.
func (x *watched) suspects(f *front, node int32, now scheduler.Micros) {
	if i := x.of(node); i >= 0 && f.avoided[i] == 0 {
		f.avoided[i] = now
	}
}

func (x *watched) probed(f *front, node int32) {
	if x.of(node) >= 0 {
		f.counts.now[probesWatched]++
	}
}

func (x *watched) unanswered(f *front, c *call) {
	if x.of(c.node) >= 0 {
		f.counts.now[paid]++
	}
}

// unserved notes a request for a watched node's data that was refused or failed.
func (x *watched) unserved(f *front, c *call, now scheduler.Micros) {
	if x.index != nil && x.index[c.shard] >= 0 {
		x.refusedAt[f.id] = now
	}
}

func (x *watched) informed(f *front, version int64, now scheduler.Micros) {
	if x.informedAt != nil && x.informedAt[f.id] == 0 && version >= x.version {
		x.informedAt[f.id] = now
	}
}
