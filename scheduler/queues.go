package scheduler

import "slices"

// enqueue queues a request for its shard. For a new object it chooses the shard by the free budgets.
func (s *Scheduler) enqueue(r *request) {
	if r.newObject && r.mayHaveRun == nil {
		r.Shard = s.choosePlacement(r)
		if r.Shard >= 0 {
			s.shardFor(-1).withoutNodeSince = s.now
		}
	}
	sh := s.shardFor(r.Shard)
	f := s.flowFor(sh, r.volume)
	if len(f.queued) == 0 {
		f.weightTag = max(f.weightTag, sh.virtualTime)
	}
	r.flow = f
	f.queued = append(f.queued, r)
	sh.queuedUnits += r.Units
	sh.busyFlows.Add(f.number, f)
	s.busyShards.Add(sh.number, sh)
}

// dequeue removes a request from its queue, if it is in one.
func (s *Scheduler) dequeue(r *request) {
	f := r.flow
	if f == nil {
		return
	}
	sh := f.shard
	f.queued = slices.DeleteFunc(f.queued, func(other *request) bool { return other == r })
	if len(f.queued) == 0 {
		f.emptySince = s.now
		sh.busyFlows.Remove(f.number)
	}
	if sh.busyFlows.Len() == 0 {
		s.busyShards.Remove(sh.number)
	}
	sh.queuedUnits -= r.Units
	r.flow = nil
}

// queuedUnits returns the size of all queued requests of the flow.
func (f *flow) queuedUnits() (units float64) {
	for _, r := range f.queued {
		units += r.Units
	}
	return units
}

func (s *Scheduler) flowFor(sh *shard, v *volume) *flow {
	return s.flows.GetOrCreate(flowKey{sh, v}, s.flowExpired, func() *flow {
		sh.flowsCreated++
		return &flow{volume: v, shard: sh, number: sh.flowsCreated, emptySince: s.now}
	})
}

func (s *Scheduler) shardFor(id int) *shard {
	sh := s.shards[id]
	if sh == nil {
		sh = &shard{id: id, number: len(s.shards), withoutNodeSince: s.now}
		s.shards[id] = sh
	}
	return sh
}
