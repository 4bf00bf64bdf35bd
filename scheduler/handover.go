package scheduler

import "slices"

// negligibleRate replaces the refill rate of a limit, in units per second, while another process draws from the limit.
const negligibleRate = 1e-6

// handoverState is the state that concerns another process of the same front.
type handoverState struct {
	noGrantsBefore Micros // no capacity is granted before: the other process may have granted it
	suspendedPlans []Plan // plans to restore once the other process has ended, nil if this process decides
	limitsShared   bool   // another process of this front has decided since startedAt and may have drawn from any limit
}

// initialLevel returns the initial level of the limit's bucket of a new volume, in units over all fronts: half the slack,
// unless another process of this front may have drawn that already.
func (s *Scheduler) initialLevel(plan *Plan) float64 {
	if s.limitsShared {
		return 0
	}
	return plan.Slack / 2
}

// Yield hands this front's budgets over to another process of the same front, which decides from now on, and returns the
// arguments for its TakeOver. This process keeps the units that its queued requests need, if there are as many. Its
// limits are not refilled any more, it grants no capacity and asks no other front for capacity. So both processes
// together send no more than one could have sent.
func (s *Scheduler) Yield(now Micros) (yielded Learned, startedAt Micros) {
	s.now = max(s.now, now)
	yielded = Learned{At: s.now}
	for _, n := range s.nodes {
		yielded.Nodes = append(yielded.Nodes, n.learned())
	}
	needed := s.undrawnUnits()
	for i := range s.volumes.Len() {
		v := s.volumes.At(i)
		yielded.Volumes = append(yielded.Volumes, s.yieldVolume(v, needed[v]))
	}
	for i := range s.flows.Len() {
		yielded.Flows = s.flows.At(i).appendLead(yielded.Flows, s.now)
	}
	s.allocators = nil
	s.invertFrontIndex()
	s.settings.PeerMessages = false
	s.stopRefills()
	return yielded, s.startedAt
}

// undrawnUnits returns the units that open requests have yet to draw, by volume.
func (s *Scheduler) undrawnUnits() map[*volume]float64 {
	units := map[*volume]float64{}
	for _, r := range s.requests {
		if !r.finished && !r.tokensDrawn {
			units[r.volume] += r.Units
		}
	}
	return units
}

// yieldVolume returns the usage of a volume and keeps the needed units in its bucket.
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

// invertFrontIndex replaces this front's index by one that no front has, or restores it. A front without an index grants
// no capacity.
func (s *Scheduler) invertFrontIndex() { s.settings.FrontIndex = -1 - s.settings.FrontIndex }

// stopRefills reduces the refill rate of all limits to a negligible one.
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

// Resume reverses Yield once the other process has ended. If that process never made a decision, unused holds what Yield
// returned, and the levels are restored too. Otherwise limits are only refilled from now on, and buckets of volumes that
// are new here start empty: the other process may have drawn from them.
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

// relinkPlans points all volumes to the plans of the present settings.
func (s *Scheduler) relinkPlans() {
	for i := range s.volumes.Len() {
		v := s.volumes.At(i)
		v.plan = &s.settings.Plans[v.planIndex]
	}
}

// TakeOver takes over what another process of this front yields, before the first request: what it learned and the full
// remainder of its limits. A volume that is missing there has drawn nothing. The plans are those of this process.
func (s *Scheduler) TakeOver(now Micros, l Learned, startedAt Micros) {
	s.ImportLearned(now, l)
	s.startedAt = min(startedAt, s.now)
	s.noGrantsBefore = s.now
	s.limitsShared = true
}
