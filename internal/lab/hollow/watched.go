package hollow

import (
	"slices"

	"otterturn/scheduler"
)

// watched holds the nodes that a script affects and how the fronts react to it. Each front writes only its own elements, as
// fronts run in parallel.
type watched struct {
	index           []int32 // index in nodes by node, -1 for nodes that are not watched; nil if no node is
	nodes           []int32
	startedAt       scheduler.Micros   // when watching began
	otherRegionOnly bool               // a front should avoid only watched nodes of the other region
	version         int64              // of the list that the fronts should receive
	informedAt      []scheduler.Micros // by front, when it received that version, 0 for not yet
	publishedAt     scheduler.Micros   // when that version was published
	unservedAt      []scheduler.Micros // by front, time of the last request for a watched node's data that was not served
}

// Watch starts watching nodes.
func (w *World) Watch(nodes ...int32) {
	x := &w.watched
	x.index = slices.Repeat([]int32{-1}, len(w.nodes))
	for i, n := range nodes {
		x.index[n] = int32(i)
	}
	x.nodes, x.startedAt = nodes, w.now()
	x.unservedAt = make([]scheduler.Micros, len(w.fronts))
	for _, f := range w.fronts {
		f.avoidedSince = make([]scheduler.Micros, len(nodes))
	}
}

// ExpectList starts recording when each front receives the current version of the list.
func (w *World) ExpectList() {
	w.watched.version, w.watched.publishedAt = w.discovery.version, w.now()
	w.watched.informedAt = make([]scheduler.Micros, len(w.fronts))
}

func (x *watched) indexOf(node int32) int32 {
	if x.index == nil {
		return -1
	}
	return x.index[node]
}

// probeRequested records that a front's scheduler requested a probe of a node. From then on it sends the node no requests
// until a probe is answered.
func (x *watched) probeRequested(f *front, node int32, now scheduler.Micros) {
	if i := x.indexOf(node); i >= 0 && f.avoidedSince[i] == 0 {
		f.avoidedSince[i] = now
	}
}

func (x *watched) countProbe(f *front, node int32) {
	if x.indexOf(node) >= 0 {
		f.counts.currentSecond[probesToWatched]++
	}
}

func (x *watched) countUnanswered(f *front, r *openRequest) {
	if x.indexOf(r.node) >= 0 {
		f.counts.currentSecond[unansweredAtWatched]++
	}
}

// recordUnserved records a request for a watched node's data that was rejected or failed.
func (x *watched) recordUnserved(f *front, r *openRequest, now scheduler.Micros) {
	if x.index != nil && x.index[r.shard] >= 0 {
		x.unservedAt[f.id] = now
	}
}

func (x *watched) recordInformed(f *front, version int64, now scheduler.Micros) {
	if x.informedAt != nil && x.informedAt[f.id] == 0 && version >= x.version {
		x.informedAt[f.id] = now
	}
}
