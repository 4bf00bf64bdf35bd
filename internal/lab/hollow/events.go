package hollow

import (
	"otterturn/rules"
	"otterturn/rules/cold"
)

// warm is how long a fleet serves ahead of an event: each front meets most nodes in it.
const warm = 4 * second

// Event is a script that is played to a fleet that serves.
type Event struct {
	Name   string
	Span   rules.Micros // that is played from the event on
	What   string
	spares int          // nodes that come on the list
	plan   func(*World) // plans the steps, from warm on
}

// Events are all there are, the most telling first.
var Events = []Event{
	{Name: "ordinary", Span: 4 * second, What: "nothing happens", plan: func(*World) {}},
	{Name: "zone", Span: 12 * second, What: "a zone's nodes and fronts fall silent; the list does not tell", plan: zoneGone},
	{Name: "region", Span: 10 * second, What: "the regions don't hear each other for 6 s, and then do again", plan: regionCut},
	{Name: "front-restart", Span: 4 * second, What: "one front's process begins anew", plan: restartFronts(1)},
	{Name: "front-restart-5", Span: 4 * second, What: "five fronts' processes begin anew together", plan: restartFronts(5)},
	{Name: "start-all", Span: 8 * second, What: "all fronts' processes begin anew together", plan: restartFronts(1 << 30)},
	{Name: "node-restart", Span: 8 * second, What: "one node's process ends, and begins anew a second later", plan: restartNodes(1)},
	{Name: "node-restart-5", Span: 8 * second, What: "five nodes' processes do so together", plan: restartNodes(5)},
	{Name: "change", Span: 6 * second, What: "one entry of the list changes: a node drains", plan: changeList},
	{Name: "reload", Span: 8 * second, What: "all fronts ask for the whole list, as at SIGHUP", plan: reloadAll},
	{Name: "node", Span: 12 * second, What: "one node falls silent; the list does not tell", plan: nodeDies},
	{Name: "rack", Span: 10 * second, What: "a hundredth of the nodes, of one zone, fall silent", plan: rackDies},
	{Name: "primary", Span: 19 * second, What: "a node ends, and a successor of its data begins cold", spares: 1, plan: successor},
	{Name: "dealer", Span: 19 * second, What: "a node begins anew, and 3 s later the front that deals it out ends", plan: dealerDies},
}

// zoneNodes are the nodes of a zone, and zoneFronts its fronts.
func (w *World) zoneNodes(zone int) (nodes []int32) {
	for n := zone; n < w.set.Nodes; n += w.set.Zones {
		nodes = append(nodes, int32(n))
	}
	return nodes
}

func (w *World) zoneFronts(zone int) (fronts []*front) {
	for i := zone; i < w.set.Fronts; i += w.set.Zones {
		fronts = append(fronts, w.fronts[i])
	}
	return fronts
}

func zoneGone(w *World) {
	last := w.set.Zones - 1 // discovery stands in the first one
	w.At(warm, func(w *World) {
		w.Watch(w.zoneNodes(last)...)
		w.links.gone[last] = true
		for _, f := range w.zoneFronts(last) {
			f.stop()
		}
	})
}

func regionCut(w *World) {
	w.At(warm, func(w *World) {
		var far []int32
		for zone := range w.set.Zones {
			if w.links.regionOf(int32(zone)) > 0 {
				far = append(far, w.zoneNodes(zone)...)
			}
		}
		w.Watch(far...)
		w.watched.across = true
		w.links.regionsCut = true
	})
	w.At(warm+6*second, func(w *World) { w.links.regionsCut = false })
}

func restartFronts(many int) func(*World) {
	return func(w *World) {
		w.At(warm, func(w *World) {
			for i, f := range w.fronts {
				if i < many {
					f.stop()
				}
			}
			w.Expect()
			if err := w.startAll(); err != nil {
				panic(err) // the settings were good as the world began
			}
		})
	}
}

// firstNode is what scripts of one node are about.
const firstNode = 7

func nodeDies(w *World) {
	w.At(warm, func(w *World) {
		w.Watch(firstNode)
		w.nodes[firstNode].Mute = true
	})
}

func rackDies(w *World) {
	w.At(warm, func(w *World) {
		rack := w.zoneNodes(w.set.Zones - 1)[:max(1, w.set.Nodes/100)]
		w.Watch(rack...)
		for _, n := range rack {
			w.nodes[n].Mute = true
		}
	})
}

func restartNodes(many int) func(*World) {
	return func(w *World) {
		var nodes []int32
		for i := range int32(many) {
			nodes = append(nodes, firstNode+i)
		}
		w.At(warm, func(w *World) {
			w.Watch(nodes...)
			for _, n := range nodes {
				w.nodes[n].kill(w.now())
			}
		})
		w.At(warm+second, func(w *World) { w.restart(nodes...) })
	}
}

// restart has the processes of nodes begin anew, cold, and the list tell.
func (w *World) restart(nodes ...int32) {
	for _, n := range nodes {
		w.nodes[n].Restart(int64(w.now()))
		w.listed[n].Since = w.now()
	}
	w.discovery.publish(w.now(), nodes...)
	w.Expect()
}

func changeList(w *World) {
	w.At(warm, func(w *World) {
		w.listed[firstNode].State = rules.Draining
		w.discovery.publish(w.now(), firstNode)
		w.Expect()
	})
}

func reloadAll(w *World) {
	w.At(warm, func(w *World) {
		for _, f := range w.fronts {
			f.watch.reload(f, w.now())
		}
		w.Expect()
	})
}

func successor(w *World) {
	w.At(warm, func(w *World) {
		next := int32(w.set.Nodes)
		w.nodes[firstNode].kill(w.now())
		w.listed[firstNode].State = rules.Gone
		w.nodes[next].shard = w.nodes[firstNode].shard
		w.nodes[next].Restart(int64(w.now()))
		w.listed[next].Shard, w.listed[next].State, w.listed[next].Since = w.nodes[next].shard, rules.Running, w.now()
		w.discovery.publish(w.now(), firstNode, next)
		w.Watch(firstNode)
		w.Expect()
	})
}

func dealerDies(w *World) {
	restartNodes(1)(w)
	w.At(warm+4*second, func(w *World) {
		set := w.set.rules(0)
		c := cold.Figures[rules.Micros]{Hosts: set.Hosts, Span: set.FallSpan, Peers: true}
		dealer, _ := c.Dealer(w.listed[firstNode].Node, w.now())
		w.fronts[dealer].stop()
	})
}
