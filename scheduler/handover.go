package scheduler

import (
	"slices"

	"otterturn/scheduler/tokenbucket"
)

// trickle is what a limit lets flow in, in units a second, where another process draws from it: as good as nothing.
const trickle = 1e-6

// succession is what a process keeps of another one of the same host.
type succession struct {
	grantsFrom Micros // nothing is granted at cold nodes before: the other process may have
	plans      []Plan // while the other one decides: those whose limits count
	shared     bool   // another process of this host decided since began, and may have drawn from any limit
}

// initialLevel is what the limit's bucket of a volume that is new here holds of itself, in units, over all hosts: half the
// slack, unless another process of this host may have drawn that already.
func (s *Scheduler) initialLevel(p *Plan) float64 {
	if s.shared {
		return 0
	}
	return p.Slack / 2
}

// Yield gives what this host may promise to another process of the same host, which decides from now on, and returns
// what that one is to Succeed to. What is left here is enough for the requests that are held, as far as there is as
// much; nothing flows into limits any more, nothing is granted at cold nodes, and other hosts are not asked. So what both
// send together is what one might have sent.
func (s *Scheduler) Yield(now Micros) (l Learned, began Micros) {
	s.now = max(s.now, now)
	l = Learned{At: s.now}
	for _, n := range s.nodes {
		k := Known{n.Listing, n.Habits}
		k.Curve = slices.Clone(k.Curve)
		l.Nodes = append(l.Nodes, k)
	}
	needs := map[*volume]float64{}
	for _, r := range s.reqs {
		if !r.done && !r.drawn {
			needs[r.vol] += r.Units
		}
	}
	for i := range s.volumes.Len() {
		v := s.volumes.At(i)
		s.fill(v)
		a := Account{Volume: v.name, Plan: v.index, Hosts: v.hosts, Reserve: v.reserve}
		if v.plan.Limit > 0 {
			keep := min(v.bucket.Level, needs[v])
			a.Bucket = tokenbucket.Bucket[Micros]{Level: v.bucket.Level - keep, At: s.now}
			v.bucket.Level = keep
		}
		l.Accounts = append(l.Accounts, a)
	}
	for i := range s.flows.Len() {
		l.Leads = s.flows.At(i).lead(l.Leads, s.now)
	}
	s.allocators, s.set.Number, s.set.Peers = nil, -1-s.set.Number, false
	s.dry()
	return l, s.began
}

// dry has nothing flow into limits.
func (s *Scheduler) dry() {
	s.plans = s.set.Plans
	s.set.Plans = slices.Clone(s.plans)
	for i := range s.set.Plans {
		if p := &s.set.Plans[i]; p.Limit > 0 {
			p.Limit = trickle
		}
	}
	s.replan()
}

// Resume takes back what Yield gave, as the other process has ended: its levels too where it never decided anything,
// else what flows in from now on. The other process may have drawn from volumes that this one has not met: then their
// buckets are empty as of now.
func (s *Scheduler) Resume(now Micros, unused Learned, peers bool) {
	if s.plans == nil {
		return
	}
	s.now = max(s.now, now)
	for i := range s.volumes.Len() {
		s.fill(s.volumes.At(i))
	}
	s.set.Plans, s.plans = s.plans, nil
	s.set.Number, s.set.Peers, s.grantsFrom = -1-s.set.Number, peers, s.now
	s.replan()
	if decided := unused.At == 0; decided {
		s.began, s.shared = s.now, true
	}
	for _, a := range unused.Accounts {
		if v, has := s.volumes.Get(a.Volume); has && v.plan.Limit > 0 {
			v.bucket.Level += a.Bucket.Level
		}
	}
}

func (s *Scheduler) replan() {
	for i := range s.volumes.Len() {
		v := s.volumes.At(i)
		v.plan = &s.set.Plans[v.index]
	}
}

// Succeed takes over what another process of this host yields, ahead of the first request: what it learned, and what
// it left of limits, in full. A volume that it does not name had a full bucket. Plans are those of this process.
func (s *Scheduler) Succeed(now Micros, l Learned, began Micros) {
	s.Recall(now, l)
	s.began, s.grantsFrom = min(began, s.now), s.now
	s.shared = true
}
