package world

import (
	"otterturn/scheduler"
)

// Decider makes the decisions of a front: the scheduler, or an algorithm that it is compared with.
type Decider interface {
	Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action
}

// SimulatedFront is a front in virtual time: a decider, and a model of the program around it.
type SimulatedFront struct {
	world         *World
	index         int
	decider       Decider // nil once the front has ended
	open          map[string]*openRequest
	inbox         []scheduler.Event
	stepScheduled bool
	hasNodeList   bool
	idleConns     map[string]int // number of idle connections, by node
}

type openRequest struct {
	scheduler.Request
	deadline scheduler.Micros
	attempts int
	running  bool
	finish   func(o scheduler.AttemptEnded, reusable bool) // ends the current attempt
}

// StartFront adds a front that uses the decider. It takes the same index as AddFront.
func (w *World) StartFront(index int, decider Decider) *SimulatedFront {
	f := &SimulatedFront{world: w, index: index, decider: decider, open: map[string]*openRequest{}, idleConns: map[string]int{}}
	w.AddFront(index, f)
	return f
}

// End ends the front.
func (f *SimulatedFront) End() { f.decider = nil }

// Submit takes a client's request.
func (f *SimulatedFront) Submit(r scheduler.Request) {
	w := f.world
	f.open[r.ID] = &openRequest{Request: r, deadline: w.Now + r.TimeLeft}
	f.enqueue(r)
	w.schedule(w.Now+r.TimeLeft, func() { // the client gives up, unless an attempt is running: that one times out
		if c := f.open[r.ID]; c != nil && f.decider != nil && !c.running {
			f.answer(r.ID, Failed, "", 0)
			f.enqueue(scheduler.ClientLeft{ID: r.ID})
		}
	})
}

// Tell passes a node list to the decider: the first one at once, before any other event.
func (f *SimulatedFront) Tell(list scheduler.EndpointsChanged) {
	if f.hasNodeList {
		f.enqueue(list)
		return
	}
	f.hasNodeList = true
	f.decider.Step(f.world.Now, []scheduler.Event{list})
}

// enqueue passes an event to the decider, in one step with all other events of the tick.
func (f *SimulatedFront) enqueue(e scheduler.Event) {
	f.inbox = append(f.inbox, e)
	if f.stepScheduled {
		return
	}
	f.stepScheduled = true
	f.world.schedule(f.world.Now+f.world.Set.Tick, func() {
		f.stepScheduled = false
		if f.decider == nil {
			return
		}
		events := f.inbox
		f.inbox = nil
		for _, a := range f.decider.Step(f.world.Now, events) {
			f.perform(a)
		}
	})
}

func (f *SimulatedFront) answer(id string, v Verdict, why scheduler.Reason, retryAfter scheduler.Micros) {
	delete(f.open, id)
	f.world.Answer(id, v, why, retryAfter)
}

func (f *SimulatedFront) perform(a scheduler.Action) {
	w := f.world
	switch a := a.(type) {
	case scheduler.StartAttempt:
		f.startAttempt(a)
	case scheduler.Reject:
		f.answer(a.ID, Refused, a.Reason, a.RetryAfter)
	case scheduler.Fail:
		f.answer(a.ID, Failed, a.Reason, 0)
	case scheduler.CancelAttempt:
		if c := f.open[a.ID]; c != nil && c.running && c.attempts-1 == a.Attempt {
			c.finish(scheduler.AttemptEnded{Result: scheduler.Cancelled}, false)
		}
	case scheduler.CheckHealth:
		n := w.Node(a.Node)
		w.schedule(w.Now+w.delay, func() {
			p := w.Probe(n)
			w.schedule(w.Now+w.delay, func() { f.enqueue(p) })
		})
	case scheduler.RequestCapacity:
		w.sendMessage(f, a.To, scheduler.CapacityRequested{
			From: f.index, Node: a.Node, StartedAt: a.StartedAt, CapacityRequest: a.CapacityRequest,
		})
	case scheduler.GrantCapacity:
		w.sendMessage(f, a.To, scheduler.CapacityGranted{From: f.index, Node: a.Node, Units: a.Units, ValidUntil: a.ValidUntil})
	case scheduler.SetTimer:
		w.schedule(a.At, func() { f.enqueue(scheduler.TimerFired{}) })
	}
}

