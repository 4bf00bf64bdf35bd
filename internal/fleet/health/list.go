package health

import (
	"slices"

	"otterturn/scheduler"
)

// endpointsChanged handles a change of the endpoint list. The list overrides all evidence.
func (m *Monitor) endpointsChanged(e EndpointsChanged) {
	named := map[string]bool{}
	for _, l := range e.Nodes {
		named[l.Node] = true
		m.updateEndpoint(l)
	}
	if !e.Full {
		return
	}
	var gone []*node
	for _, n := range m.byName {
		if !named[n.name] {
			gone = append(gone, n)
		}
	}
	slices.SortFunc(gone, byName)
	for _, n := range gone {
		m.remove(n)
	}
	m.rekey()
}

func (m *Monitor) updateEndpoint(l scheduler.Endpoint) {
	n := m.byName[l.Node]
	if l.State == scheduler.Removed {
		if n != nil {
			m.remove(n)
		}
		return
	}
	if n == nil {
		m.insert(l)
		return
	}
	if l.StartedAt != n.start {
		n.start, n.encodedStart = l.StartedAt, wireSince(l.StartedAt)
		n.outstanding, n.usualLatency, n.lastSuspected = 0, 0, never
		m.dropInvestigation(n)
	}
	if l.State != n.state {
		n.state = l.State
		m.dropInvestigation(n)
	}
	m.scheduleReview(n)
}

func (m *Monitor) insert(l scheduler.Endpoint) {
	n := &node{
		name: l.Node, key: NodeKey(l.Node), start: l.StartedAt, encodedStart: wireSince(l.StartedAt), state: l.State,
		answered: never, owingSince: never, lastSuspected: never,
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
	out := n.probe
	n.investigation = nil
	if out.running {
		out.inconclusive, out.forScheduler = true, false
		n.investigate().probe = out
	}
	m.scheduleReview(n)
}
