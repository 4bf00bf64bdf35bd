package hollow

import (
	"slices"
	"sync"
	"time"

	"otterturn/internal/limits"
	"otterturn/scheduler"
)

// actor is a front, a node or the discovery service.
type actor interface {
	// handle processes a window and the messages that arrive in it, which are in order. The window ends right before end.
	handle(end scheduler.Micros, in []message)
}

// scriptStep is a step of a script. It runs between two windows.
type scriptStep struct {
	at  scheduler.Micros
	run func(*World)
}

// World is a fleet in virtual time.
type World struct {
	settings  Settings
	limits    limits.Limits
	links     links
	fronts    []*front
	nodes     []*node
	discovery *discovery
	endpoints []scheduler.Endpoint // the endpoint list at discovery, by number of the node

	actors    []actor
	mailboxes []mailbox
	outboxes  []outbox        // by worker of the sender
	busy      []time.Duration // wall-clock time of the actors' work, by worker
	script    []scriptStep
	window    int64
	meter     meter
	watched   watched
}

// New returns a fleet in which every front has just started with the full endpoint list. spareNodes is the number of nodes
// in addition to those of the settings; they are not on the list yet.
func New(settings Settings, spareNodes int) (*World, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	w := &World{settings: settings, limits: settings.limits()}
	count := settings.Fronts + settings.Nodes + spareNodes + 1
	w.mailboxes = make([]mailbox, count)
	w.links = newLinks(settings.Zones, settings.Regions, settings.Fronts, count)
	w.outboxes, w.busy = make([]outbox, settings.Workers), make([]time.Duration, settings.Workers)
	for i := range w.outboxes {
		w.outboxes[i] = make(outbox, settings.Workers)
	}
	for i := range settings.Fronts {
		w.links.zoneOf[i] = int32(i % settings.Zones)
	}
	for i := range settings.Nodes + spareNodes {
		w.addNode(i)
	}
	w.discovery = newDiscovery(w.sender(int32(count - 1)))
	for i := range settings.Fronts {
		f, err := newFront(w.sender(int32(i)))
		if err != nil {
			return nil, err
		}
		w.fronts = append(w.fronts, f)
	}
	for _, f := range w.fronts {
		w.actors = append(w.actors, f)
	}
	for _, n := range w.nodes {
		w.actors = append(w.actors, n)
	}
	w.actors = append(w.actors, w.discovery)
	return w, w.startAll()
}

// startAll starts the fronts that are not running.
func (w *World) startAll() error {
	errs := make([]error, len(w.fronts))
	w.parallel(func(worker int) {
		for i := worker; i < len(w.fronts); i += w.settings.Workers {
			if f := w.fronts[i]; f.stopped {
				errs[i] = f.start(w.now())
			}
		}
	})
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *World) addNode(i int) {
	id := int32(w.settings.Fronts + i)
	zone := int32(i % w.settings.Zones)
	w.links.zoneOf[id] = zone
	n := newNode(w.sender(id), nodeName(i, int(zone), int(w.links.regionOfZone(zone))), i%w.settings.Nodes)
	w.nodes = append(w.nodes, n)
	state := scheduler.Running
	if i >= w.settings.Nodes {
		state = scheduler.Removed
	}
	w.endpoints = append(w.endpoints, scheduler.Endpoint{Node: n.name, Zone: int(zone), Shard: n.shard, State: state})
}

func (w *World) sender(id int32) sender {
	return sender{world: w, id: id, outbox: &w.outboxes[w.workerOf(id)]}
}

// workerOf returns the worker that runs an actor.
func (w *World) workerOf(id int32) int { return int(id) % w.settings.Workers }

// nodeID returns the actor number of a node.
func (w *World) nodeID(node int32) int32 { return int32(w.settings.Fronts) + node }

// now returns the time at which the next window begins, or the current one while it is processed.
func (w *World) now() scheduler.Micros { return startTime + scheduler.Micros(w.window)*tick }

// After schedules a step of the script.
func (w *World) After(wait scheduler.Micros, do func(*World)) {
	w.script = append(w.script, scriptStep{w.now() + wait, do})
	slices.SortStableFunc(w.script, func(a, b scriptStep) int { return int(a.at - b.at) })
}

// Run advances virtual time, and runs the steps of the script that are due.
func (w *World) Run(duration scheduler.Micros) {
	for until := w.now() + duration; w.now() < until; w.window++ {
		for len(w.script) > 0 && w.script[0].at <= w.now() {
			next := w.script[0]
			w.script = w.script[1:]
			next.run(w)
		}
		w.parallel(w.handleWindow)
		w.parallel(w.deliverMessages)
		if end := w.now() + tick; (end-startTime)%second == 0 {
			w.meter.endSecond(w)
		}
	}
}

// handleWindow processes the window for the actors of a worker.
func (w *World) handleWindow(worker int) {
	began, end := time.Now(), w.now()+tick
	for i := worker; i < len(w.actors); i += w.settings.Workers {
		w.actors[i].handle(end, w.mailboxes[i].take(w.window))
	}
	w.busy[worker] += time.Since(began)
}

// deliverMessages moves messages for the actors of a worker to their mailboxes.
func (w *World) deliverMessages(worker int) {
	for _, from := range w.outboxes {
		for _, m := range from[worker] {
			w.mailboxes[m.to].put(m)
		}
		clear(from[worker])
		from[worker] = from[worker][:0]
	}
}

// parallel calls do once for each worker, in parallel, and waits for all calls.
func (w *World) parallel(do func(worker int)) {
	var group sync.WaitGroup
	for worker := range w.settings.Workers {
		group.Go(func() { do(worker) })
	}
	group.Wait()
}
