package scheduler

// volumeFor finds or creates the volume of a request and refills its bucket.
func (s *Scheduler) volumeFor(e Request) *volume {
	v := s.volumes.GetOrCreate(e.Volume, s.volumeExpired, func() *volume { return s.newVolume(e) })
	v.fronts = max(v.fronts, float64(e.Fronts))
	s.refill(v)
	return v
}

// newVolume returns a volume whose bucket starts with this front's part of the initial level. After a restart it is
// unknown what a former process of this front drew, and the front may restart twice before that part is refilled.
func (s *Scheduler) newVolume(e Request) *volume {
	plan := &s.settings.Plans[e.Plan]
	v := &volume{name: e.Volume, planIndex: e.Plan, plan: plan, fronts: 1, idleSince: s.now}
	v.bucket.At = s.startedAt
	v.bucket.Level = s.initialLevel(plan) / float64(max(e.Fronts, 1))
	return v
}

// reservationRate returns the rate, in units per microsecond, at which this front's reservation tags advance: an even
// part per front, or the full rate if answers report the units served through other fronts, which then advance the tags
// too as in distributed mClock.
func (s *Scheduler) reservationRate(v *volume) float64 {
	if s.settings.ServedElsewhereReported {
		return v.plan.Reservation / float64(second)
	}
	return v.plan.Reservation / v.fronts / float64(second)
}

// limitRate returns this front's even part of the limit, in units per microsecond.
func (v *volume) limitRate() float64 { return v.plan.Limit / v.fronts / float64(second) }

// refill adds this front's part of the limit since the last time. A node counts drawn units only once they reach it,
// which takes long if the node is cut off. Until then they reduce the bucket's maximum level. Otherwise the bucket would
// be full again by then, and as many units would be sent beyond the burst.
func (s *Scheduler) refill(v *volume) {
	burst := max(0, v.plan.Burst/v.fronts-v.uncountedUnits)
	v.bucket.Refill(s.now, v.limitRate(), burst)
}

// settleUnits records that the units of a request have been counted or never will be.
func (r *request) settleUnits() {
	r.volume.uncountedUnits -= r.uncountedUnits
	r.uncountedUnits = 0
}

// countServedElsewhere advances the reservation tag by the units that other fronts were served, at most up to now.
func (s *Scheduler) countServedElsewhere(v *volume, units float64) {
	rate := s.reservationRate(v)
	if rate > 0 && s.settings.ServedElsewhereReported {
		v.reservationTag = min(v.reservationTag+units/rate, max(v.reservationTag, float64(s.now)))
	}
}

// drawTokens draws the units of a request from its limit, once per request.
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

// advanceReservation advances the reservation tag of a request's volume. An idle volume accumulates one second of its
// reservation and one request of maximum size. Requests beyond the reservation create no debt.
func (s *Scheduler) advanceReservation(r *request, reserved bool) {
	v := r.volume
	rate := s.reservationRate(v)
	if rate <= 0 {
		return
	}
	minTag := float64(s.now-second) - s.settings.MaxUnits/rate
	tag := max(v.reservationTag, minTag) + r.Units/rate
	if !reserved {
		tag = min(tag, max(v.reservationTag, float64(s.now)))
	}
	v.reservationTag = tag
}
