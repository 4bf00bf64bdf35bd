package health

import (
	"slices"

	"otterturn/scheduler"
)

// list takes in news of the node list. It counts for more than all evidence.
func (m *Monitor) list(e NodeList) {
	named := map[string]bool{}
	for _, l := range e.Nodes {
		named[l.Node] = true
		m.listed(l)
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

func (m *Monitor) listed(l scheduler.Endpoint) {
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
		n.start, n.wire = l.StartedAt, wireSince(l.StartedAt)
		n.out, n.usual, n.raised = 0, 0, never
		m.clear(n)
	}
	if l.State != n.state {
		n.state = l.State
		m.clear(n)
	}
	m.touch(n)
}

func (m *Monitor) insert(l scheduler.Endpoint) {
	n := &node{
		name: l.Node, key: NodeKey(l.Node), start: l.StartedAt, wire: wireSince(l.StartedAt), state: l.State,
		answered: never, owing: never, raised: never,
	}
	m.byName[n.name] = n
	if other := m.byKey[n.key]; other != nil {
		n.alone, other.alone = true, true
		m.clear(other)
		return
	}
	m.byKey[n.key] = n
}

// rekey finds nodes by their keys anew: of two with the same one may have gone.
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
		n.alone = false
		if other := m.byKey[n.key]; other != nil {
			n.alone, other.alone = true, true
			continue
		}
		m.byKey[n.key] = n
	}
}

func (m *Monitor) remove(n *node) {
	m.clear(n)
	if n.trouble != nil && n.probe.out { // its end finds no node
		n.trouble = nil
	}
	m.due.remove(n)
	delete(m.byName, n.name)
	if m.byKey[n.key] == n {
		delete(m.byKey, n.key)
	}
}

// clear forgets what was found out about a node. A probe that the scheduler waits for is answered as failed: what the
// list says has come to the scheduler as well.
func (m *Monitor) clear(n *node) {
	if n.trouble == nil {
		return
	}
	if n.held {
		m.answer(n, scheduler.HealthChecked{Node: n.name, Queue: -1})
	}
	if n.avoided {
		m.condemned--
	}
	out := n.probe
	n.trouble = nil
	if out.out {
		out.void, out.wanted = true, false
		n.inTrouble().probe = out
	}
	m.touch(n)
}
