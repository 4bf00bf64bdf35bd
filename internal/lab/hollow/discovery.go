package hollow

import (
	"encoding/json"
	"fmt"
	"slices"

	"otterturn/scheduler"
)

const (
	callLines     = 30          // cost of a watch's first call in addition to its entries, in lines (docs/fleet.md)
	callPatience  = 2 * second  // a call that waited longer is dropped; discovery still spends the time for its answer
	listCallBytes = 120 + 2*130 // request line and headers of a call and its answer, and the headers of IP and TCP
)

// news is a change of the endpoint list, or the full list, as in an answer of discovery.
type news struct {
	whole   bool
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

type answer struct {
	Seq   int64   `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// discovery models the service that all fronts call. It serves calls in their order, at up to Settings.DiscoveryLines
// lines per second.
type discovery struct {
	sender
	version int64
	changes []change
	whole   *news     // full list at this version, nil until it is needed
	held    []held    // by front
	turn    []message // calls to be served, in their order
	ready   []ready   // answers to be sent, in their order
	freeAt  scheduler.Micros
	counts  discoveryCounts
}

// held is a front's call that discovery holds until the list changes.
type held struct {
	message
	is bool
}

type ready struct {
	at   scheduler.Micros
	call message
	news *news
}

// change is one version of the list, in which one node's entry changed.
type change struct {
	version int64
	node    int32
}

func newDiscovery(s sender) *discovery {
	return &discovery{sender: s, version: 1, held: make([]held, s.world.set.Fronts)}
}

// publish announces the current entries of nodes, each as a new version of the list. It runs between two windows, at now.
func (d *discovery) publish(now scheduler.Micros, nodes ...int32) {
	for _, n := range nodes {
		d.version++
		d.changes = append(d.changes, change{d.version, n})
	}
	d.whole = nil
	for i := range d.held {
		if h := &d.held[i]; h.is {
			h.is, h.at, h.opens = false, now, false
			d.counts.asked += float64(len(nodes))
			d.turn = append(d.turn, h.message)
		}
	}
}

func (d *discovery) handle(end scheduler.Micros, in []message) {
	for i := range in {
		d.counts.calls++
		d.call(&in[i])
	}
	d.release(end)
	d.work(end)
	d.deliver(end)
}

// call holds a call while the list has no change for it, and otherwise queues it.
func (d *discovery) call(m *message) {
	if m.opens || m.hold == 0 || m.version != d.version {
		d.counts.asked += d.lines(m, d.news(m.version))
		d.turn = append(d.turn, *m)
		return
	}
	d.hold(*m)
}

func (d *discovery) hold(m message) {
	m.at += m.hold
	d.held[m.from] = held{m, true}
}

// release sends an empty answer to each held call whose hold time is over.
func (d *discovery) release(end scheduler.Micros) {
	for i := range d.held {
		if h := &d.held[i]; h.is && h.at < end {
			h.is = false
			d.answer(end-1, &h.message, &news{})
		}
	}
}

// work serves the queued calls one after the other.
func (d *discovery) work(end scheduler.Micros) {
	done := 0
	for ; done < len(d.turn); done++ {
		m := &d.turn[done]
		began := max(m.at, d.freeAt)
		if began >= end {
			break
		}
		n := d.news(m.version)
		lines := d.lines(m, n)
		took := scheduler.Micros(lines / d.world.set.DiscoveryLines * float64(second))
		if began-m.at > callPatience {
			d.freeAt = min(began, m.at+callPatience) + took
			d.counts.dropped++
			continue
		}
		d.counts.lines += lines
		d.freeAt = began + took
		if m.hold > 0 && len(n.entries) == 0 {
			d.hold(*m)
			continue
		}
		d.ready = append(d.ready, ready{d.freeAt, *m, n})
	}
	d.turn = slices.Delete(d.turn, 0, done)
}

// deliver sends the answers that are ready before end.
func (d *discovery) deliver(end scheduler.Micros) {
	done := 0
	for ; done < len(d.ready) && d.ready[done].at < end; done++ {
		r := &d.ready[done]
		d.answer(max(r.at, end-tick), &r.call, r.news)
	}
	d.ready = slices.Delete(d.ready, 0, done)
}

func (d *discovery) lines(m *message, n *news) float64 {
	lines := float64(len(n.entries))
	if m.opens {
		lines += callLines
	}
	return lines
}

func (d *discovery) answer(at scheduler.Micros, m *message, n *news) {
	d.send(at, message{to: m.from, kind: kindListAnswer, number: m.number, version: d.version, news: n})
}

// news returns the entries that changed after a version.
func (d *discovery) news(version int64) *news {
	if version == wholeList {
		return d.wholeNews()
	}
	var nodes []int32
	for _, c := range d.changes {
		if c.version > version {
			nodes = append(nodes, c.node)
		}
	}
	return d.encode(false, nodes)
}

func (d *discovery) wholeNews() *news {
	if d.whole == nil {
		var nodes []int32
		for i, l := range d.world.listed {
			if l.State != scheduler.Removed {
				nodes = append(nodes, int32(i))
			}
		}
		d.whole = d.encode(true, nodes)
	}
	return d.whole
}

var healths = map[scheduler.NodeState]string{scheduler.Running: "up", scheduler.Draining: "draining", scheduler.Removed: "removed"}

func (d *discovery) encode(whole bool, nodes []int32) *news {
	out := &news{whole: whole}
	body := answer{Seq: d.version, Whole: whole}
	for _, n := range nodes {
		l := d.world.listed[n]
		out.entries = append(out.entries, l)
		body.Hosts = append(body.Hosts, entry{
			Host: l.Node, Dial: fmt.Sprintf("10.%d.%d.%d:7000", l.Zone, n/250, n%250),
			Site: fmt.Sprintf("region-%d/zone-%02d", d.world.links.regionOf(int32(l.Zone)), l.Zone), Health: healths[l.State],
			Block: l.Shard, BornMs: int64(l.StartedAt / millisecond),
		})
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // cannot happen: the body holds only numbers and strings
	}
	out.bytes = len(text)
	return out
}
