package health

// discountPause looks whether this front was paused: its alarm is late. Then probes that are out and attempts that stall say
// nothing, as it was this front that did not look. Lifeguard (Dadgar, Phillips and Currey 2017) doubts itself alike.
func (m *Monitor) discountPause() {
	if m.timerAt >= forever || m.now-m.timerAt <= m.config.pausedAfter() {
		return
	}
	for _, n := range m.due {
		if n.outstanding > 0 {
			n.owingSince = m.now
		}
		if n.investigation != nil && n.probe.running {
			n.probe.inconclusive = true
		}
	}
	for _, n := range m.due { // those whose times have changed
		m.scheduleReview(n)
	}
}
