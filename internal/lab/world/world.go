// Package world simulates a site: modelled nodes, the fronts before them, clients, and events such as failures.
// In virtual time it runs in one goroutine, and the same seed gives bit for bit the same outcome. A live world runs the same
// events by the wall clock, and its nodes and fronts may be behind sockets.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// virtualStart is the start time of every virtual world, in Unix microseconds.
const virtualStart scheduler.Micros = 1_800_000_000_000_000

// World is the state of a simulated site.
type World struct {
	Now          scheduler.Micros
	Set          scheduler.Settings // settings of the fronts
	Nodes        []*Node
	Fronts       []Front
	Audit        *Audit
	Rand         *rand.Rand              // random source of events at nodes and fronts
	Changed      func(*Node)             // called for a node that is added, dies or restarts, before any front is told
	Partitioned  func(from, to int) bool // reports whether messages between these fronts are lost; nil if none are
	start        scheduler.Micros
	delay        scheduler.Micros
	queue        events
	lastOrder    int
	watchers     []Watcher
	blockedUntil map[int]scheduler.Micros
	open         map[string]*try
	outcomes     map[string]Outcome
	objectShards map[string]int // shard of each written object, by name
	inbox        chan func()
	done         chan struct{}
	halted       bool
}

// Front takes requests, calls World.Answer once for each, and receives node lists.
type Front interface {
	Submit(scheduler.Request)
	Tell(scheduler.EndpointsChanged)
	End() // its open requests are lost
}

// Watcher observes the events of a world.
type Watcher interface {
	NodeListSent(front int, list scheduler.EndpointsChanged)
	RequestSubmitted(front int, r scheduler.Request)
	AttemptStarted(front int, id, node string)
	AttemptFinished(id string, r scheduler.Result)
	RequestAnswered(id string, v Verdict, why scheduler.Reason)
}

// Node is a node of the node list.
type Node struct {
	*model.Node
	Name           string
	Shard          int
	Zone           int // index of the zone that it is in
	State          scheduler.NodeState
	BreakShare     float64 // share of the attempts that don't reach it because the connection breaks
	MalformedShare float64 // share of its answers that are malformed
}