// sendMessage delivers a message from one front to another. It is lost if World.Partitioned separates the fronts or if the
// receiver is not a running simulated front.
func (w *World) sendMessage(from *SimulatedFront, to int, e scheduler.Event) {
	if to < 0 || to >= len(w.Fronts) || w.Partitioned != nil && w.Partitioned(from.index, to) {
		return
	}
	w.schedule(w.Now+w.delay, func() {
		if f, ok := w.Fronts[to].(*SimulatedFront); ok && f.decider != nil {
			f.enqueue(e)
		}
	})
}

// replyResults maps a node's reply to the event that the front sees.
var replyResults = map[Reply]scheduler.AttemptEnded{
	Answer: {Result: scheduler.OK, Final: true}, QueueFull: {Result: scheduler.QueueFull},
	Unreachable: {Result: scheduler.Unreachable}, ConnectionBroken: {Result: scheduler.Reset}, Malformed: {Result: scheduler.Reset, Alive: true},
}

// startAttempt simulates an attempt: the way to the node, its work there and the way back, or the time-out at the deadline.
func (f *SimulatedFront) startAttempt(a scheduler.StartAttempt) {
	w, c := f.world, f.open[a.ID]
	if c == nil {
		f.enqueue(scheduler.AttemptEnded{ID: a.ID, Result: scheduler.NotStarted})
		return
	}
	for _, x := range w.watchers {
		x.AttemptStarted(f.index, a.ID, a.Node)
	}
	attempt, sent, ended := c.attempts, w.Now, false
	c.attempts, c.running = c.attempts+1, true
	n := w.Node(a.Node)
	finish := func(o scheduler.AttemptEnded, reusable bool) {
		if ended || f.decider == nil {
			return
		}
		ended, c.running = true, false
		if f.release(n, reusable); o.Final {
			w.RecordWrite(a.ID, n.Shard)
		}
		o.ID, o.Attempt, o.Latency = a.ID, attempt, w.Now-sent
		for _, x := range w.watchers {
			x.AttemptFinished(a.ID, o.Result)
		}
		if o.Final {
			f.answer(a.ID, Served, "", 0)
		}
		f.enqueue(o)
	}
	c.finish = finish
	w.schedule(c.deadline, func() { finish(scheduler.AttemptEnded{Result: scheduler.TimedOut}, false) })
	ready, up := f.connect(n)
	w.schedule(ready, func() {
		reply := func(r Reply) {
			w.schedule(w.Now+w.delay, func() { finish(replyResults[r], r == Answer || r == QueueFull) })
		}
		job, known := w.Job(a.ID)
		switch {
		case !up:
			reply(Unreachable)
		case known:
			w.Arrive(n, job, reply)
		}
	})
}

// connect takes an idle connection to a node or opens one. It returns when data written to it arrives, and whether the
// connection was accepted. A new connection takes one round trip more. A dead node is handled by Arrive.
func (f *SimulatedFront) connect(n *Node) (at scheduler.Micros, up bool) {
	at = f.world.Now + f.world.delay
	if f.idleConns[n.Name] > 0 {
		f.idleConns[n.Name]--
		return at, true
	}
	return at + 2*f.world.delay, n.Dead || n.Connect(int64(f.world.Now))
}

// release keeps a reusable connection as idle and closes one that is not reusable.
func (f *SimulatedFront) release(n *Node, reusable bool) {
	if reusable {
		f.idleConns[n.Name]++
	} else {
		n.Disconnect()
	}
}
