package hollow

import (
	"encoding/json"
	"fmt"
	"slices"

	"otterturn/scheduler"
)

const (
	firstCallLines = 30          // cost of a watch's first call in addition to its entries, in lines (docs/fleet.md)
	maxCallWait    = 2 * second  // a call that waited longer is dropped; discovery still spends the time for its answer
	listCallBytes  = 120 + 2*130 // request line and headers of a call and its answer, and the headers of IP and TCP
)

// listUpdate is a change of the endpoint list, or the full list, as in an answer of discovery.
type listUpdate struct {
	full    bool
	entries []scheduler.Endpoint
	bytes   int // size of the answer's body
}

// entry is a node's entry in discovery's answer, see protocol.ParseList.
type entry struct {
	Host   string `json:"host"`
	Dial   string `json:"dial"`
	Site   string `json:"site"`
	Health string `json:"health"`
	Block  int    `json:"block"`
	BornMs int64  `json:"born_ms"`
}

type listAnswer struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// discovery models the service that all fronts call. It serves calls in their order, at up to Settings.DiscoveryLines
// lines per second.
type discovery struct {
	sender
	version          int64
	changes          []change
	cachedFullUpdate *listUpdate     // full list at this version, nil if not encoded yet
	heldCalls        []heldCall      // by front
	waitingCalls     []message       // calls to be served, in their order
	pendingAnswers   []pendingAnswer // answers to be sent, in their order
	freeAt           scheduler.Micros
	counts           discoveryCounts
}

// heldCall is a front's call that discovery holds until the list changes.
type heldCall struct {
	message
	active bool
}

type pendingAnswer struct {
	at     scheduler.Micros
	call   message
	update *listUpdate
}

// change is one version of the list, in which one node's entry changed.
type change struct {
	version int64
	node    int32
}

func newDiscovery(s sender) *discovery {
	return &discovery{sender: s, version: 1, heldCalls: make([]heldCall, s.world.settings.Fronts)}
}

// publish announces the current entries of nodes, each as a new version of the list. It runs between two windows, at now.
func (d *discovery) publish(now scheduler.Micros, nodes ...int32) {
	for _, n := range nodes {
		d.version++
		d.changes = append(d.changes, change{d.version, n})
	}
	d.cachedFullUpdate = nil
	for i := range d.heldCalls {
		if h := &d.heldCalls[i]; h.active {
			h.active, h.at, h.firstCall = false, now, false
			d.counts.requestedLines += float64(len(nodes))
			d.waitingCalls = append(d.waitingCalls, h.message)
		}
	}
}

func (d *discovery) handle(end scheduler.Micros, in []message) {
	for i := range in {
		d.counts.calls++
		d.handleCall(&in[i])
	}
	d.answerHeldCalls(end)
	d.serveCalls(end)
	d.sendAnswers(end)
}

// handleCall holds a call while the list has no change for it, and otherwise queues it.
func (d *discovery) handleCall(m *message) {
	if m.firstCall || m.maxHold == 0 || m.version != d.version {
		d.counts.requestedLines += d.answerLines(m, d.updateSince(m.version))
		d.waitingCalls = append(d.waitingCalls, *m)
		return
	}
	d.hold(*m)
}

func (d *discovery) hold(m message) {
	m.at += m.maxHold
	d.heldCalls[m.from] = heldCall{m, true}
}

// answerHeldCalls sends an empty answer to each held call whose hold time is over.
func (d *discovery) answerHeldCalls(end scheduler.Micros) {
	for i := range d.heldCalls {
		if h := &d.heldCalls[i]; h.active && h.at < end {
			h.active = false
			d.sendAnswer(end-1, &h.message, &listUpdate{})
		}
	}
}

// serveCalls serves the queued calls one after the other.
func (d *discovery) serveCalls(end scheduler.Micros) {
	done := 0
	for ; done < len(d.waitingCalls); done++ {
		m := &d.waitingCalls[done]
		began := max(m.at, d.freeAt)
		if began >= end {
			break
		}
		n := d.updateSince(m.version)
		lines := d.answerLines(m, n)
		duration := scheduler.Micros(lines / d.world.settings.DiscoveryLines * float64(second))
		if began-m.at > maxCallWait {
			d.freeAt = min(began, m.at+maxCallWait) + duration
			d.counts.droppedCalls++
			continue
		}
		d.counts.answeredLines += lines
		d.freeAt = began + duration
		if m.maxHold > 0 && len(n.entries) == 0 {
			d.hold(*m)
			continue
		}
		d.pendingAnswers = append(d.pendingAnswers, pendingAnswer{d.freeAt, *m, n})
	}
	d.waitingCalls = slices.Delete(d.waitingCalls, 0, done)
}

// sendAnswers sends the answers that are ready before end.
func (d *discovery) sendAnswers(end scheduler.Micros) {
	done := 0
	for ; done < len(d.pendingAnswers) && d.pendingAnswers[done].at < end; done++ {
		r := &d.pendingAnswers[done]
		d.sendAnswer(max(r.at, end-tick), &r.call, r.update)
	}
	d.pendingAnswers = slices.Delete(d.pendingAnswers, 0, done)
}

func (d *discovery) answerLines(m *message, n *listUpdate) float64 {
	lines := float64(len(n.entries))
	if m.firstCall {
		lines += firstCallLines
	}
	return lines
}

func (d *discovery) sendAnswer(at scheduler.Micros, m *message, n *listUpdate) {
	d.send(at, message{to: m.from, kind: kindListAnswer, number: m.number, version: d.version, update: n})
}

// updateSince returns the entries that changed after a version.
func (d *discovery) updateSince(version int64) *listUpdate {
	if version == fullList {
		return d.fullUpdate()
	}
	var nodes []int32
	for _, c := range d.changes {
		if c.version > version {
			nodes = append(nodes, c.node)
		}
	}
	return d.encode(false, nodes)
}

func (d *discovery) fullUpdate() *listUpdate {
	if d.cachedFullUpdate == nil {
		var nodes []int32
		for i, l := range d.world.endpoints {
			if l.State != scheduler.Removed {
				nodes = append(nodes, int32(i))
			}
		}
		d.cachedFullUpdate = d.encode(true, nodes)
	}
	return d.cachedFullUpdate
}

var healthNames = map[scheduler.NodeState]string{scheduler.Running: "up", scheduler.Draining: "draining", scheduler.Removed: "removed"}

func (d *discovery) encode(full bool, nodes []int32) *listUpdate {
	update := &listUpdate{full: full}
	body := listAnswer{Seq: d.version, Whole: full}
	for _, n := range nodes {
		l := d.world.endpoints[n]
		update.entries = append(update.entries, l)
		body.Hosts = append(body.Hosts, entry{
			Host: l.Node, Dial: fmt.Sprintf("10.%d.%d.%d:7000", l.Zone, n/250, n%250),
			Site: fmt.Sprintf("region-%d/zone-%02d", d.world.links.regionOfZone(int32(l.Zone)), l.Zone), Health: healthNames[l.State],
			Block: l.Shard, BornMs: int64(l.StartedAt / millisecond),
		})
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the body holds only numbers and strings
	}
	update.bytes = len(text)
	return update
}
