package scheduler

import (
	"fmt"
	"math"
	"slices"

	"otterturn/scheduler/retrybudget"
)

// tune takes over what settings say of classes and plans. Each class keeps the number of attempts of its time, so that
// a request that is open keeps what held as it came.
func (s *Scheduler) tune(set Settings) {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].tries = set.MaxTries
		set.Classes[i].Window = set.Classes[i].repeats()
	}
	if old := s.set; len(old.Classes) == 0 || set.RetrySpan != old.RetrySpan || set.RetrySpare != old.RetrySpare || set.RetryShare != old.RetryShare {
		s.allowance = retrybudget.Of(set.RetrySpan, set.RetrySpare, set.RetryShare)
	}
	s.set = set
	s.aim, s.worth = set.Classes[0].Aim, math.SmallestNonzeroFloat64
	for _, c := range set.Classes {
		s.aim, s.worth = min(s.aim, c.Aim), max(s.worth, c.Worth)
	}
	s.cold.Doubt = s.aim
}

// forever is longer than any request waits.
const forever Micros = 1 << 50

// repeats is for how long after an attempt that may have run another one may begin.
func (c *Class) repeats() Micros {
	switch c.Repeat {
	case Safe:
		return forever
	case Keyed:
		return c.Window
	}
	return 0
}

// Retune takes over other classes, plans and attempts, and figures of requests. Classes and plans keep their
// places: what is new comes behind. Requests that are open keep their class as it was. What concerns other hosts, the
// clock and cold nodes stays as it was at the start.
func (s *Scheduler) Retune(set Settings) error {
	old := s.set
	set.Hosts, set.Number, set.Peers, set.Tick, set.MaxOpen = old.Hosts, old.Number, old.Peers, old.Tick, old.MaxOpen
	set.ColdFrom, set.Ramp, set.FallMultiple, set.FallSpan, set.ColdUnits = old.ColdFrom, old.Ramp, old.FallMultiple, old.FallSpan, old.ColdUnits
	set.Lease, set.LeaseLast = old.Lease, old.LeaseLast
	if err := set.validate(); err != nil {
		return err
	}
	if len(set.Classes) < len(old.Classes) || len(set.Plans) < len(old.Plans) {
		return fmt.Errorf("settings: %d classes and %d plans, fewer than the %d and %d that are open", len(set.Classes),
			len(set.Plans), len(old.Classes), len(old.Plans))
	}
	s.tune(set)
	if s.plans != nil {
		s.dry()
	}
	s.replan()
	return nil
}

// Avoided tells how many nodes are on the list and get nothing new now, by its word or by what they showed.
func (s *Scheduler) Avoided(now Micros) (n int) {
	for _, l := range s.nodes {
		if l.State != Gone && (l.State != Running || l.mute > 0 || now < l.fullTo || l.failing()) {
			n++
		}
	}
	return n
}

// Place tells which node a request would go to now, and its shard; "" for none. A long request goes there ahead of its
// end, on which alone the scheduler decides.
func (s *Scheduler) Place(now Micros, e Request) (node string, shard int) {
	s.now = max(s.now, now)
	if shard = e.Shard; shard < 0 {
		shard = s.place(s.request(e))
	}
	if n := s.shard(shard).node; shard >= 0 && n != nil && n.mute == 0 {
		node = n.Node
	}
	return node, shard
}
