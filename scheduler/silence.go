package scheduler

// nodeSilent takes in that other fronts found a node silent: nothing is sent to it until a health check is answered, which is
// wanted at once. A younger answer to this front, and the endpoint list, count for more. What answers next may be a new
// process, which is in slow start before the list says so: other fronts saw whether it was refused or silent, this one did
// not, so it is guarded as after a broken connection. Without health checks nothing would end the silence.
func (s *Scheduler) nodeSilent(e NodeSilent) {
	n := s.nodesByName[e.Node]
	if n == nil || !s.settings.HealthChecks || n.StartedAt != e.StartedAt || n.silentSince > 0 {
		return
	}
	if n.LastAnswer >= e.ObservedAt || n.lastCheckOK >= e.ObservedAt {
		return
	}
	s.work.Queue(&n.work)
	n.silentSince = s.now
	n.SuspectedRestart = s.now
	n.nextCheck = s.now
	n.lastSend = max(n.lastSend, e.ObservedAt) // checks go by how long the silence lasts, also where this front sent nothing
	s.resetSlowStart(n)
}
