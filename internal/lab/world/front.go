package world

import (
	"otterturn/scheduler"
)

// Decider makes the decisions of a front: the scheduler, or an algorithm that it is compared with.
type Decider interface {
	Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action
}

// Simulated is a front in virtual time: a decider, and a model of the program around it.
type Simulated struct {
	world *World
	place int
	d     Decider // nil once the front has ended
	open  map[string]*call
	inbox []scheduler.Event
	due   bool
	told  bool
	idle  map[string]int // number of idle connections, by node
}

type call struct {
	scheduler.Request
	deadline scheduler.Micros
	tries    int
	out      bool
	finish   func(o scheduler.AttemptEnded, reusable bool) // ends the current attempt
}

// Start adds a front that uses the decider, at an index as of Put.
func (w *World) Start(place int, d Decider) *Simulated {
	f := &Simulated{world: w, place: place, d: d, open: map[string]*call{}, idle: map[string]int{}}
	w.Put(place, f)
	return f
}

// End ends the front.
func (f *Simulated) End() { f.d = nil }

// Submit takes a client's request.
func (f *Simulated) Submit(r scheduler.Request) {
	w := f.world
	f.open[r.ID] = &call{Request: r, deadline: w.Now + r.TimeLeft}
	f.tell(r)
	w.plan(w.Now+r.TimeLeft, func() { // the client gives up, unless an attempt is running: that one times out
		if c := f.open[r.ID]; c != nil && f.d != nil && !c.out {
			f.end(r.ID, Failed, "", 0)
			f.tell(scheduler.ClientLeft{ID: r.ID})
		}
	})
}

// Tell passes a node list to the decider: the first one at once, before any other event.
func (f *Simulated) Tell(list scheduler.EndpointsChanged) {
	if f.told {
		f.tell(list)
		return
	}
	f.told = true
	f.d.Step(f.world.Now, []scheduler.Event{list})
}

// tell passes an event to the decider, in one step with all other events of the tick.
func (f *Simulated) tell(e scheduler.Event) {
	f.inbox = append(f.inbox, e)
	if f.due {
		return
	}
	f.due = true
	f.world.plan(f.world.Now+f.world.Set.Tick, func() {
		f.due = false
		if f.d == nil {
			return
		}
		events := f.inbox
		f.inbox = nil
		for _, a := range f.d.Step(f.world.Now, events) {
			f.perform(a)
		}
	})
}

func (f *Simulated) end(id string, v Verdict, why scheduler.Reason, retryAfter scheduler.Micros) {
	delete(f.open, id)
	f.world.Answer(id, v, why, retryAfter)
}

func (f *Simulated) perform(a scheduler.Action) {
	w := f.world
	switch a := a.(type) {
	case scheduler.StartAttempt:
		f.send(a)
	case scheduler.Reject:
		f.end(a.ID, Refused, a.Reason, a.RetryAfter)
	case scheduler.Fail:
		f.end(a.ID, Failed, a.Reason, 0)
	case scheduler.CancelAttempt:
		if c := f.open[a.ID]; c != nil && c.out && c.tries-1 == a.Attempt {
			c.finish(scheduler.AttemptEnded{Result: scheduler.Cancelled}, false)
		}
	case scheduler.CheckHealth:
		n := w.Node(a.Node)
		w.plan(w.Now+w.delay, func() {
			p := w.Probe(n)
			w.plan(w.Now+w.delay, func() { f.tell(p) })
		})
	case scheduler.RequestCapacity:
		w.note(f, a.To, scheduler.CapacityRequested{From: f.place, Node: a.Node, StartedAt: a.StartedAt, CapacityRequest: a.CapacityRequest})
	case scheduler.GrantCapacity:
		w.note(f, a.To, scheduler.CapacityGranted{From: f.place, Node: a.Node, Units: a.Units, ValidUntil: a.ValidUntil})
	case scheduler.SetTimer:
		w.plan(a.At, func() { f.tell(scheduler.TimerFired{}) })
	}
}

// note delivers a message from one front to another. It is lost if World.Cut separates the fronts or if the receiver is not a
// running simulated front.
func (w *World) note(from *Simulated, to int, e scheduler.Event) {
	if to < 0 || to >= len(w.Fronts) || w.Cut != nil && w.Cut(from.place, to) {
		return
	}
	w.plan(w.Now+w.delay, func() {
		if f, ok := w.Fronts[to].(*Simulated); ok && f.d != nil {
			f.tell(e)
		}
	})
}

// outcomes maps a node's reply to the event that the front sees.
var outcomes = map[Reply]scheduler.AttemptEnded{
	Answer: {Result: scheduler.OK, Final: true}, TurnedAway: {Result: scheduler.QueueFull},
	Unreachable: {Result: scheduler.Unreachable}, Broken: {Result: scheduler.Reset}, Garbled: {Result: scheduler.Reset, Alive: true},
}

// send simulates an attempt: the way to the node, its work there and the way back, or the time-out at the deadline.
func (f *Simulated) send(a scheduler.StartAttempt) {
	w, c := f.world, f.open[a.ID]
	if c == nil {
		f.tell(scheduler.AttemptEnded{ID: a.ID, Result: scheduler.NotStarted})
		return
	}
	for _, x := range w.watch {
		x.Sent(f.place, a.ID, a.Node)
	}
	attempt, sent, over := c.tries, w.Now, false
	c.tries, c.out = c.tries+1, true
	n := w.Node(a.Node)
	finish := func(o scheduler.AttemptEnded, reusable bool) {
		if over || f.d == nil {
			return
		}
		over, c.out = true, false
		if f.release(n, reusable); o.Final {
			w.Wrote(a.ID, n.Shard)
		}
		o.ID, o.Attempt, o.Latency = a.ID, attempt, w.Now-sent
		for _, x := range w.watch {
			x.Back(a.ID, o.Result)
		}
		if o.Final {
			f.end(a.ID, Served, "", 0)
		}
		f.tell(o)
	}
	c.finish = finish
	w.plan(c.deadline, func() { finish(scheduler.AttemptEnded{Result: scheduler.TimedOut}, false) })
	ready, up := f.connect(n)
	w.plan(ready, func() {
		reply := func(r Reply) {
			w.plan(w.Now+w.delay, func() { finish(outcomes[r], r == Answer || r == TurnedAway) })
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
func (f *Simulated) connect(n *Node) (at scheduler.Micros, up bool) {
	at = f.world.Now + f.world.delay
	if f.idle[n.Name] > 0 {
		f.idle[n.Name]--
		return at, true
	}
	return at + 2*f.world.delay, n.Dead || n.Connect(int64(f.world.Now))
}

// release keeps a reusable connection as idle and closes others.
func (f *Simulated) release(n *Node, reusable bool) {
	if reusable {
		f.idle[n.Name]++
	} else {
		n.Disconnect()
	}
}
