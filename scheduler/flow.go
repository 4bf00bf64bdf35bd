package scheduler // What is held, by shard and volume.

import (
	"slices"

	"otterturn/scheduler/orderedset"
)

// flow is what is held of one volume for one shard.
type flow struct {
	vol     *volume
	shard   *shard
	number  int // flows of equal tags leave in the order in which they began
	held    []*request
	emptied Micros  // nothing is held since then
	weight  float64 // weight tag
	last    Micros  // last send
}

type flowKey struct {
	*shard
	*volume
}

type shard struct {
	id, number int
	began      int                   // flows that ever began
	busy       orderedset.Set[*flow] // those that hold something
	virtual    float64               // weight tag of the last request sent
	units      float64               // units held
	nodes      []*node               // running ones that hold the shard, and
	node       *node                 // the last of them, if any
	since      Micros                // without a node since then
}

// hold puts a request among those held for its shard. A new object goes where the budgets say there is room.
func (s *Scheduler) hold(r *request) {
	if r.placed && r.ran == nil {
		if r.Shard = s.place(r); r.Shard >= 0 {
			s.shard(-1).since = s.now
		}
	}
	sh := s.shard(r.Shard)
	f := s.flow(sh, r.vol)
	if len(f.held) == 0 {
		f.weight = max(f.weight, sh.virtual)
	}
	r.flow, f.held = f, append(f.held, r)
	sh.busy.Add(f.number, f)
	s.busy.Add(sh.number, sh)
	sh.units += r.Units
}

func (s *Scheduler) unhold(r *request) {
	f := r.flow
	if f == nil {
		return
	}
	sh := f.shard
	if f.held = slices.DeleteFunc(f.held, func(h *request) bool { return h == r }); len(f.held) == 0 {
		f.emptied = s.now
		sh.busy.Remove(f.number)
	}
	if sh.busy.Len() == 0 {
		s.busy.Remove(sh.number)
	}
	sh.units, r.flow = sh.units-r.Units, nil
}

func (s *Scheduler) flow(sh *shard, v *volume) *flow {
	return s.flows.GetOrCreate(flowKey{sh, v}, s.expired, func() *flow {
		sh.began++
		return &flow{vol: v, shard: sh, number: sh.began, emptied: s.now}
	})
}

func (s *Scheduler) shard(id int) *shard {
	if s.shards[id] == nil {
		s.shards[id] = &shard{id: id, number: len(s.shards), since: s.now}
	}
	return s.shards[id]
}
