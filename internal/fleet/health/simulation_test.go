package health

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"otterturn/scheduler"
)

// simulation simulates fronts and nodes in virtual time: the Monitors of the fronts, the network between them, and a minimal
// scheduler for each front, which sends no request to a node that was reported silent or failed a request until a probe
// of the node is answered.
type simulation struct {
	fronts           []*simFront
	nodes            []*simNode
	byName           map[string]*simNode
	now              scheduler.Micros
	events           simQueue
	order            int
	random           *rand.Rand
	link             func(from, to int) (delays []scheduler.Micros) // delay of each copy that arrives; none if the message is lost
	reaches          func(front int, node *simNode) bool
	onAction         func(front *simFront, action Action) // called for every action
	onSuccess        func(front *simFront, node string)   // called for every answered request
	onWrongAvoidance func(front *simFront, node string)   // called for every avoided node that is not running according to the endpoint list
	probeTimeout     scheduler.Micros                     // time after which an unanswered probe ends as failed
	encoded          bool                                 // messages are encoded and decoded in transit
}

// newSimulation returns a simulation with one front per element of zones. The network delay is 0.5 ms.
func newSimulation(seed uint64, zones []int, nodes int, change func(*Config)) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 28)), probeTimeout: 500_000, now: 1_000_000_000, byName: map[string]*simNode{},
		link:     func(int, int) []scheduler.Micros { return []scheduler.Micros{500} },
		reaches:  func(int, *simNode) bool { return true },
		onAction: func(*simFront, Action) {},
	}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("node-%d", i), index: i, start: scheduler.Micros(i+1) * 1_000_000}
		w.nodes, w.byName[n.name] = append(w.nodes, n), n
	}
	for i := range zones {
		c := Defaults(i, int64(w.now), zones)
		if change != nil {
			change(&c)
		}
		f := &simFront{number: i, config: c}
		w.fronts = append(w.fronts, f)
		w.startFront(f)
	}
	return w
}

// startFront starts or restarts a front.
func (w *simulation) startFront(f *simFront) {
	f.config.Incarnation = int64(w.now)
	monitor, err := New(f.config)
	if err != nil {
		panic(err)
	}
	f.monitor, f.generation, f.paused, f.deferred = monitor, f.generation+1, false, nil
	f.knownStarts = map[string]scheduler.Micros{}
	f.excluded, f.probeRequests = map[string]bool{}, map[string]scheduler.Micros{}
	if f.failedRequests == nil {
		f.failedRequests = map[string]int{}
	}
	w.step(f, w.list())
}

func (w *simulation) list() EndpointsChanged {
	l := EndpointsChanged{Full: true}
	for _, n := range w.nodes {
		l.Nodes = append(l.Nodes, scheduler.Endpoint{Node: n.name, StartedAt: n.start})
	}
	return l
}

func (w *simulation) push(e simEvent) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, &e)
}

func (w *simulation) at(at scheduler.Micros, run func()) {
	w.push(simEvent{at: at, front: -1, run: run})
}

// deliverAt delivers an event to a front at a time, unless the front restarts before.
func (w *simulation) deliverAt(f *simFront, at scheduler.Micros, e Event) {
	w.push(simEvent{at: at, front: f.number, generation: f.generation, event: e})
}

// run runs the simulation until a time.
func (w *simulation) run(until scheduler.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*simEvent)
		w.now = e.at
		if e.front < 0 {
			e.run()
			continue
		}
		f := w.fronts[e.front]
		switch {
		case f.generation != e.generation:
		case f.paused:
			f.deferred = append(f.deferred, *e)
		default:
			w.handleEvent(f, *e)
		}
	}
	w.now = until
}

// handleEvent runs an event of a front or passes it to its Monitor.
func (w *simulation) handleEvent(f *simFront, e simEvent) {
	if e.run != nil {
		e.run()
		return
	}
	w.step(f, e.event)
}

func (w *simulation) resume(f *simFront) {
	deferred := f.deferred
	f.paused, f.deferred = false, nil
	for _, e := range deferred {
		w.handleEvent(f, e)
	}
}

func (w *simulation) step(f *simFront, events ...Event) {
	if f.removed {
		return
	}
	actions := f.monitor.Step(w.now, events)
	for _, e := range events {
		if l, ok := e.(EndpointsChanged); ok {
			w.listed(f, l)
		}
	}
	for _, a := range actions {
		w.onAction(f, a)
		w.perform(f, a)
	}
}

// listed makes a front's scheduler use restarted nodes again, and reports avoided nodes that are not running.
func (w *simulation) listed(f *simFront, l EndpointsChanged) {
	for _, listed := range l.Nodes {
		if f.knownStarts[listed.Node] != listed.StartedAt {
			f.knownStarts[listed.Node], f.excluded[listed.Node] = listed.StartedAt, false
		}
		n := f.monitor.byName[listed.Node]
		if n.investigation != nil && n.avoided && listed.State != scheduler.Running && w.onWrongAvoidance != nil {
			w.onWrongAvoidance(f, listed.Node)
		}
	}
}

func (w *simulation) perform(f *simFront, a Action) {
	switch a := a.(type) {
	case SetTimer:
		f.timer++
		this := f.timer
		w.push(simEvent{at: max(a.At, w.now), front: f.number, generation: f.generation, run: func() {
			if this == f.timer {
				w.step(f, TimerFired{})
			}
		}})
	case StartProbe:
		w.probe(f, w.byName[a.Node])
	case AnswerProbe:
		delete(f.probeRequests, a.Node)
		if a.OK {
			f.excluded[a.Node] = false
		} else if f.excluded[a.Node] {
			w.requestProbe(f, a.Node, 200_000)
		}
	case ReportSilent:
		if !f.excluded[a.Node] {
			f.excluded[a.Node] = true
			w.requestProbe(f, a.Node, 0)
		}
	case SendMessage:
		w.deliver(f, a)
	}
}

// requestProbe makes the scheduler request a probe after the given delay.
func (w *simulation) requestProbe(f *simFront, node string, delay scheduler.Micros) {
	w.push(simEvent{at: w.now + delay, front: f.number, generation: f.generation, run: func() {
		if _, waits := f.probeRequests[node]; !waits && f.excluded[node] {
			f.probeRequests[node] = w.now
			w.step(f, ProbeRequested{node})
		}
	}})
}

func (w *simulation) deliver(f *simFront, a SendMessage) {
	message, size := a.Message, len(a.Message.Encode())
	if w.encoded {
		var err error
		if message, err = Decode(a.Message.Encode()); err != nil {
			panic(err)
		}
	}
	f.traffic = append(f.traffic, sentBytes{w.now, size})
	to := w.fronts[a.To]
	for _, delay := range w.link(f.number, a.To) {
		at := w.now + delay
		to.traffic = append(to.traffic, sentBytes{at, size})
		w.deliverAt(to, at, MessageReceived{From: f.number, Message: message})
	}
}
