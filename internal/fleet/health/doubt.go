package health

// doubt looks whether this front was paused: its alarm is late. Then probes that are out and attempts that stall say
// nothing, as it was this front that did not look. Lifeguard (Dadgar, Phillips and Currey 2017) doubts itself alike.
func (m *Monitor) doubt() {
	if m.alarm >= forever || m.now-m.alarm <= m.config.pausedAfter() {
		return
	}
	for _, n := range m.due {
		if n.out > 0 {
			n.owing = m.now
		}
		if n.trouble != nil && n.probe.out {
			n.probe.void = true
		}
	}
	for _, n := range m.due { // those whose times have changed
		m.touch(n)
	}
}