// event is a scheduled call. Events of the same time run in the order in which they were scheduled.
type event struct {
	at    scheduler.Micros
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// New returns a world without fronts. Each node holds the shard of its index, and the nodes are assigned to halls zones
// round-robin. delay is the one-way delay of the network.
func New(set scheduler.Settings, nodes []*model.Node, halls int, delay scheduler.Micros, seed uint64) *World {
	w := &World{
		Now: virtualStart, start: virtualStart, Set: set, delay: delay, Rand: rand.New(rand.NewPCG(seed, 2)),
		blockedUntil: map[int]scheduler.Micros{},
		open:         map[string]*try{}, outcomes: map[string]Outcome{}, objectShards: map[string]int{}, Changed: func(*Node) {},
	}
	w.Audit = newAudit(w)
	w.Watch(w.Audit)
	for i, n := range nodes {
		w.Nodes = append(w.Nodes, &Node{Node: n, Name: fmt.Sprintf("node-%02d", i), Shard: i, Zone: i % max(halls, 1)})
	}
	return w
}

// Watch adds a watcher.
func (w *World) Watch(x Watcher) { w.watchers = append(w.watchers, x) }

// At schedules a call at a time since the start.
func (w *World) At(at scheduler.Micros, do func()) { w.schedule(w.start+at, do) }

// Elapsed returns the time since the start.
func (w *World) Elapsed() scheduler.Micros { return w.Now - w.start }

func (w *World) schedule(at scheduler.Micros, do func()) {
	w.lastOrder++
	heap.Push(&w.queue, event{max(at, w.Now), w.lastOrder, do})
}

// Run runs all events up to a time since the start, in virtual time or live.
func (w *World) Run(to scheduler.Micros) {
	if w.inbox != nil {
		w.runLive(w.start + to)
		return
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.start+to {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = w.start + to
}

// Live switches the world to the wall clock, starting now. It must be called before any event is scheduled.
func (w *World) Live() {
	w.start = scheduler.Micros(time.Now().UnixMicro())
	w.Now = w.start
	w.inbox, w.done = make(chan func(), 1024), make(chan struct{})
}

// Do queues a call to run between two events of a live world. It may be called from any goroutine. Once the world has ended,
// it does nothing.
func (w *World) Do(do func()) {
	select {
	case w.inbox <- do:
	case <-w.done:
	}
}

// Halt ends a live world early.
func (w *World) Halt() { w.Do(func() { w.halted = true }) }

func (w *World) runLive(to scheduler.Micros) {
	now := func() scheduler.Micros { return max(w.Now, scheduler.Micros(time.Now().UnixMicro())) }
	timer := time.NewTimer(0)
	defer timer.Stop()
	for w.Now = now(); w.Now < to && !w.halted; w.Now = now() {
		for len(w.queue) > 0 && w.queue[0].at <= w.Now {
			heap.Pop(&w.queue).(event).do()
		}
		next := to
		if len(w.queue) > 0 {
			next = min(to, w.queue[0].at)
		}
		timer.Reset(time.Duration(next-w.Now) * time.Microsecond)
		select {
		case do := <-w.inbox:
			w.Now = now()
			do()
		case <-timer.C:
		}
	}
	close(w.done)
}

// Node returns the node of a name, removed ones included, as an attempt may still be on its way to one.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	panic("unknown node " + name)
}

// List returns the node list as discovery reports it.
func (w *World) List() scheduler.EndpointsChanged {
	out := scheduler.EndpointsChanged{Full: true}
	for _, n := range w.Nodes {
		if n.State != scheduler.Removed {
			out.Endpoints = append(out.Endpoints, scheduler.Endpoint{
				Node: n.Name, Shard: n.Shard, Zone: n.Zone, State: n.State, StartedAt: scheduler.Micros(n.StartedAt),
			})
		}
	}
	return out
}

// AddFront adds a front at an index, 0 for the first, and gives it the node list. A front that was there before ends.
func (w *World) AddFront(index int, front Front) {
	if index < len(w.Fronts) {
		w.Fronts[index].End()
		for id, t := range w.open {
			if t.Front == index {
				delete(w.open, id)
				w.outcomes[t.requestID()] = Outcome{Lost, w.Now - t.plannedAt}
			}
		}
		w.Fronts[index] = front
	} else {
		w.Fronts = append(w.Fronts, front)
	}
	w.sendNodeList(index)
}

func (w *World) sendNodeList(index int) {
	list := w.List()
	for _, x := range w.watchers {
		x.NodeListSent(index, list)
	}
	w.Fronts[index].Tell(list)
}

// BlockNodeList keeps node lists from a front until a time, when it receives the current one.
func (w *World) BlockNodeList(index int, until scheduler.Micros) {
	w.blockedUntil[index] = until
	w.schedule(until, func() { w.sendNodeList(index) })
}

// PublishNodeList gives every front the node list, each after its own random delay below maxDelay.
func (w *World) PublishNodeList(maxDelay scheduler.Micros) {
	for index := range w.Fronts {
		delay := scheduler.Micros(0)
		if maxDelay > 0 {
			delay = scheduler.Micros(w.Rand.Int64N(int64(maxDelay)))
		}
		w.schedule(w.Now+delay, func() {
			if w.Now >= w.blockedUntil[index] {
				w.sendNodeList(index)
			}
		})
	}
}

// Kill ends a node's process: its jobs are lost, and new connections are refused.
func (w *World) Kill(n *Node) {
	for _, j := range n.Die() {
		if t, waits := j.Tag.(*nodeAttempt); waits {
			t.sendReply(ConnectionBroken)
		}
	}
	w.Changed(n)
}

// Restart restarts a node's process, which is then cold.
func (w *World) Restart(n *Node) {
	n.Node.Restart(int64(w.Now))
	w.Changed(n)
}

// ReplaceNode replaces a node by another machine with a new name, which starts cold and holds the same shard. The old node
// is removed.
func (w *World) ReplaceNode(old *Node) *Node {
	w.Kill(old)
	old.State = scheduler.Removed
	n := &Node{Node: model.New(old.Parameters), Name: fmt.Sprintf("node-%02d", len(w.Nodes)), Shard: old.Shard, Zone: old.Zone}
	n.Node.Restart(int64(w.Now))
	w.Nodes = append(w.Nodes, n)
	w.Changed(n)
	return n
}
