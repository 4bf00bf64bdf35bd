// Package baseline implements simple scheduling algorithms to compare the scheduler with. They keep the rules on answers and
// limits and ignore the nodes' load.
package baseline

import (
	"cmp"
	"slices"

	"otterturn/scheduler"
)

// Decider makes the decisions of one front. It sends each request at once to the node that holds its data, within this
// front's equal share of each limit. With a window, at most that many attempts run at a node, and other requests wait in the
// order of arrival.
type Decider struct {
	set    scheduler.Settings
	window int // maximum number of attempts running at a node, 0 for no limit
	nodes  map[int]*node
	turn   int
	open   map[string]*request
	stores map[string]*store
	now    scheduler.Micros
	out    []scheduler.Action
	wake   bool
}

type node struct {
	scheduler.Endpoint
	out int
}

type request struct {
	scheduler.Request
	end   scheduler.Micros
	sent  *node // node of the running attempt, nil for none
	tries int
	ran   bool // an attempt may have run
}

type store struct {
	level float64
	at    scheduler.Micros
}

// New returns a decider. A window of 0 means no limit.
func New(set scheduler.Settings, window int) *Decider {
	return &Decider{set: set, window: window, nodes: map[int]*node{}, open: map[string]*request{}, stores: map[string]*store{}}
}

// Step takes events and returns the actions.
func (d *Decider) Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action {
	d.now, d.out = now, nil
	for _, e := range events {
		d.take(e)
	}
	d.dispatch()
	return d.out
}

func (d *Decider) take(e scheduler.Event) {
	switch e := e.(type) {
	case scheduler.EndpointsChanged:
		d.learn(e)
	case scheduler.Request:
		d.open[e.ID] = &request{Request: e, end: d.now + e.TimeLeft - 2*d.set.Tick}
	case scheduler.ClientLeft:
		delete(d.open, e.ID)
	case scheduler.TimerFired:
		d.wake = false
	case scheduler.AttemptEnded:
		r := d.open[e.ID]
		if r == nil {
			return
		}
		if r.sent != nil {
			r.sent.out--
			r.sent = nil
		}
		if e.Final {
			delete(d.open, e.ID)
			return
		}
		r.ran = r.ran || e.Result == scheduler.Errored || e.Result == scheduler.TimedOut || e.Result == scheduler.Reset
		if r.ran && d.set.Classes[r.Class].Idempotency != scheduler.Idempotent || r.tries >= d.set.MaxAttempts {
			d.finish(r)
		}
	}
}

func (d *Decider) learn(e scheduler.EndpointsChanged) {
	if e.Full {
		for _, n := range d.nodes {
			n.State = scheduler.Removed
		}
	}
	for _, l := range e.Endpoints {
		has := d.nodes[l.Shard]
		switch {
		case has != nil && has.Node == l.Node:
			has.Endpoint = l
		case l.State == scheduler.Running || has == nil:
			d.nodes[l.Shard] = &node{Endpoint: l}
		}
	}
}

// dispatch starts the attempts that are allowed, in the order of arrival, and ends requests that can't be answered in time.
func (d *Decider) dispatch() {
	waiting := make([]*request, 0, len(d.open))
	for _, r := range d.open {
		if r.sent == nil {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.end-a.TimeLeft, b.end-b.TimeLeft), cmp.Compare(a.ID, b.ID))
	})
	held := false
	for _, r := range waiting {
		n := d.place(r)
		switch {
		case r.tries == 0 && d.now > r.end-r.TimeLeft/2 || d.now >= r.end:
			d.finish(r)
		case n != nil && n.State == scheduler.Running && (d.window == 0 || n.out < d.window) && d.draw(r):
			n.out++
			r.sent, r.tries = n, r.tries+1
			d.out = append(d.out, scheduler.StartAttempt{ID: r.ID, Node: n.Node})
		case n == nil || d.window == 0: // waiting would not help
			d.finish(r)
		default:
			held = true
		}
	}
	if held && !d.wake {
		d.wake = true
		d.out = append(d.out, scheduler.SetTimer{At: d.now + 5*d.set.Tick})
	}
}

// place returns the node that holds a request's data. Requests for new objects go to the running nodes in round-robin order.
func (d *Decider) place(r *request) *node {
	if r.Shard >= 0 || len(d.nodes) == 0 {
		return d.nodes[r.Shard]
	}
	if !r.ran {
		for range len(d.nodes) {
			d.turn = (d.turn + 1) % len(d.nodes)
			if n := d.nodes[d.turn]; n != nil && n.State == scheduler.Running {
				return n
			}
		}
	}
	return nil
}

// draw takes a request's units from this front's equal share of the limit, at its first attempt only. It reports whether the
// limit allows the request.
func (d *Decider) draw(r *request) bool {
	p := d.set.Plans[r.Plan]
	if p.Limit <= 0 || r.tries > 0 {
		return true
	}
	hosts := float64(max(r.Fronts, 1))
	s := d.stores[r.Volume]
	if s == nil {
		s = &store{p.Burst / hosts, d.now}
		d.stores[r.Volume] = s
	}
	s.level = min(p.Burst/hosts, s.level+p.Limit/hosts*float64(d.now-s.at)/1e6)
	s.at = d.now
	if s.level < r.Units {
		return false
	}
	s.level -= r.Units
	return true
}

func (d *Decider) finish(r *request) {
	delete(d.open, r.ID)
	if r.ran && d.set.Classes[r.Class].Idempotency != scheduler.Idempotent {
		d.out = append(d.out, scheduler.Fail{ID: r.ID})
		return
	}
	d.out = append(d.out, scheduler.Reject{ID: r.ID})
}
