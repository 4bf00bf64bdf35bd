package hollow

import (
	"otterturn/scheduler"
	"otterturn/scheduler/slowstart"
)

// Event is a script that runs on a serving fleet, phase by phase.
type Event struct {
	Name          string
	Phases        []Phase
	AllSizes      bool // run at each size; other events run at small sizes, and their values at the largest are extrapolated
	IgnoresHealth bool // does not depend on shared node health: run once if both variants are requested
	spareNodes    int  // nodes that the script adds to the endpoint list
}

// Phase is a part of a script that is measured separately.
type Phase struct {
	Name     string
	What     string
	Duration scheduler.Micros
	begin    func(*World) // runs at the start of the phase
}

// Events lists all events, the most informative ones first.
var Events = []Event{
	{Name: "ordinary", AllSizes: true, Phases: []Phase{{"ordinary", "nothing happens", 3 * second, func(*World) {}}}},
	{Name: "zone", AllSizes: true, Phases: []Phase{
		{"zone", "a zone's nodes and fronts become silent; the endpoint list does not change", 12 * second, silenceZone},
	}},
	{Name: "region", Phases: []Phase{
		{"region", "the regions are cut off from each other", 6 * second, separateRegions},
		{"healed", "the regions are connected again", 4 * second, func(w *World) { w.links.setRegionsCut(false) }},
	}},
	{Name: "lists", IgnoresHealth: true, Phases: []Phase{
		{"change", "one entry of the list changes: a node drains", 3 * second, drainNode},
		{"front-restart", "one front's process restarts", 4 * second, restartFronts(1)},
		{"front-restart-5", "five fronts' processes restart at the same time", 4 * second, restartFronts(5)},
		{"start-all", "all fronts' processes restart at the same time", 7 * second, restartFronts(1 << 30)},
		{"reload", "all fronts request the full list, as after SIGHUP", 8 * second, reloadLists},
	}},
	{Name: "node", Phases: []Phase{{"node", "one node becomes silent; the endpoint list does not change", 12 * second, silenceNode}}},
	{Name: "rack", Phases: []Phase{{"rack", "one percent of the nodes, all in one zone, become silent", 10 * second, silenceRack}}},
	{Name: "node-restart", Phases: []Phase{
		{"node-restart", "one node's process ends and restarts a second later", 8 * second, restartNodes(1)},
	}},
	{Name: "node-restart-5", Phases: []Phase{
		{"node-restart-5", "five nodes' processes end and restart a second later", 8 * second, restartNodes(5)},
	}},
	{Name: "primary", spareNodes: 1, Phases: []Phase{
		{"primary", "a node ends, and another one takes over its data as a cold node", 12 * second, replacePrimary},
	}},
	{Name: "granter", Phases: []Phase{
		{"granter", "a node restarts, and 3 s later the front that grants its capacity ends", 14 * second, stopGranter},
	}},
}

// zoneNodes returns the nodes of a zone.
func (w *World) zoneNodes(zone int) (nodes []int32) {
	for n := zone; n < w.settings.Nodes; n += w.settings.Zones {
		nodes = append(nodes, int32(n))
	}
	return nodes
}

// zoneFronts returns the fronts of a zone.
func (w *World) zoneFronts(zone int) (fronts []*front) {
	for i := zone; i < w.settings.Fronts; i += w.settings.Zones {
		fronts = append(fronts, w.fronts[i])
	}
	return fronts
}

func silenceZone(w *World) {
	last := w.settings.Zones - 1 // not the first one, in which discovery is
	w.Watch(w.zoneNodes(last)...)
	w.links.isolateZone(last)
	for _, f := range w.zoneFronts(last) {
		f.stop()
	}
}

func separateRegions(w *World) {
	var far []int32
	for zone := range w.settings.Zones {
		if w.links.regionOfZone(int32(zone)) > 0 {
			far = append(far, w.zoneNodes(zone)...)
		}
	}
	w.Watch(far...)
	w.watched.otherRegionOnly = true
	w.links.setRegionsCut(true)
}

func restartFronts(count int) func(*World) {
	return func(w *World) {
		for i, f := range w.fronts {
			if i < count {
				f.stop()
			}
		}
		w.ExpectList()
		if err := w.startAll(); err != nil {
			panic(err) // cannot happen: New accepted the same settings
		}
	}
}

// firstNode is the node that scripts of one node affect, and the first one of scripts of several nodes.
const firstNode = 7

func silenceNode(w *World) {
	w.Watch(firstNode)
	w.nodes[firstNode].Unresponsive = true
}

func silenceRack(w *World) {
	rack := w.zoneNodes(w.settings.Zones - 1)[:max(1, w.settings.Nodes/100)]
	w.Watch(rack...)
	for _, n := range rack {
		w.nodes[n].Unresponsive = true
	}
}

func restartNodes(count int) func(*World) {
	return func(w *World) {
		var nodes []int32
		for i := range int32(count) {
			nodes = append(nodes, firstNode+i)
		}
		w.Watch(nodes...)
		for _, n := range nodes {
			w.nodes[n].kill(w.now())
		}
		w.After(second, func(w *World) { w.restart(nodes...) })
	}
}

// restart restarts the processes of nodes, which are cold then, and publishes their new start times.
func (w *World) restart(nodes ...int32) {
	for _, n := range nodes {
		w.nodes[n].Restart(int64(w.now()))
		w.endpoints[n].StartedAt = w.now()
	}
	w.discovery.publish(w.now(), nodes...)
	w.ExpectList()
}

func drainNode(w *World) {
	w.endpoints[firstNode].State = scheduler.Draining
	w.discovery.publish(w.now(), firstNode)
	w.ExpectList()
}

func reloadLists(w *World) {
	for _, f := range w.fronts {
		f.watch.reload(f, w.now())
	}
	w.ExpectList()
}

func replacePrimary(w *World) {
	replacement := int32(w.settings.Nodes)
	w.nodes[firstNode].kill(w.now())
	w.endpoints[firstNode].State = scheduler.Removed
	w.nodes[replacement].Restart(int64(w.now()))
	l := &w.endpoints[replacement]
	l.Shard, l.State, l.StartedAt = w.nodes[firstNode].shard, scheduler.Running, w.now()
	w.Watch(firstNode)
	w.discovery.publish(w.now(), firstNode, replacement)
	w.ExpectList()
}

func stopGranter(w *World) {
	restartNodes(1)(w)
	w.After(4*second, func(w *World) {
		set := w.settings.schedulerSettings(0)
		c := slowstart.Config[scheduler.Micros]{Fronts: set.Fronts, OverloadSpan: set.OverloadSpan, PeerMessages: true}
		granter, _ := c.Granter(w.endpoints[firstNode].Node, w.now())
		w.fronts[granter].stop()
	})
}
