package health

import "otterturn/scheduler"

// probeRequested holds back what the scheduler wants of a node that is suspected or avoided; any other probe goes out at
// once.
func (m *Monitor) probeRequested(e ProbeRequested) {
	n := m.byName[e.Node]
	if n == nil || !n.running() {
		if !m.unknownProbes[e.Node] {
			m.unknownProbes[e.Node] = true
			m.counts.Probes++
			m.actions = append(m.actions, StartProbe(e))
		}
		return
	}
	n.investigate()
	if !n.schedulerWaits {
		n.schedulerWaits, n.schedulerWaitsSince = true, m.now
	}
	m.scheduleReview(n)
}

// Queues that ProbeAnswered tells of a node that was not probed by this front.
const (
	unknownQueue = -1
	// A node that was silent and answers probers again has served nobody of this zone meanwhile. The scheduler took its
	// silence for latency, and with no word of the queue would find all requests too late for it.
	returnedQueue = 0
)

// returnedRecently tells whether the zone found a node reachable again not long ago: what it saw answers this front too.
func (m *Monitor) returnedRecently(n *node) bool {
	return n.returnAt == 0 && !n.suspecting && m.now < n.avoidedUntil+m.config.EvidenceLifetime && m.countOthers(n, Reachable) >= m.config.Quorum
}

func (m *Monitor) answerProbe(n *node, result scheduler.HealthChecked) {
	n.schedulerWaits = false
	m.actions = append(m.actions, AnswerProbe{result})
}

// serveScheduler answers the probe that the scheduler waits for, or starts it, as soon as may be.
func (m *Monitor) serveScheduler(n *node) (next scheduler.Micros) {
	returned := n.returnAt > 0 && m.now >= n.returnAt
	if returned {
		n.returnAt = 0
	}
	if !n.schedulerWaits {
		return forever
	}
	unknown := scheduler.HealthChecked{Node: n.name, Queue: unknownQueue}
	reached := scheduler.HealthChecked{Node: n.name, OK: true, Queue: returnedQueue}
	switch until := m.waitUntil(n); {
	case n.avoided && m.now >= n.schedulerWaitsSince+m.config.EvidenceLifetime: // it asks again
		m.answerProbe(n, unknown)
	case n.avoided:
		return n.schedulerWaitsSince + m.config.EvidenceLifetime
	case n.answered > n.schedulerWaitsSince || returned || m.returnedRecently(n):
		m.answerProbe(n, reached)
	case n.returnAt > 0:
		return n.returnAt
	case n.probe.running && !n.probe.inconclusive:
		if m.now < until {
			return until
		}
		n.probe.forScheduler = true
	case n.probe.running:
		return forever // its end is awaited, then it starts anew
	case m.now < until:
		return until
	default:
		m.startProbe(n)
		n.probe.forScheduler = true
		return m.expireProbe(n)
	}
	return forever
}

// waitUntil is when this front stops waiting for others and probes for its scheduler: at once where there is nothing
// to be waited for, else the later the lower it ranks.
func (m *Monitor) waitUntil(n *node) scheduler.Micros {
	turn := (float64(min(n.rank/m.config.Probers, maxRequestRounds)) + share(m.config.Self, n.key)) * float64(m.config.TakeoverAfter)
	until := never
	if n.outstanding > 0 && n.owingSince+m.stallTimeout(n) > m.now { // it may be suspected soon
		until = min(n.owingSince+m.stallTimeout(n), n.schedulerWaitsSince+m.config.SuspectAfter)
	}
	if n.suspecting || m.countOthers(n, Silent) > 0 {
		until = max(until, n.schedulerWaitsSince+m.config.TakeoverAfter+scheduler.Micros(turn))
	}
	if n.avoidedUntil > n.schedulerWaitsSince { // the evidence on which it was avoided has faded for all fronts
		until = max(until, n.avoidedUntil+scheduler.Micros(turn))
	}
	return until
}
