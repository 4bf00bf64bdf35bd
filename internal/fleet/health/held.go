package health

import "otterturn/scheduler"

// probeWanted holds back what the scheduler wants of a node that is suspected or avoided; any other probe goes out at
// once.
func (m *Monitor) probeWanted(e ProbeWanted) {
	n := m.byName[e.Node]
	if n == nil || !n.running() {
		if !m.passed[e.Node] {
			m.passed[e.Node] = true
			m.counts.Probes++
			m.out = append(m.out, StartProbe(e))
		}
		return
	}
	n.inTrouble()
	if !n.held {
		n.held, n.heldAt = true, m.now
	}
	m.touch(n)
}

// Queues that ProbeAnswered tells of a node that was not probed by this front.
const (
	unknownQueue = -1
	// A node that was silent and answers probers again has served nobody of this zone meanwhile. The scheduler took its
	// silence for latency, and with no word of the queue would find all requests too late for it.
	returnedQueue = 0
)

// returnedLately tells whether the zone found a node reachable again not long ago: what it saw answers this front too.
func (m *Monitor) returnedLately(n *node) bool {
	return n.returnAt == 0 && !n.suspecting && m.now < n.ended+m.config.EvidenceLife && m.others(n, Reachable) >= m.config.Quorum
}

func (m *Monitor) answer(n *node, result scheduler.HealthChecked) {
	n.held = false
	m.out = append(m.out, ProbeAnswered{result})
}

// release answers the probe that the scheduler waits for, or starts it, as soon as may be.
func (m *Monitor) release(n *node) (next scheduler.Micros) {
	returned := n.returnAt > 0 && m.now >= n.returnAt
	if returned {
		n.returnAt = 0
	}
	if !n.held {
		return forever
	}
	unknown := scheduler.HealthChecked{Node: n.name, Queue: unknownQueue}
	reached := scheduler.HealthChecked{Node: n.name, OK: true, Queue: returnedQueue}
	switch until := m.waitsUntil(n); {
	case n.avoided && m.now >= n.heldAt+m.config.EvidenceLife: // it asks again
		m.answer(n, unknown)
	case n.avoided:
		return n.heldAt + m.config.EvidenceLife
	case n.answered > n.heldAt || returned || m.returnedLately(n):
		m.answer(n, reached)
	case n.returnAt > 0:
		return n.returnAt
	case n.probe.out && !n.probe.void:
		if m.now < until {
			return until
		}
		n.probe.wanted = true
	case n.probe.out:
		return forever // its end is awaited, then it starts anew
	case m.now < until:
		return until
	default:
		m.startProbe(n)
		n.probe.wanted = true
		return m.lookLate(n)
	}
	return forever
}

// waitsUntil is when this front stops waiting for others and probes for its scheduler: at once where there is nothing
// to be waited for, else the later the lower it ranks.
func (m *Monitor) waitsUntil(n *node) scheduler.Micros {
	turn := (float64(min(n.rank/m.config.Probers, mostRounds)) + share(m.config.Self, n.key)) * float64(m.config.TakeoverAfter)
	until := never
	if n.out > 0 && n.owing+m.stallAfter(n) > m.now { // it may be suspected soon
		until = min(n.owing+m.stallAfter(n), n.heldAt+m.config.SuspectAfter)
	}
	if n.suspecting || m.others(n, Silent) > 0 {
		until = max(until, n.heldAt+m.config.TakeoverAfter+scheduler.Micros(turn))
	}
	if n.ended > n.heldAt { // the evidence on which it was avoided has faded for all fronts
		until = max(until, n.ended+scheduler.Micros(turn))
	}
	return until
}
