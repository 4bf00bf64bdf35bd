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

// step is a step of a script. It runs between two windows.
type step struct {
	at scheduler.Micros
	do func(*World)
}

// World is a fleet in virtual time.
type World struct {
	set       Settings
	limits    limits.Limits
	links     links
	fronts    []*front
	nodes     []*node
	discovery *discovery
	listed    []scheduler.Endpoint // the endpoint list at discovery, by number of the node

	actors    []actor
	mailboxes []mailbox
	outboxes  []outbox        // by worker of the sender
	busy      []time.Duration // wall-clock time of the actors' work, by worker
	script    []step
	window    int64
	meter     meter
	watched   watched
}

// New returns a fleet in which every front has just started with the full endpoint list. spares is the number of nodes
// in addition to those of the settings; they are not on the list yet.
func New(set Settings, spares int) (*World, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	w := &World{set: set, limits: set.limits()}
	count := set.Fronts + set.Nodes + spares + 1
	w.mailboxes = make([]mailbox, count)
	w.links = newLinks(set.Zones, set.Regions, set.Fronts, count)
	w.outboxes, w.busy = make([]outbox, set.Workers), make([]time.Duration, set.Workers)
	for i := range w.outboxes {
		w.outboxes[i] = make(outbox, set.Workers)
	}
	for i := range set.Fronts {
		w.links.zone[i] = int32(i % set.Zones)
	}
	for i := range set.Nodes + spares {
		w.addNode(i)
	}
	w.discovery = newDiscovery(w.sender(int32(count - 1)))
	for i := range set.Fronts {
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
		for i := worker; i < len(w.fronts); i += w.set.Workers {
			if f := w.fronts[i]; f.down {
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
	id := int32(w.set.Fronts + i)
	zone := int32(i % w.set.Zones)
	w.links.zone[id] = zone
	n := newNode(w.sender(id), nodeName(i, int(zone), int(w.links.regionOf(zone))), i%w.set.Nodes)
	w.nodes = append(w.nodes, n)
	state := scheduler.Running
	if i >= w.set.Nodes {
		state = scheduler.Removed
	}
	w.listed = append(w.listed, scheduler.Endpoint{Node: n.name, Zone: int(zone), Shard: n.shard, State: state})
}

func (w *World) sender(id int32) sender {
	return sender{world: w, id: id, out: &w.outboxes[w.shard(id)]}
}

// shard returns the worker that runs an actor.
func (w *World) shard(id int32) int { return int(id) % w.set.Workers }

// nodeID returns the actor number of a node.
func (w *World) nodeID(node int32) int32 { return int32(w.set.Fronts) + node }

// now returns the time at which the next window begins, or the current one while it is processed.
func (w *World) now() scheduler.Micros { return begin + scheduler.Micros(w.window)*tick }

// After adds a step to the script that runs after a wait.
func (w *World) After(wait scheduler.Micros, do func(*World)) {
	w.script = append(w.script, step{w.now() + wait, do})
	slices.SortStableFunc(w.script, func(a, b step) int { return int(a.at - b.at) })
}

// Run advances virtual time by a span.
func (w *World) Run(span scheduler.Micros) {
	for until := w.now() + span; w.now() < until; w.window++ {
		for len(w.script) > 0 && w.script[0].at <= w.now() {
			next := w.script[0]
			w.script = w.script[1:]
			next.do(w)
		}
		w.parallel(w.pass)
		w.parallel(w.deliver)
		if end := w.now() + tick; (end-begin)%second == 0 {
			w.meter.close(w)
		}
	}
}

// pass processes the window for the actors of a worker.
func (w *World) pass(worker int) {
	began, end := time.Now(), w.now()+tick
	for i := worker; i < len(w.actors); i += w.set.Workers {
		w.actors[i].handle(end, w.mailboxes[i].take(w.window))
	}
	w.busy[worker] += time.Since(began)
}

// deliver moves messages for the actors of a worker to their mailboxes.
func (w *World) deliver(worker int) {
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
	var all sync.WaitGroup
	for worker := range w.set.Workers {
		all.Go(func() { do(worker) })
	}
	all.Wait()
}
