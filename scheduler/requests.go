package scheduler // The life of a request: taken, sent again or not, given up on, refused.

import (
	"cmp"
	"slices"

	"otterturn/scheduler/tokenbucket"
)

type request struct {
	Request
	class           *Class
	vol             *volume
	aimAt, deadline Micros
	sends           []attempt
	out             int      // attempts without an outcome
	ran             *attempt // the first that may have run
	until           Micros   // a repeat of that one must begin by then
	overtaken       int      // later sends to the same node that were answered before the attempt that is out
	cancelled       bool     // the attempt that is out was taken back
	drawn           bool     // has taken its units from the limit's bucket
	away            float64  // units that it took, and that no node may have counted yet
	done            bool
	placed          bool // a new object, whose shard is this host's choice
	flow            *flow
}

// origin is what a request keeps when its client brings it again.
func (r *request) origin() Request {
	return Request{Class: r.Class, Volume: r.Volume, Key: r.Key, Units: r.Units}
}

type attempt struct {
	node *node
	sent Micros
}

func (r *request) lastSend() Micros { return r.sends[len(r.sends)-1].sent }

// volume holds what counts over all nodes: the reservation tag and the limit's token bucket.
type volume struct {
	name    string
	index   int // of its plan
	plan    *Plan
	hosts   float64
	reserve float64 // reservation tag: due once it is not after now
	bucket  tokenbucket.Bucket[Micros]
	away    float64 // units drawn that no node may have counted yet
	open    int     // requests that are not over
	closed  Micros  // none since then
}

// admit takes a client's request: it is held until the loops, the order and the guards let it leave.
func (s *Scheduler) admit(e Request) {
	if e.Class < 0 || e.Class >= len(s.set.Classes) || e.Plan < 0 || e.Plan >= len(s.set.Plans) {
		s.out = append(s.out, Refuse{ID: e.ID, Why: Unusable})
		return
	}
	e.Units = cmp.Or(max(e.Units, 0), 1)
	r := s.request(e)
	// A client's next try ends when the first would have. Its worth goes by the first one's aim.
	p, again := s.refused.Get(r.origin())
	if again && max(r.deadline-p.deadline, p.deadline-r.deadline) <= s.margin() {
		r.aimAt = min(r.aimAt, p.aimAt)
	}
	s.reqs[e.ID] = r
	r.vol.open++
	if r.class.InOrder && e.Key != "" {
		s.byKey.Push(e.Key, r)
	}
	s.allowance.Request(s.now)
	s.hold(r)
}

// request is a request as it is held. Its aim ends with its client's time at the latest: work for clients
// that have gone would crowd out the rest. Could hurt where the usual latency is misjudged.
func (s *Scheduler) request(e Request) *request {
	c := &s.set.Classes[e.Class]
	return &request{Request: e, class: c, vol: s.volume(e), aimAt: s.now + min(c.Aim, e.Left),
		deadline: s.now + e.Left, placed: e.Shard < 0}
}

// margin is how long before its end a request is not sent any more.
func (s *Scheduler) margin() Micros { return 2 * s.set.Tick }

// volume finds or opens a volume. A limit's bucket starts with its part of half the slack: what a former
// self of this host spent is not known after a restart, and two may come before the part is full again.
func (s *Scheduler) volume(e Request) *volume {
	v := s.volumes.GetOrCreate(e.Volume, s.forgotten, func() *volume {
		v := &volume{name: e.Volume, index: e.Plan, plan: &s.set.Plans[e.Plan], hosts: 1, closed: s.now}
		v.bucket.At, v.bucket.Level = s.began, s.initialLevel(v.plan)/float64(max(e.Hosts, 1))
		return v
	})
	v.hosts = max(v.hosts, float64(e.Hosts))
	s.fill(v)
	return v
}

// reservation is the rate, in units a microsecond, at which this host's reservation tags advance: its even
// part, or all of it where answers tell the service elsewhere, which counts too as in distributed mClock.
func (s *Scheduler) reservation(v *volume) float64 {
	if s.set.Elsewhere {
		return v.plan.Reservation / float64(second)
	}
	return v.plan.Reservation / v.hosts / float64(second)
}

// kept is how much of a reservation's store waits for requests worth more than this one, as time.
func (s *Scheduler) kept(r *request) float64 {
	return (1 - r.class.Worth/s.worth) / 2 * (float64(second) + s.set.MostUnits/s.reservation(r.vol))
}

// fill adds this host's part of the limit since the last time. What was drawn counts once it reaches a node,
// long after where nodes are cut off. Until then it takes up room in the bucket, which would be full again by
// then, and as much would be sent beyond the burst.
func (s *Scheduler) fill(v *volume) {
	v.bucket.Fill(s.now, v.rate(), max(0, v.plan.Burst/v.hosts-v.away))
}

// landed notes that a request's units have been counted, or never will be.
func (r *request) landed() { r.vol.away, r.away = r.vol.away-r.away, 0 }

func (v *volume) rate() float64 { return v.plan.Limit / v.hosts / float64(second) }

// outcome ends an attempt: the node's loops learn from it, the request is over or gets another chance.
func (s *Scheduler) outcome(e Outcome) {
	r := s.reqs[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.sends) {
		return
	}
	a := r.sends[e.Attempt]
	n := a.node
	s.agenda.Touch(&n.entry)
	if i := slices.Index(n.pending, r); i >= 0 {
		if e.Result == OK || e.Result == Errored {
			for _, p := range n.pending[:i] {
				p.overtaken++
			}
		}
		n.pending = slices.Delete(n.pending, i, i+1)
		for _, q := range s.queues(n, r) {
			q.outUnits -= r.Units
		}
		r.out--
	}
	r.cancelled = false
	if rate := s.reservation(r.vol); rate > 0 && s.set.Elsewhere {
		r.vol.reserve = min(r.vol.reserve+e.Elsewhere/rate, max(r.vol.reserve, float64(s.now)))
	}
	s.sample(n, r, e)
	ran := e.Result == Errored || e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled
	if ran && r.ran == nil {
		r.ran, r.until = &a, a.sent+r.class.Window
	}
	r.drawn = r.drawn && e.Result != Moot
	if e.Result == OK || e.Result == Errored || e.Result == Moot {
		r.landed()
	}
	if r.class.InOrder && ran && e.Result != Errored {
		s.byKey.PauseUntil(r.Key, s.now+s.set.KeyRest)
	}
	switch {
	case e.Final || r.done:
		s.close(r)
	case s.now >= r.deadline-s.margin() || e.Result == Expired || !s.mayRepeat(r):
		s.finish(r, 0, NoRepeat)
	default:
		s.hold(r)
	}
}

// mayRepeat tells whether the request may ever be sent again.
func (s *Scheduler) mayRepeat(r *request) bool {
	more := r.class.tries <= 0 || len(r.sends) < r.class.tries
	return more && (r.ran == nil || s.now < r.until-s.margin())
}

// close forgets a request once nothing of it is out. Until then its key stays taken.
func (s *Scheduler) close(r *request) {
	s.unhold(r)
	r.done = true
	if r.out > 0 {
		return
	}
	r.landed()
	delete(s.reqs, r.ID)
	if r.vol.open, r.vol.closed = r.vol.open-1, s.now; r.vol.open == 0 {
		r.vol.away = 0 // without a rest of rounding
	}
	if r.class.InOrder {
		s.byKey.Remove(r.Key, r, s.now, 2*len(s.reqs))
	}
}
