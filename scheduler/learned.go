package scheduler

import (
	"slices"

	"otterturn/scheduler/tokenbucket"
)

// Fresh are the habits of a node that nothing is known of.
func (s *Scheduler) Fresh() Habits {
	return Habits{Budget: 4 * s.set.MeanUnits, Target: float64(s.aim) / 2}
}

// Learned returns what is known, in parts of up to n entries, so that a caller can let events in between: the
// part from a place on, 0 at first, and the next place, 0 where nothing follows. Volumes and nodes that come
// or go meanwhile may be missing, or named twice; a volume that is missing may draw no more than its lease.
func (s *Scheduler) Learned(now Micros, from, n int) (Learned, int) {
	s.now = max(s.now, now)
	out := Learned{At: s.now}
	nodes, accounts := len(s.nodes), s.volumes.Len()
	for end := from + n; from < end && from < nodes+accounts+s.flows.Len(); from++ {
		switch i := from - nodes; {
		case i < 0:
			k := Known{s.nodes[from].Listing, s.nodes[from].Habits}
			k.Curve = slices.Clone(k.Curve)
			out.Nodes = append(out.Nodes, k)
		case i < accounts:
			out.Accounts = s.account(out.Accounts, s.volumes.At(i))
		default:
			out.Leads = s.flows.At(i-accounts).lead(out.Leads, s.now)
		}
	}
	if from >= nodes+accounts+s.flows.Len() {
		from = 0
	}
	return out, from
}

// account adds what a volume has used, unless it would come back as it is from nothing.
func (s *Scheduler) account(out []Account, v *volume) []Account {
	s.fill(v)
	if s.idle(v, s.now) {
		return out
	}
	a := Account{Volume: v.name, Plan: v.index, Hosts: v.hosts, Reserve: v.reserve}
	if v.plan.Limit > 0 {
		a.Bucket = v.bucket.Record(s.lease(v), s.set.LeaseLast)
	}
	return append(out, a)
}

// lease is what a volume may draw ahead of the next record, in units: a largest request at least.
func (s *Scheduler) lease(v *volume) float64 { return v.rate()*float64(s.set.Lease) + s.set.MostUnits }

// lead adds a flow's weight tag, if it is ahead of the shard's virtual time and counts yet.
func (f *flow) lead(out []Lead, now Micros) []Lead {
	if ahead := f.weight - f.shard.virtual; ahead > 0 && now <= f.last+curvePoints*slowInterval {
		out = append(out, Lead{Volume: f.vol.name, Plan: f.vol.index, Shard: f.shard.id, Units: ahead, Last: f.last})
	}
	return out
}

// Forget drops what was learned of a node or of a volume, as an operator wishes; no name is for none. What a volume
// drew from its limit can't be forgotten, or it could draw it again: its store is empty then.
func (s *Scheduler) Forget(node, volume string) {
	if n := s.byName[node]; n != nil {
		s.agenda.Touch(&n.entry)
		suspect := n.Suspect
		n.Habits = s.Fresh()
		n.Suspect = suspect
	}
	if v, has := s.volumes.Get(volume); has {
		v.reserve, v.bucket.Level = 0, 0
		for _, sh := range s.shards {
			if f, has := s.flows.Get(flowKey{sh, v}); has {
				f.weight = sh.virtual
			}
		}
	}
}

// Recall takes over what an earlier self learned, ahead of the first request. Nodes have to be in the list by
// then, with the same start; what is said of others is passed over. A budget is taken over as it is: the
// caller sees to it that it opens no node wider than a fresh one's.
func (s *Scheduler) Recall(now Micros, l Learned) {
	s.now, s.began = max(s.now, now), max(s.began, now)
	for _, k := range l.Nodes {
		if n := s.byName[k.Node]; n != nil && n.Since == k.Since {
			s.agenda.Touch(&n.entry)
			n.Habits = k.Habits
			n.Curve = slices.Clone(k.Curve)
		}
	}
	for _, a := range l.Accounts {
		if a.Plan < 0 || a.Plan >= len(s.set.Plans) {
			continue
		}
		v := s.volume(Request{Volume: a.Volume, Plan: a.Plan, Hosts: int(a.Hosts)})
		v.reserve = a.Reserve
		if v.plan.Limit > 0 {
			v.bucket = tokenbucket.Recovered(a.Bucket, s.now, v.rate(), v.plan.Burst/v.hosts)
		}
	}
	for _, ahead := range l.Leads {
		if ahead.Plan < 0 || ahead.Plan >= len(s.set.Plans) {
			continue
		}
		sh := s.shard(ahead.Shard)
		f := s.flow(sh, s.volume(Request{Volume: ahead.Volume, Plan: ahead.Plan}))
		f.weight, f.last = sh.virtual+ahead.Units, ahead.Last
	}
}

// expired tells that a flow's weight tag counts no more.
func (s *Scheduler) expired(f *flow) bool {
	return len(f.held) == 0 && f.emptied < s.now && f.emptied <= s.sweptAt && s.sweptAt > f.last+curvePoints*slowInterval
}

// forgotten tells that a volume was idle as of the last time that counts, and nothing was asked of it since.
func (s *Scheduler) forgotten(v *volume) bool {
	return v.open == 0 && v.closed <= s.sweptAt && v.bucket.At <= s.sweptAt && !v.bucket.IsBound(s.sweptAt) &&
		s.idle(v, s.sweptAt)
}

// idle tells that a volume would come back as it is.
func (s *Scheduler) idle(v *volume, at Micros) bool {
	full := v.plan.Limit <= 0 || v.bucket.Level+v.rate()*float64(at-v.bucket.At) >= v.plan.Burst/v.hosts
	rate := s.reservation(v)
	return v.open == 0 && full && (rate == 0 || v.reserve <= float64(at-second)-s.set.MostUnits/rate)
}
