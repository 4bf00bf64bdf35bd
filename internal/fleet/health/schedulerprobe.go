package health

import "otterturn/scheduler"

// probeRequested handles the scheduler's request for a probe. It defers the probe of a node that is suspected or avoided;
// any other probe starts immediately.
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

// Queue lengths that AnswerProbe reports for a node that this front did not probe itself.
const (
	unknownQueue = -1
	// A node that answers probers again after it was silent has served no front of this zone in the meantime, so its
	// queue is empty. The scheduler counted the silence as latency; without a queue length it would estimate that every
	// request misses its deadline at this node.
	returnedQueue = 0
)

// returnedRecently reports whether the zone recently found a node reachable again. Its evidence then answers the probe
// that the scheduler requested.
func (m *Monitor) returnedRecently(n *node) bool {
	return n.returnAt == 0 && !n.suspected && m.now < n.avoidedUntil+m.config.EvidenceLifetime &&
		m.countOthers(n, Reachable) >= m.config.Quorum
}

func (m *Monitor) answerProbe(n *node, result scheduler.HealthChecked) {
	n.schedulerWaits = false
	m.actions = append(m.actions, AnswerProbe{result})
}

// serveScheduler answers or starts the probe that the scheduler waits for as soon as the state of the node permits.
func (m *Monitor) serveScheduler(n *node) (next scheduler.Micros) {
	returnDue := n.returnAt > 0 && m.now >= n.returnAt
	if returnDue {
		n.returnAt = 0
	}
	if !n.schedulerWaits {
		return forever
	}
	failedResult := scheduler.HealthChecked{Node: n.name, Queue: unknownQueue}
	reachedResult := scheduler.HealthChecked{Node: n.name, OK: true, Queue: returnedQueue}
	switch until := m.waitUntil(n); {
	case n.avoided && m.now >= n.schedulerWaitsSince+m.config.EvidenceLifetime: // the scheduler requests another probe afterwards
		m.answerProbe(n, failedResult)
	case n.avoided:
		return n.schedulerWaitsSince + m.config.EvidenceLifetime
	case n.answeredAt > n.schedulerWaitsSince || returnDue || m.returnedRecently(n):
		m.answerProbe(n, reachedResult)
	case n.returnAt > 0:
		return n.returnAt
	case n.probe.running && !n.probe.inconclusive:
		if m.now < until {
			return until
		}
		n.probe.forScheduler = true
	case n.probe.running:
		return forever // wait for its end, then start another one
	case m.now < until:
		return until
	default:
		m.startProbe(n)
		n.probe.forScheduler = true
		return m.expireProbe(n)
	}
	return forever
}

// waitUntil returns the time at which this front stops waiting for other fronts and probes for its scheduler: immediately if it
// expects no evidence from others, otherwise the later the lower its rank.
func (m *Monitor) waitUntil(n *node) scheduler.Micros {
	rankDelay := (float64(min(n.rank/m.config.Probers, maxRequestRounds)) + hashFraction(m.config.Self, n.key)) *
		float64(m.config.TakeoverAfter)
	until := never
	if n.outstanding > 0 && n.unansweredSince+m.stallTimeout(n) > m.now { // it may be suspected soon
		until = min(n.unansweredSince+m.stallTimeout(n), n.schedulerWaitsSince+m.config.SuspectAfter)
	}
	if n.suspected || m.countOthers(n, Silent) > 0 {
		until = max(until, n.schedulerWaitsSince+m.config.TakeoverAfter+scheduler.Micros(rankDelay))
	}
	if n.avoidedUntil > n.schedulerWaitsSince { // the evidence for avoiding the node has expired at all fronts
		until = max(until, n.avoidedUntil+scheduler.Micros(rankDelay))
	}
	return until
}
