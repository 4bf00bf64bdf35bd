package scheduler

// A step examines at most sweepBase entries plus sweepPerEvent per event: more than a step can create.
const (
	sweepBase     = 8
	sweepPerEvent = 4
)

// sweep removes expired volumes, flows and rejected requests, a bounded number in each step.
func (s *Scheduler) sweep(events int) {
	if s.now >= s.sweptAt+slowInterval {
		s.sweptAt = s.now
	}
	limit := sweepBase + sweepPerEvent*events
	s.flows.Sweep(limit, s.flowExpired)
	s.volumes.Sweep(limit, s.volumeExpired)
	s.rejected.Sweep(limit, func(r *request) bool { return r.deadline < s.now })
}

// flowExpired reports whether a flow's weight tag is too old to matter.
func (s *Scheduler) flowExpired(f *flow) bool {
	empty := len(f.queued) == 0 && f.emptySince < s.now && f.emptySince <= s.sweptAt
	return empty && s.sweptAt > f.lastSentAt+curvePoints*slowInterval
}

// volumeExpired reports whether a volume was idle at sweptAt and has not been used since.
func (s *Scheduler) volumeExpired(v *volume) bool {
	unused := v.openRequests == 0 && v.idleSince <= s.sweptAt && v.bucket.At <= s.sweptAt
	return unused && !v.bucket.IsBound(s.sweptAt) && s.volumeIdle(v, s.sweptAt)
}

// volumeIdle reports whether a new volume would have the same state: the bucket is full and the reservation tag is old.
func (s *Scheduler) volumeIdle(v *volume, at Micros) bool {
	if v.openRequests > 0 {
		return false
	}
	level := v.bucket.Level + v.limitRate()*float64(at-v.bucket.At)
	full := v.plan.Limit <= 0 || level >= v.plan.Burst/v.fronts
	rate := s.reservationRate(v)
	return full && (rate == 0 || v.reservationTag <= float64(at-second)-s.settings.MaxUnits/rate)
}
