package scheduler

// nodeSilent handles the report that other fronts found a node silent. Nothing is sent to it until it answers a health
// check, which is due at once. A later answer to this front and a newer start in the endpoint list take precedence. The
// next answer may come from a new process, which is in slow start before the list says so. This front does not know
// whether the node refused connections or was silent, so it treats the node as after a broken connection. The report is
// ignored if health checks are not allowed, as nothing would end the silence.
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
	n.lastSend = max(n.lastSend, e.ObservedAt) // the longer the silence, the rarer the checks, even if this front sent nothing
	s.resetSlowStart(n)
}
