package health

import (
	"slices"

	"otterturn/scheduler"
)

// endpointsChanged handles a change of the endpoint list. The list overrides all evidence.
func (m *Monitor) endpointsChanged(e EndpointsChanged) {
	listed := map[string]bool{}
	for _, endpoint := range e.Nodes {
		listed[endpoint.Node] = true
		m.updateEndpoint(endpoint)
	}
	if !e.Full {
		return
	}
	var removed []*node
	for _, n := range m.byName {
		if !listed[n.name] {
			removed = append(removed, n)
		}
	}
	slices.SortFunc(removed, byName)
	for _, n := range removed {
		m.remove(n)
	}
	m.rekey()
}

func (m *Monitor) updateEndpoint(endpoint scheduler.Endpoint) {
	n := m.byName[endpoint.Node]
	if endpoint.State == scheduler.Removed {
		if n != nil {
			m.remove(n)
		}
		return
	}
	if n == nil {
		m.insert(endpoint)
		return
	}
	if endpoint.StartedAt != n.start {
		n.start, n.encodedStart = endpoint.StartedAt, encodeStart(endpoint.StartedAt)
		n.outstanding, n.meanLatency, n.lastSuspected = 0, 0, never
		m.dropInvestigation(n)
	}
	if endpoint.State != n.state {
		n.state = endpoint.State
		m.dropInvestigation(n)
	}
	m.scheduleReview(n)
}

func (m *Monitor) insert(endpoint scheduler.Endpoint) {
	n := &node{
		name: endpoint.Node, key: NodeKey(endpoint.Node),
		start: endpoint.StartedAt, encodedStart: encodeStart(endpoint.StartedAt), state: endpoint.State,
		answeredAt: never, unansweredSince: never, lastSuspected: never,
	}
	m.byName[n.name] = n
	if other := m.byKey[n.key]; other != nil {
		n.keyCollision, other.keyCollision = true, true
		m.dropInvestigation(other)
		return
	}
	m.byKey[n.key] = n
}

// rekey rebuilds the index of nodes by key if keys collide: one of the colliding nodes may have been removed.
func (m *Monitor) rekey() {
	if len(m.byKey) == len(m.byName) {
		return
	}
	all := make([]*node, 0, len(m.byName))
	for _, n := range m.byName {
		all = append(all, n)
	}
	clear(m.byKey)
	slices.SortFunc(all, byName)
	for _, n := range all {
		n.keyCollision = false
		if other := m.byKey[n.key]; other != nil {
			n.keyCollision, other.keyCollision = true, true
			continue
		}
		m.byKey[n.key] = n
	}
}

func (m *Monitor) remove(n *node) {
	m.dropInvestigation(n)
	if n.investigation != nil && n.probe.running { // ProbeEnded will find no node
		n.investigation = nil
	}
	m.due.remove(n)
	delete(m.byName, n.name)
	if m.byKey[n.key] == n {
		delete(m.byKey, n.key)
	}
}

// dropInvestigation discards all evidence about a node. It answers a probe that the scheduler waits for as failed: the
// scheduler receives the same endpoint list. A running probe is kept, and its failure ignored.
func (m *Monitor) dropInvestigation(n *node) {
	if n.investigation == nil {
		return
	}
	if n.schedulerWaits {
		m.answerProbe(n, scheduler.HealthChecked{Node: n.name, Queue: -1})
	}
	if n.avoided {
		m.avoidedNodes--
	}
	runningProbe := n.probe
	n.investigation = nil
	if runningProbe.running {
		runningProbe.inconclusive, runningProbe.forScheduler = true, false
		n.investigate().probe = runningProbe
	}
	m.scheduleReview(n)
}
