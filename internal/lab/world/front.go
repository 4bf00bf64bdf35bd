package world

import (
	"otterturn/scheduler"
)

// Decider decides for a front: the decision module, or what it is compared with.
type Decider interface {
	Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action
}

// Simulated is a front in virtual time: a decider, and what the program does around it.
type Simulated struct {
	world *World
	place int
	d     Decider // nil once the front has ended
	open  map[string]*call
	inbox []scheduler.Event
	due   bool
	told  bool
	idle  map[string]int // connections that are up
}

type call struct {
	scheduler.Request
	deadline scheduler.Micros
	tries    int
	out      bool
	finish   func(o scheduler.AttemptEnded, reusable bool) // the attempt that is out
}

// Start puts a front that a decider decides for in a place.
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
	w.plan(w.Now+r.TimeLeft, func() { // the client gives up
		if c := f.open[r.ID]; c != nil && f.d != nil && !c.out {
			f.end(r.ID, Failed, "", 0)
			f.tell(scheduler.ClientLeft{ID: r.ID})
		}
	})
}

// Tell hands the node list over: the first one ahead of all else.
func (f *Simulated) Tell(list scheduler.EndpointsChanged) {
	if f.told {
		f.tell(list)
		return
	}
	f.told = true
	f.d.Step(f.world.Now, []scheduler.Event{list})
}

// tell hands an event to the decider, together with all others of a tick.
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

// note carries a message from one front to another. Where one is cut off, or no simulated front, it is lost.
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

// outcomes are what a front makes of a node's reply.
var outcomes = map[Reply]scheduler.AttemptEnded{
	Answer: {Result: scheduler.OK, Final: true}, TurnedAway: {Result: scheduler.QueueFull},
	Unreachable: {Result: scheduler.Unreachable}, Broken: {Result: scheduler.Reset}, Garbled: {Result: scheduler.Reset, Alive: true},
}

// send is an attempt: to the node, there, and back, or silent until its deadline.
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

// connect takes a connection to a node, and tells when what is written to it arrives. A new one costs two ways more.
func (f *Simulated) connect(n *Node) (at scheduler.Micros, up bool) {
	at = f.world.Now + f.world.delay
	if f.idle[n.Name] > 0 {
		f.idle[n.Name]--
		return at, true
	}
	return at + 2*f.world.delay, n.Dead || n.Connect(int64(f.world.Now))
}

// release keeps a connection, or closes it.
func (f *Simulated) release(n *Node, reusable bool) {
	if reusable {
		f.idle[n.Name]++
	} else {
		n.Disconnect()
	}
}
