package scheduler

import "slices"

// negligibleRate is what a limit lets flow in, in units a second, where another process draws from it: as good as nothing.
const negligibleRate = 1e-6

// handoverState is what a process keeps of another process of the same front.
type handoverState struct {
	noGrantsBefore Micros // no capacity is granted before: the other process may have granted it
	suspendedPlans []Plan // the plans in force again once the other process has ended, nil while this one decides
	limitsShared   bool   // another process of this front decided since startedAt, and may have drawn from any limit
}

// initialLevel is what the limit's bucket of a volume that is new here holds at first, in units, over all fronts: half the
// slack, unless another process of this front may have drawn that already.
func (s *Scheduler) initialLevel(plan *Plan) float64 {
	if s.limitsShared {
		return 0
	}
	return plan.Slack / 2
}

// Yield gives what this front may promise to another process of the same front, which decides from now on, and returns what
// that one is to TakeOver. What is left here is enough for the requests that are queued, as far as there is as much; nothing
// flows into limits any more, no capacity is granted, and other fronts are not asked. So what both send together is what one
// might have sent.
func (s *Scheduler) Yield(now Micros) (l Learned, startedAt Micros) {
	s.now = max(s.now, now)
	l = Learned{At: s.now}
	for _, n := range s.nodes {
		l.Nodes = append(l.Nodes, n.learned())
	}
	needed := s.undrawnUnits()
	for i := range s.volumes.Len() {
		v := s.volumes.At(i)
		l.Volumes = append(l.Volumes, s.yieldVolume(v, needed[v]))
	}
	for i := range s.flows.Len() {
		l.Flows = s.flows.At(i).appendLead(l.Flows, s.now)
	}
	s.allocators = nil
	s.invertFrontIndex()
	s.settings.PeerMessages = false
	s.stopRefills()
	return l, s.startedAt
}

// undrawnUnits is what open requests will draw yet, by volume.
func (s *Scheduler) undrawnUnits() map[*volume]float64 {
	units := map[*volume]float64{}
	for _, r := range s.requests {
		if !r.finished && !r.tokensDrawn {
			units[r.volume] += r.Units
		}
	}
	return units
}

// yieldVolume returns what a volume has used, and keeps so many units of its bucket.
func (s *Scheduler) yieldVolume(v *volume, needed float64) VolumeUsage {
	s.refill(v)
	usage := v.usage()
	if v.plan.Limit > 0 {
		kept := min(v.bucket.Level, needed)
		usage.Bucket.Level = v.bucket.Level - kept
		usage.Bucket.At = s.now
		v.bucket.Level = kept
	}
	return usage
}

// invertFrontIndex makes this front's index that of none, or undoes it: who has none grants no capacity.
func (s *Scheduler) invertFrontIndex() { s.settings.FrontIndex = -1 - s.settings.FrontIndex }

// stopRefills has nothing flow into limits.
func (s *Scheduler) stopRefills() {
	s.suspendedPlans = s.settings.Plans
	s.settings.Plans = slices.Clone(s.suspendedPlans)
	for i := range s.settings.Plans {
		plan := &s.settings.Plans[i]
		if plan.Limit > 0 {
			plan.Limit = negligibleRate
		}
	}
	s.relinkPlans()
}

// Resume takes back what Yield gave, as the other process has ended: its levels too where it never decided anything, else
// what flows in from now on. The other process may have drawn from volumes that this one has not met: then their buckets are
// empty as of now.
func (s *Scheduler) Resume(now Micros, unused Learned, peerMessages bool) {
	if s.suspendedPlans == nil {
		return
	}
	s.now = max(s.now, now)
	for i := range s.volumes.Len() {
		s.refill(s.volumes.At(i))
	}
	s.settings.Plans = s.suspendedPlans
	s.suspendedPlans = nil
	s.invertFrontIndex()
	s.settings.PeerMessages = peerMessages
	s.noGrantsBefore = s.now
	s.relinkPlans()
	if otherDecided := unused.At == 0; otherDecided {
		s.startedAt = s.now
		s.limitsShared = true
	}
	for _, usage := range unused.Volumes {
		v, found := s.volumes.Get(usage.Volume)
		if found && v.plan.Limit > 0 {
			v.bucket.Level += usage.Bucket.Level
		}
	}
}

// relinkPlans has all volumes go by the settings' plans.
func (s *Scheduler) relinkPlans() {
	for i := range s.volumes.Len() {
		v := s.volumes.At(i)
		v.plan = &s.settings.Plans[v.planIndex]
	}
}

// TakeOver takes over what another process of this front yields, ahead of the first request: what it learned, and what it
// left of limits, in full. A volume that it does not name has drawn nothing. Plans are those of this process.
func (s *Scheduler) TakeOver(now Micros, l Learned, startedAt Micros) {
	s.ImportLearned(now, l)
	s.startedAt = min(startedAt, s.now)
	s.noGrantsBefore = s.now
	s.limitsShared = true
}
