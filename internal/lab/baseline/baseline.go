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
	set       scheduler.Settings
	window    int // maximum number of attempts running at a node, 0 for no limit
	nodes     map[int]*node
	lastShard int
	open      map[string]*request
	buckets   map[string]*bucket
	now       scheduler.Micros
	actions   []scheduler.Action
	timerSet  bool
}

type node struct {
	scheduler.Endpoint
	running int
}

type request struct {
	scheduler.Request
	deadline    scheduler.Micros
	attemptNode *node // node of the running attempt, nil for none
	attempts    int
	mayHaveRun  bool // an attempt may have run
}

type bucket struct {
	level float64
	at    scheduler.Micros
}

// New returns a decider. A window of 0 means no limit.
func New(set scheduler.Settings, window int) *Decider {
	return &Decider{set: set, window: window, nodes: map[int]*node{}, open: map[string]*request{}, buckets: map[string]*bucket{}}
}

// Step takes events and returns the actions.
func (d *Decider) Step(now scheduler.Micros, events []scheduler.Event) []scheduler.Action {
	d.now, d.actions = now, nil
	for _, e := range events {
		d.handleEvent(e)
	}
	d.dispatch()
	return d.actions
}

func (d *Decider) handleEvent(e scheduler.Event) {
	switch e := e.(type) {
	case scheduler.EndpointsChanged:
		d.updateNodes(e)
	case scheduler.Request:
		d.open[e.ID] = &request{Request: e, deadline: d.now + e.TimeLeft - 2*d.set.Tick}
	case scheduler.ClientLeft:
		delete(d.open, e.ID)
	case scheduler.TimerFired:
		d.timerSet = false
	case scheduler.AttemptEnded:
		r := d.open[e.ID]
		if r == nil {
			return
		}
		if r.attemptNode != nil {
			r.attemptNode.running--
			r.attemptNode = nil
		}
		if e.Final {
			delete(d.open, e.ID)
			return
		}
		r.mayHaveRun = r.mayHaveRun || e.Result == scheduler.Errored || e.Result == scheduler.TimedOut || e.Result == scheduler.Reset
		if r.mayHaveRun && d.set.Classes[r.Class].Idempotency != scheduler.Idempotent || r.attempts >= d.set.MaxAttempts {
			d.finish(r)
		}
	}
}

func (d *Decider) updateNodes(e scheduler.EndpointsChanged) {
	if e.Full {
		for _, n := range d.nodes {
			n.State = scheduler.Removed
		}
	}
	for _, l := range e.Endpoints {
		known := d.nodes[l.Shard]
		switch {
		case known != nil && known.Node == l.Node:
			known.Endpoint = l
		case l.State == scheduler.Running || known == nil:
			d.nodes[l.Shard] = &node{Endpoint: l}
		}
	}
}

// dispatch starts the attempts that are allowed, in the order of arrival, and ends requests that can't be answered in time.
func (d *Decider) dispatch() {
	waiting := make([]*request, 0, len(d.open))
	for _, r := range d.open {
		if r.attemptNode == nil {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.deadline-a.TimeLeft, b.deadline-b.TimeLeft), cmp.Compare(a.ID, b.ID))
	})
	anyWaiting := false
	for _, r := range waiting {
		n := d.nodeFor(r)
		switch {
		case r.attempts == 0 && d.now > r.deadline-r.TimeLeft/2 || d.now >= r.deadline:
			d.finish(r)
		case n != nil && n.State == scheduler.Running && (d.window == 0 || n.running < d.window) && d.takeUnits(r):
			n.running++
			r.attemptNode, r.attempts = n, r.attempts+1
			d.actions = append(d.actions, scheduler.StartAttempt{ID: r.ID, Node: n.Node})
		case n == nil || d.window == 0: // waiting would not help
			d.finish(r)
		default:
			anyWaiting = true
		}
	}
	if anyWaiting && !d.timerSet {
		d.timerSet = true
		d.actions = append(d.actions, scheduler.SetTimer{At: d.now + 5*d.set.Tick})
	}
}

// nodeFor returns the node that holds a request's data. Requests for new objects go to the running nodes in round-robin order.
func (d *Decider) nodeFor(r *request) *node {
	if r.Shard >= 0 || len(d.nodes) == 0 {
		return d.nodes[r.Shard]
	}
	if !r.mayHaveRun {
		for range len(d.nodes) {
			d.lastShard = (d.lastShard + 1) % len(d.nodes)
			if n := d.nodes[d.lastShard]; n != nil && n.State == scheduler.Running {
				return n
			}
		}
	}
	return nil
}

// takeUnits takes a request's units from this front's equal share of the limit, at its first attempt only. It reports whether the
// limit allows the request.
func (d *Decider) takeUnits(r *request) bool {
	p := d.set.Plans[r.Plan]
	if p.Limit <= 0 || r.attempts > 0 {
		return true
	}
	fronts := float64(max(r.Fronts, 1))
	s := d.buckets[r.Volume]
	if s == nil {
		s = &bucket{p.Burst / fronts, d.now}
		d.buckets[r.Volume] = s
	}
	s.level = min(p.Burst/fronts, s.level+p.Limit/fronts*float64(d.now-s.at)/1e6)
	s.at = d.now
	if s.level < r.Units {
		return false
	}
	s.level -= r.Units
	return true
}

func (d *Decider) finish(r *request) {
	delete(d.open, r.ID)
	if r.mayHaveRun && d.set.Classes[r.Class].Idempotency != scheduler.Idempotent {
		d.actions = append(d.actions, scheduler.Fail{ID: r.ID})
		return
	}
	d.actions = append(d.actions, scheduler.Reject{ID: r.ID})
}
