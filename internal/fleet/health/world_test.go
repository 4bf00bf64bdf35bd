package health

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"otterturn/scheduler"
)

// world simulates fronts and nodes in virtual time: the Monitors of the fronts, the network between them, and a minimal
// scheduler for each front, which sends no request to a node that was reported silent or failed a request until a probe
// of the node is answered.
type world struct {
	fronts    []*simFront
	nodes     []*simNode
	byName    map[string]*simNode
	now       scheduler.Micros
	events    simQueue
	order     int
	random    *rand.Rand
	link      func(from, to int) (delays []scheduler.Micros) // delay of each copy that arrives; none if the message is lost
	reaches   func(front int, node *simNode) bool
	each      func(front *simFront, action Action) // called for every action
	succeeded func(front *simFront, node string)   // called for every answered request
	against   func(front *simFront, node string)   // called for every avoided node that is not running according to the endpoint list
	shell     scheduler.Micros                     // time after which an unanswered probe ends as failed
	encoded   bool                                 // messages are encoded and decoded in transit
}

// newWorld returns a simulation with one front per element of zones. The network delay is 0.5 ms.
func newWorld(seed uint64, zones []int, nodes int, change func(*Config)) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 28)), shell: 500_000, now: 1_000_000_000, byName: map[string]*simNode{},
		link:    func(int, int) []scheduler.Micros { return []scheduler.Micros{500} },
		reaches: func(int, *simNode) bool { return true },
		each:    func(*simFront, Action) {},
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
		w.boot(f)
	}
	return w
}

// boot starts or restarts a front.
func (w *world) boot(f *simFront) {
	f.config.Incarnation = int64(w.now)
	monitor, err := New(f.config)
	if err != nil {
		panic(err)
	}
	f.monitor, f.life, f.paused, f.late = monitor, f.life+1, false, nil
	f.known = map[string]scheduler.Micros{}
	f.mute, f.wanted = map[string]bool{}, map[string]scheduler.Micros{}
	if f.failed == nil {
		f.failed = map[string]int{}
	}
	w.step(f, w.list())
}

func (w *world) list() EndpointsChanged {
	l := EndpointsChanged{Full: true}
	for _, n := range w.nodes {
		l.Nodes = append(l.Nodes, scheduler.Endpoint{Node: n.name, StartedAt: n.start})
	}
	return l
}

func (w *world) push(e simEvent) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, &e)
}

func (w *world) at(at scheduler.Micros, run func()) { w.push(simEvent{at: at, front: -1, run: run}) }

// to delivers an event to a front at a time, unless the front restarts before.
func (w *world) to(f *simFront, at scheduler.Micros, e Event) {
	w.push(simEvent{at: at, front: f.number, life: f.life, event: e})
}

// run runs the simulation until a time.
func (w *world) run(until scheduler.Micros) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*simEvent)
		w.now = e.at
		if e.front < 0 {
			e.run()
			continue
		}
		f := w.fronts[e.front]
		switch {
		case f.life != e.life:
		case f.paused:
			f.late = append(f.late, *e)
		default:
			w.arrive(f, *e)
		}
	}
	w.now = until
}

// arrive runs an event of a front or passes it to its Monitor.
func (w *world) arrive(f *simFront, e simEvent) {
	if e.run != nil {
		e.run()
		return
	}
	w.step(f, e.event)
}

func (w *world) resume(f *simFront) {
	late := f.late
	f.paused, f.late = false, nil
	for _, e := range late {
		w.arrive(f, e)
	}
}

func (w *world) step(f *simFront, events ...Event) {
	if f.gone {
		return
	}
	actions := f.monitor.Step(w.now, events)
	for _, e := range events {
		if l, ok := e.(EndpointsChanged); ok {
			w.listed(f, l)
		}
	}
	for _, a := range actions {
		w.each(f, a)
		w.act(f, a)
	}
}

// listed makes a front's scheduler use nodes that restarted, and reports avoided nodes that are not running.
func (w *world) listed(f *simFront, l EndpointsChanged) {
	for _, listed := range l.Nodes {
		if f.known[listed.Node] != listed.StartedAt {
			f.known[listed.Node], f.mute[listed.Node] = listed.StartedAt, false
		}
		n := f.monitor.byName[listed.Node]
		if n.investigation != nil && n.avoided && listed.State != scheduler.Running && w.against != nil {
			w.against(f, listed.Node)
		}
	}
}

func (w *world) act(f *simFront, a Action) {
	switch a := a.(type) {
	case SetTimer:
		f.alarm++
		this := f.alarm
		w.push(simEvent{at: max(a.At, w.now), front: f.number, life: f.life, run: func() {
			if this == f.alarm {
				w.step(f, TimerFired{})
			}
		}})
	case StartProbe:
		w.probe(f, w.byName[a.Node])
	case AnswerProbe:
		delete(f.wanted, a.Node)
		if a.OK {
			f.mute[a.Node] = false
		} else if f.mute[a.Node] {
			w.want(f, a.Node, 200_000)
		}
	case ReportSilent:
		if !f.mute[a.Node] {
			f.mute[a.Node] = true
			w.want(f, a.Node, 0)
		}
	case SendMessage:
		w.deliver(f, a)
	}
}

// want makes the scheduler request a probe after the given delay.
func (w *world) want(f *simFront, node string, in scheduler.Micros) {
	w.push(simEvent{at: w.now + in, front: f.number, life: f.life, run: func() {
		if _, waits := f.wanted[node]; !waits && f.mute[node] {
			f.wanted[node] = w.now
			w.step(f, ProbeRequested{node})
		}
	}})
}

func (w *world) deliver(f *simFront, a SendMessage) {
	message, size := a.Message, len(a.Message.Encode())
	if w.encoded {
		var err error
		if message, err = Decode(a.Message.Encode()); err != nil {
			panic(err)
		}
	}
	f.bytes = append(f.bytes, sentBytes{w.now, size})
	to := w.fronts[a.To]
	for _, delay := range w.link(f.number, a.To) {
		at := w.now + delay
		to.bytes = append(to.bytes, sentBytes{at, size})
		w.to(to, at, MessageReceived{From: f.number, Message: message})
	}
}
