package health

// discountPause detects from a late timer that this front was paused. Running probes and stalled attempts are then no
// evidence of a silent node, because this front may not have read the answers yet. Lifeguard (Dadgar, Phillips and Currey
// 2017) takes its own delays into account in a similar way.
func (m *Monitor) discountPause() {
	if m.timerAt >= forever || m.now-m.timerAt <= m.config.pausedAfter() {
		return
	}
	for _, n := range m.due {
		if n.outstanding > 0 {
			n.unansweredSince = m.now
		}
		if n.investigation != nil && n.probe.running {
			n.probe.inconclusive = true
		}
	}
	for _, n := range m.due { // the loop above changed their times
		m.scheduleReview(n)
	}
}
