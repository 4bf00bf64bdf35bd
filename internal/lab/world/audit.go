package world

import (
	"fmt"

	"otterturn/scheduler"
)

// Audit checks that all fronts together keep the rules. It sees attempts when they leave the front, or, for fronts behind
// sockets, when they reach their node. For these it does not see the end of an attempt at the front, so it does not detect
// concurrent attempts.
type Audit struct {
	world          *World
	Violations     []string                            // descriptions of the first maxViolations violations
	ViolationCount int                                 // of all violations
	Sockets        bool                                // the fronts are behind sockets
	buckets        map[string]*bucket                  // token buckets of the limits, by volume
	leavingSince   map[int]map[string]scheduler.Micros // time since when a front knows that a node is draining or removed
	requests       map[string]*requestState            // requests without a final answer
	answered       map[string]bool
}

// Tolerances of the checks, in microseconds, and the limit of Audit.Violations.
const (
	drainGrace    = scheduler.Micros(500_000)
	windowGrace   = scheduler.Micros(100_000)
	maxViolations = 100
)

type bucket struct {
	level float64
	at    scheduler.Micros
}

// requestState is the audit's state of a request.
type requestState struct {
	scheduler.Request
	attempts   int
	running    bool
	lastNode   *Node            // node of the last attempt
	lastSentAt scheduler.Micros // time of the last attempt
	ranNode    *Node            // node of the first attempt that may have run, nil for none
	ranAt      scheduler.Micros // time of that attempt
}

func newAudit(w *World) *Audit {
	return &Audit{
		world: w, buckets: map[string]*bucket{}, leavingSince: map[int]map[string]scheduler.Micros{}, requests: map[string]*requestState{},
		answered: map[string]bool{},
	}
}

func (a *Audit) addViolation(format string, args ...any) {
	if a.ViolationCount++; len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, fmt.Sprintf("%.3f s: ", float64(a.world.Elapsed())/1e6)+fmt.Sprintf(format, args...))
	}
}

// NodeListSent records which nodes a front knows to be draining or removed.
func (a *Audit) NodeListSent(front int, list scheduler.EndpointsChanged) {
	isRunning, leaving := map[string]bool{}, a.leavingSince[front]
	if leaving == nil {
		leaving = map[string]scheduler.Micros{}
		a.leavingSince[front] = leaving
	}
	for _, l := range list.Endpoints {
		isRunning[l.Node] = l.State == scheduler.Running
	}
	for _, n := range a.world.Nodes {
		if _, known := leaving[n.Name]; isRunning[n.Name] {
			delete(leaving, n.Name)
		} else if !known {
			leaving[n.Name] = a.world.Now
		}
	}
}

// RequestSubmitted records a request.
func (a *Audit) RequestSubmitted(_ int, r scheduler.Request) {
	a.requests[r.ID] = &requestState{Request: r}
}

// AttemptStarted checks an attempt: only one at a time, none after the final answer, retries only as the class allows, none to
// a node known to be draining or removed, and the project's limit over all fronts together.
func (a *Audit) AttemptStarted(front int, id, node string) {
	r, now := a.requests[id], a.world.Now
	if r == nil {
		a.addViolation("%s was sent after its final answer", id)
		return
	}
	n := a.world.Node(node)
	if r.running && !a.Sockets {
		a.addViolation("two attempts of %s at once", id)
	}
	if at, leaves := a.leavingSince[front][node]; leaves && now > at+drainGrace {
		a.addViolation("%s was sent to %s, %.3f s after it was known to leave", id, node, float64(now-at)/1e6)
	}
	class := a.world.Set.Classes[r.Class]
	if r.ranNode != nil && class.Idempotency != scheduler.Idempotent {
		switch group := class.DedupScope; {
		case class.Idempotency == scheduler.NotIdempotent:
			a.addViolation("%s was sent again after an attempt that may have run", id)
		case now > r.ranAt+class.DedupWindow+windowGrace:
			a.addViolation("%s was sent again %.3f s after an attempt that may have run", id, float64(now-r.ranAt)/1e6)
		case group == scheduler.SameShard && n.Shard != r.ranNode.Shard, group == scheduler.SameZone && n.Zone != r.ranNode.Zone:
			a.addViolation("%s was sent again to %s, which doesn't drop repeats of what %s got", id, node, r.ranNode.Name)
		}
	}
	if r.attempts == 0 {
		a.takeUnits(r.Request)
	}
	r.attempts, r.running, r.lastNode, r.lastSentAt = r.attempts+1, true, n, now
}

// takeUnits takes a request's units from the token bucket of its project's limit. A tenth of the burst, and at least one request
// of maximum size, is tolerated beyond the limit.
func (a *Audit) takeUnits(r scheduler.Request) {
	plan := a.world.Set.Plans[r.Plan]
	if plan.Limit <= 0 {
		return
	}
	s := a.buckets[r.Volume]
	if s == nil {
		s = &bucket{plan.Burst, a.world.Now}
		a.buckets[r.Volume] = s
	}
	s.level = min(plan.Burst, s.level+plan.Limit*float64(a.world.Now-s.at)/1e6) - r.Units
	s.at = a.world.Now
	if slack := max(plan.Burst/10, a.world.Set.MaxUnits); s.level < -slack {
		a.addViolation("%s is %.1f units beyond its limit", r.Volume, -s.level)
	}
}

// AttemptFinished records the result of an attempt as its front saw it.
func (a *Audit) AttemptFinished(id string, result scheduler.Result) {
	r := a.requests[id]
	if r == nil {
		return
	}
	r.running = false
	ran := result == scheduler.Errored || result == scheduler.TimedOut || result == scheduler.Reset || result == scheduler.Cancelled
	if ran && r.ranNode == nil {
		r.ranNode, r.ranAt = r.lastNode, r.lastSentAt
	}
}

// RequestAnswered checks a final answer: there is exactly one per request, and a request is only rejected if it is safe to send
// again, so not after an attempt that may have run unless all nodes drop its repeats.
func (a *Audit) RequestAnswered(id string, v Verdict, _ scheduler.Reason) {
	r := a.requests[id]
	if r == nil || a.answered[id] {
		a.addViolation("%s has a second final answer", id)
		return
	}
	class := a.world.Set.Classes[r.Class]
	if v == Refused && (r.ranNode != nil || r.running && !a.Sockets) && class.Idempotency != scheduler.Idempotent &&
		(class.Idempotency == scheduler.NotIdempotent || class.DedupScope != scheduler.AllNodes) {
		a.addViolation("%s was refused though it may have run", id)
	}
	delete(a.requests, id)
	a.answered[id] = true
}

// FailedNodes returns the number of nodes that failed by overload.
func (a *Audit) FailedNodes() (n int) {
	for _, node := range a.world.Nodes {
		if node.Failed {
			n++
		}
	}
	return n
}

// Unanswered returns the requests that have no final answer although the client has given up.
func (a *Audit) Unanswered() (ids []string) {
	for id, r := range a.requests {
		if t := a.world.open[id]; t != nil && a.world.Now > t.leavesAt+drainGrace {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
