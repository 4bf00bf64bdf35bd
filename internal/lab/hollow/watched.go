package hollow

import (
	"slices"

	"otterturn/scheduler"
)

// watched holds the nodes that a script affects and how the fronts react to it. Each front writes only its own elements, as
// fronts run in parallel.
type watched struct {
	index      []int32 // index in nodes by node, -1 for nodes that are not watched; nil if no node is
	nodes      []int32
	from       scheduler.Micros   // when watching began
	across     bool               // a front should avoid only watched nodes of the other region
	version    int64              // of the list that the fronts should receive
	informedAt []scheduler.Micros // by front, when it received that version, 0 for not yet
	newsAt     scheduler.Micros   // when that version was published
	refusedAt  []scheduler.Micros // by front, time of the last request for a watched node's data that was not served
}

// Watch starts watching nodes.
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

// Expect starts recording when each front receives the current version of the list.
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

// suspects records that a front's scheduler requested a probe. From then on it sends the node no requests until a probe is
// answered.
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

// unserved records a request for a watched node's data that was rejected or failed.
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
