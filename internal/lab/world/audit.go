package world

import (
	"fmt"

	"otterturn/scheduler"
)

// Audit checks that all fronts together keep the rules. It sees attempts when they leave the front, or, for fronts behind
// sockets, when they reach their node. For these it does not see the end of an attempt at the front, so it does not detect
// concurrent attempts.
type Audit struct {
	world    *World
	Breaks   []string                            // descriptions of the first mostBreaks violations
	Count    int                                 // number of violations
	Sockets  bool                                // the fronts are behind sockets
	stores   map[string]*store                   // token buckets of the limits, by volume
	leave    map[int]map[string]scheduler.Micros // time since when a front knows that a node is draining or removed
	requests map[string]*record                  // requests without a final answer
	answered map[string]bool
}

// Tolerances of the checks, in microseconds, and the limit of Audit.Breaks.
const (
	drainGrace  = scheduler.Micros(500_000)
	windowGrace = scheduler.Micros(100_000)
	mostBreaks  = 100
)

type store struct {
	level float64
	at    scheduler.Micros
}

// record is the audit's state of a request.
type record struct {
	scheduler.Request
	tries int
	out   bool
	node  *Node            // node of the last attempt
	sent  scheduler.Micros // time of the last attempt
	ran   *Node            // node of the first attempt that may have run, nil for none
	ranAt scheduler.Micros // time of that attempt
}

func newAudit(w *World) *Audit {
	return &Audit{
		world: w, stores: map[string]*store{}, leave: map[int]map[string]scheduler.Micros{}, requests: map[string]*record{},
		answered: map[string]bool{},
	}
}

func (a *Audit) broken(format string, args ...any) {
	if a.Count++; len(a.Breaks) < mostBreaks {
		a.Breaks = append(a.Breaks, fmt.Sprintf("%.3f s: ", float64(a.world.Since())/1e6)+fmt.Sprintf(format, args...))
	}
}

// Told records which nodes a front knows to be draining or removed.
func (a *Audit) Told(front int, list scheduler.EndpointsChanged) {
	running, leaves := map[string]bool{}, a.leave[front]
	if leaves == nil {
		leaves = map[string]scheduler.Micros{}
		a.leave[front] = leaves
	}
	for _, l := range list.Endpoints {
		running[l.Node] = l.State == scheduler.Running
	}
	for _, n := range a.world.Nodes {
		if _, known := leaves[n.Name]; running[n.Name] {
			delete(leaves, n.Name)
		} else if !known {
			leaves[n.Name] = a.world.Now
		}
	}
}

// Asked records a request.
func (a *Audit) Asked(_ int, r scheduler.Request) { a.requests[r.ID] = &record{Request: r} }

// Sent checks an attempt: only one at a time, none after the final answer, retries only as the class allows, none to a node
// known to be draining or removed, and the project's limit over all fronts together.
func (a *Audit) Sent(front int, id, node string) {
	r, now := a.requests[id], a.world.Now
	if r == nil {
		a.broken("%s was sent after its final answer", id)
		return
	}
	n := a.world.Node(node)
	if r.out && !a.Sockets {
		a.broken("two attempts of %s at once", id)
	}
	if at, leaves := a.leave[front][node]; leaves && now > at+drainGrace {
		a.broken("%s was sent to %s, %.3f s after it was known to leave", id, node, float64(now-at)/1e6)
	}
	class := a.world.Set.Classes[r.Class]
	if r.ran != nil && class.Idempotency != scheduler.Idempotent {
		switch group := class.DedupScope; {
		case class.Idempotency == scheduler.NotIdempotent:
			a.broken("%s was sent again after an attempt that may have run", id)
		case now > r.ranAt+class.DedupWindow+windowGrace:
			a.broken("%s was sent again %.3f s after an attempt that may have run", id, float64(now-r.ranAt)/1e6)
		case group == scheduler.SameShard && n.Shard != r.ran.Shard, group == scheduler.SameZone && n.Zone != r.ran.Zone:
			a.broken("%s was sent again to %s, which doesn't drop repeats of what %s got", id, node, r.ran.Name)
		}
	}
	if r.tries == 0 {
		a.draw(r.Request)
	}
	r.tries, r.out, r.node, r.sent = r.tries+1, true, n, now
}

// draw takes a request's units from the token bucket of its project's limit. A tenth of the burst, and at least one request
// of maximum size, is tolerated beyond the limit.
func (a *Audit) draw(r scheduler.Request) {
	plan := a.world.Set.Plans[r.Plan]
	if plan.Limit <= 0 {
		return
	}
	s := a.stores[r.Volume]
	if s == nil {
		s = &store{plan.Burst, a.world.Now}
		a.stores[r.Volume] = s
	}
	s.level = min(plan.Burst, s.level+plan.Limit*float64(a.world.Now-s.at)/1e6) - r.Units
	s.at = a.world.Now
	if slack := max(plan.Burst/10, a.world.Set.MaxUnits); s.level < -slack {
		a.broken("%s is %.1f units beyond its limit", r.Volume, -s.level)
	}
}

// Back records the result of an attempt as its front saw it.
func (a *Audit) Back(id string, result scheduler.Result) {
	r := a.requests[id]
	if r == nil {
		return
	}
	r.out = false
	ran := result == scheduler.Errored || result == scheduler.TimedOut || result == scheduler.Reset || result == scheduler.Cancelled
	if ran && r.ran == nil {
		r.ran, r.ranAt = r.node, r.sent
	}
}

// Answered checks a final answer: there is exactly one per request, and a request is only rejected if it is safe to send it
// again, so not after an attempt that may have run unless all nodes drop its repeats.
func (a *Audit) Answered(id string, v Verdict, _ scheduler.Reason) {
	r := a.requests[id]
	if r == nil || a.answered[id] {
		a.broken("%s has a second final answer", id)
		return
	}
	class := a.world.Set.Classes[r.Class]
	if v == Refused && (r.ran != nil || r.out && !a.Sockets) && class.Idempotency != scheduler.Idempotent && (class.Idempotency == scheduler.NotIdempotent || class.DedupScope != scheduler.AllNodes) {
		a.broken("%s was refused though it may have run", id)
	}
	delete(a.requests, id)
	a.answered[id] = true
}

// Fallen returns the number of nodes that failed by overload.
func (a *Audit) Fallen() (n int) {
	for _, node := range a.world.Nodes {
		if node.Fallen {
			n++
		}
	}
	return n
}

// Unanswered returns the requests that have no final answer although the client has given up.
func (a *Audit) Unanswered() (ids []string) {
	for id, r := range a.requests {
		if t := a.world.open[id]; t != nil && a.world.Now > t.leave+drainGrace {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
