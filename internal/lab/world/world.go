// Package world is the laboratory's site: modelled nodes, fronts before them, clients, and what happens to them all.
// In virtual time it runs in one goroutine, and the same seed has the same outcome, bit by bit. Live, the same events
// happen at their time on the clock, and nodes and fronts may stand behind sockets.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// begin is the time at which every virtual world begins, in Unix microseconds.
const begin scheduler.Micros = 1_800_000_000_000_000

// World is nodes, the fronts before them and the clients before these.
type World struct {
	Now     scheduler.Micros
	Set     scheduler.Settings // that the fronts go by
	Nodes   []*Node
	Fronts  []Front
	Audit   *Audit
	Rand    *rand.Rand              // of what happens to the world
	Changed func(*Node)             // hears of nodes that are added, die or begin anew, before any front does
	Cut     func(from, to int) bool // messages between these fronts are lost; nil for none
	begin   scheduler.Micros
	delay   scheduler.Micros
	queue   events
	order   int
	watch   []Watcher
	deaf    map[int]scheduler.Micros
	open    map[string]*try
	ended   map[string]End
	placed  map[string]int // shards of what was written
	inbox   chan func()
	over    chan struct{}
	halted  bool
}

// Front takes requests, owes World.Answer for each, and hears of the nodes.
type Front interface {
	Submit(scheduler.Request)
	Tell(scheduler.EndpointsChanged)
	End() // what it had open is lost
}

// Watcher sees what happens.
type Watcher interface {
	Told(front int, list scheduler.EndpointsChanged)
	Asked(front int, r scheduler.Request)
	Sent(front int, id, node string)
	Back(id string, r scheduler.Result)
	Answered(id string, v Verdict, why scheduler.Reason)
}

// Node is a node of the list.
type Node struct {
	*model.Node
	Name   string
	Shard  int
	Zone   int // the hall that it stands in
	State  scheduler.NodeState
	Breaks float64 // share of the attempts that don't reach it, as the connection breaks
	Spoils float64 // share of its answers that can't be used
}

// event is something that happens at a time; those of the same time in the order in which they were planned.
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

// New returns a world with nodes, each of which holds the shard of its number, in so many halls, before any front.
// delay is the network's, one way.
func New(set scheduler.Settings, nodes []*model.Node, halls int, delay scheduler.Micros, seed uint64) *World {
	w := &World{
		Now: begin, begin: begin, Set: set, delay: delay, Rand: rand.New(rand.NewPCG(seed, 2)), deaf: map[int]scheduler.Micros{},
		open: map[string]*try{}, ended: map[string]End{}, placed: map[string]int{}, Changed: func(*Node) {},
	}
	w.Audit = newAudit(w)
	w.Watch(w.Audit)
	for i, n := range nodes {
		w.Nodes = append(w.Nodes, &Node{Node: n, Name: fmt.Sprintf("node-%02d", i), Shard: i, Zone: i % max(halls, 1)})
	}
	return w
}

// Watch adds a watcher.
func (w *World) Watch(x Watcher) { w.watch = append(w.watch, x) }

// At plans something for a time since the beginning.
func (w *World) At(at scheduler.Micros, do func()) { w.plan(w.begin+at, do) }

// Since is the time since the beginning.
func (w *World) Since() scheduler.Micros { return w.Now - w.begin }

func (w *World) plan(at scheduler.Micros, do func()) {
	w.order++
	heap.Push(&w.queue, event{max(at, w.Now), w.order, do})
}

// Run lets things happen until a time since the beginning, in virtual time or live.
func (w *World) Run(to scheduler.Micros) {
	if w.inbox != nil {
		w.live(w.begin + to)
		return
	}
	for len(w.queue) > 0 && w.queue[0].at <= w.begin+to {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = w.begin + to
}

// Live has the world go by the clock from now on. Nothing may have been planned yet.
func (w *World) Live() {
	w.begin = scheduler.Micros(time.Now().UnixMicro())
	w.Now = w.begin
	w.inbox, w.over = make(chan func(), 1024), make(chan struct{})
}

// Do has something done between two events of a live world, from any goroutine. After its end it is left out.
func (w *World) Do(do func()) {
	select {
	case w.inbox <- do:
	case <-w.over:
	}
}

// Halt ends a live world before its time.
func (w *World) Halt() { w.Do(func() { w.halted = true }) }

func (w *World) live(to scheduler.Micros) {
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
	close(w.over)
}

// Node is the node of a name. One that a front was told of stays, as an attempt may be on its way to it.
func (w *World) Node(name string) *Node {
	for _, n := range w.Nodes {
		if n.Name == name {
			return n
		}
	}
	panic("a front named a node that it was never told of: " + name)
}

// List is the node list as discovery has it.
func (w *World) List() scheduler.EndpointsChanged {
	out := scheduler.EndpointsChanged{Full: true}
	for _, n := range w.Nodes {
		if n.State != scheduler.Removed {
			out.Endpoints = append(out.Endpoints, scheduler.Endpoint{Node: n.Name, Shard: n.Shard, Zone: n.Zone, State: n.State, StartedAt: scheduler.Micros(n.Up)})
		}
	}
	return out
}

// Put puts a front in a place, 0 for the first, and has it hear of the nodes. One that was there ends.
func (w *World) Put(place int, f Front) {
	if place < len(w.Fronts) {
		w.Fronts[place].End()
		for id, t := range w.open {
			if t.Front == place {
				delete(w.open, id)
				w.ended[t.base()] = End{Lost, w.Now - t.asked}
			}
		}
		w.Fronts[place] = f
	} else {
		w.Fronts = append(w.Fronts, f)
	}
	w.tell(place)
}

func (w *World) tell(place int) {
	list := w.List()
	for _, x := range w.watch {
		x.Told(place, list)
	}
	w.Fronts[place].Tell(list)
}

// Deafen has a front hear nothing of the nodes for a while.
func (w *World) Deafen(place int, until scheduler.Micros) {
	w.deaf[place] = until
	w.plan(until, func() { w.tell(place) })
}

// Tell has every front hear of the list, each after a while of its own up to late.
func (w *World) Tell(late scheduler.Micros) {
	for place := range w.Fronts {
		after := scheduler.Micros(0)
		if late > 0 {
			after = scheduler.Micros(w.Rand.Int64N(int64(late)))
		}
		w.plan(w.Now+after, func() {
			if w.Now >= w.deaf[place] {
				w.tell(place)
			}
		})
	}
}

// Kill ends a node's process: what it had is lost, and new connections are refused.
func (w *World) Kill(n *Node) {
	for _, j := range n.Die() {
		if t, waits := j.Tag.(*Ticket); waits {
			t.back(Broken)
		}
	}
	w.Changed(n)
}

// Restart begins a node's process anew, cold.
func (w *World) Restart(n *Node) {
	n.Node.Restart(int64(w.Now))
	w.Changed(n)
}

// Successor replaces a node by another machine of a new name, which starts cold and holds the same shard. The old one
// is gone.
func (w *World) Successor(old *Node) *Node {
	w.Kill(old)
	old.State = scheduler.Removed
	n := &Node{Node: model.New(old.Figures), Name: fmt.Sprintf("node-%02d", len(w.Nodes)), Shard: old.Shard, Zone: old.Zone}
	n.Node.Restart(int64(w.Now))
	w.Nodes = append(w.Nodes, n)
	w.Changed(n)
	return n
}
