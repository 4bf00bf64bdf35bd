package scheduler

// This file keeps the reservation tags and the limits' token buckets of volumes.

// volumeFor finds or creates the volume of a request, and refills its bucket.
func (s *Scheduler) volumeFor(e Request) *volume {
	v := s.volumes.GetOrCreate(e.Volume, s.volumeExpired, func() *volume { return s.newVolume(e) })
	v.fronts = max(v.fronts, float64(e.Fronts))
	s.refill(v)
	return v
}

// newVolume returns a volume whose bucket starts with its part of the initial level: what a former process of this front
// drew is not known after a restart, and it may restart twice before that part is full again.
func (s *Scheduler) newVolume(e Request) *volume {
	plan := &s.settings.Plans[e.Plan]
	v := &volume{name: e.Volume, planIndex: e.Plan, plan: plan, fronts: 1, idleSince: s.now}
	v.bucket.At = s.startedAt
	v.bucket.Level = s.initialLevel(plan) / float64(max(e.Fronts, 1))
	return v
}

// reservationRate is the rate, in units a microsecond, at which this front's reservation tags advance: its even part, or
// all of it where answers tell the service elsewhere, which counts too as in distributed mClock.
func (s *Scheduler) reservationRate(v *volume) float64 {
	if s.settings.ServedElsewhereTold {
		return v.plan.Reservation / float64(second)
	}
	return v.plan.Reservation / v.fronts / float64(second)
}

// limitRate is this front's even part of the limit, in units a microsecond.
func (v *volume) limitRate() float64 { return v.plan.Limit / v.fronts / float64(second) }

// refill adds this front's part of the limit since the last time. Drawn units count once they reach a node, long after
// where nodes are cut off. Until then they take up room in the bucket: it would be full again by then, and as much would
// be sent beyond the burst.
func (s *Scheduler) refill(v *volume) {
	burst := max(0, v.plan.Burst/v.fronts-v.uncountedUnits)
	v.bucket.Refill(s.now, v.limitRate(), burst)
}

// settleUnits notes that a request's units have been counted, or never will be.
func (r *request) settleUnits() {
	r.volume.uncountedUnits -= r.uncountedUnits
	r.uncountedUnits = 0
}

// countServedElsewhere advances the reservation tag by what other fronts were served, up to now.
func (s *Scheduler) countServedElsewhere(v *volume, units float64) {
	rate := s.reservationRate(v)
	if rate > 0 && s.settings.ServedElsewhereTold {
		v.reservationTag = min(v.reservationTag+units/rate, max(v.reservationTag, float64(s.now)))
	}
}

// drawTokens draws a request's units from its limit, once.
func (s *Scheduler) drawTokens(r *request) {
	v := r.volume
	if v.plan.Limit <= 0 || r.tokensDrawn {
		return
	}
	r.tokensDrawn = true
	r.uncountedUnits = r.Units
	v.uncountedUnits += r.Units
	if leaseLow := v.bucket.Draw(s.now, r.Units, s.lease(v)); leaseLow {
		s.actions = append(s.actions, SaveState{})
	}
}

// advanceReservation advances the reservation tag of a request's volume. An idle volume keeps a second of its reservation
// and one largest request; work beyond the reservation is no debt.
func (s *Scheduler) advanceReservation(r *request, reserved bool) {
	v := r.volume
	rate := s.reservationRate(v)
	if rate <= 0 {
		return
	}
	oldest := float64(s.now-second) - s.settings.MaxUnits/rate
	tag := max(v.reservationTag, oldest) + r.Units/rate
	if !reserved {
		tag = min(tag, max(v.reservationTag, float64(s.now)))
	}
	v.reservationTag = tag
}
