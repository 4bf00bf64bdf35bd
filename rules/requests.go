package rules // The life of a request: taken, sent again or not, given up on, refused.

import (
	"cmp"
	"slices"

	"otterturn/rules/bucket"
)

type request struct {
	Request
	class           *Class
	vol             *volume
	aimAt, deadline Micros
	sends           []attempt
	out             int      // attempts without an outcome
	ran             *attempt // the first that may have run
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
	bucket  bucket.Bucket[Micros]
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
	p, again := s.refused.Look(r.origin())
	if again && max(r.deadline-p.deadline, p.deadline-r.deadline) <= s.margin() {
		r.aimAt = min(r.aimAt, p.aimAt)
	}
	s.reqs[e.ID] = r
	r.vol.open++
	if r.class.InOrder && e.Key != "" {
		s.turns.Join(e.Key, r)
	}
	s.allowance.Request(s.now)
	s.hold(r)
}

// request is a request as it is held. Clients may give a try up long before its aim. What can't be answered
// by then is late, whatever the aim: work for clients that have gone would crowd out the rest. Could hurt
// where the usual is misjudged.
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
	v := s.volumes.Get(e.Volume, s.forgotten, func() *volume {
		v := &volume{name: e.Volume, index: e.Plan, plan: &s.set.Plans[e.Plan], hosts: 1, closed: s.now}
		v.bucket.At, v.bucket.Level = s.began, v.plan.Slack/2/float64(max(e.Hosts, 1))
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
		r.ran = &a
	}
	r.drawn = r.drawn && e.Result != Moot
	if e.Result == OK || e.Result == Errored || e.Result == Moot {
		r.landed()
	}
	if r.class.InOrder && ran && e.Result != Errored {
		s.turns.Rest(r.Key, s.now+s.set.KeyRest)
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
	return more && (r.ran == nil || r.class.Repeat == Safe || r.class.Repeat == Keyed &&
		s.now < r.ran.sent+r.class.Window-s.margin())
}

// giveUp answers at once what won't be sent again, or can't be answered before its client leaves whatever is
// done. What may still earn, late too, goes on waiting, but not past the last step sure to come in time; what
// was never sent not past half of its time either: its client is told while it can still come again.
func (s *Scheduler) giveUp() {
	spare := wakeTicks*s.set.Tick + s.margin()
	for sh := range s.busy.All {
		for f := range sh.busy.All {
			for _, r := range slices.Clone(f.held) {
				at, half := s.answerAt(sh, r), r.deadline-r.Left/2
				if at >= r.deadline-spare || !s.mayRepeat(r) || len(r.sends) == 0 && s.now >= half-spare {
					s.finish(r, at-s.now, NotInTime)
				}
			}
		}
	}
}

// shed refuses what earns least while more is open than there is room for. Clients have only so many
// connections, and each request that is held takes one: held for little, it keeps out what a node could serve
// at once. Covers floods; could hurt where one ends just as its requests are refused.
func (s *Scheduler) shed() {
	for s.set.MaxOpen > 0 && len(s.reqs) > s.set.MaxOpen {
		sh, r := s.least()
		if r == nil {
			return
		}
		s.finish(r, s.answerAt(sh, r)-s.now, NoRoom)
	}
}

// least is the request never sent that earns least: one that will be late, then one beyond its volume's
// reservation, each time from the flow with the longest backlog for its weight.
func (s *Scheduler) least() (where *shard, worst *request) {
	rank, backlog := rankReserved, 0.0
	for sh := range s.busy.All {
		for f := range sh.busy.All {
			units := 0.0
			for _, r := range f.held {
				units += r.Units
			}
			tag := max(0, f.weight-sh.virtual) + units/max(f.vol.plan.Weight, 1e-9)
			rate := s.reservation(f.vol)
			for _, r := range f.held {
				k := rankReserved
				if s.answerAt(sh, r) > r.aimAt {
					k = rankLate
				} else if rate == 0 || f.vol.reserve+units/rate > float64(s.now+s.aim) {
					k = rankWeight
				}
				order := cmp.Or(cmp.Compare(k, rank), cmp.Compare(tag, backlog))
				if len(r.sends) > 0 || worst != nil && (order < 0 || order == 0 && before(r, worst)) {
					continue
				}
				where, worst, rank, backlog = sh, r, k, tag
			}
		}
	}
	return where, worst
}

// answerAt is the earliest that a held request may be answered, as far as this host can tell. A node that is
// gone or does not answer is expected to stay so for as long again. What it held when last heard of is served
// first; a late request waits for all others; a limit's bucket has to fill.
func (s *Scheduler) answerAt(sh *shard, r *request) Micros {
	n := sh.node
	switch {
	case n == nil:
		return 2*s.now - sh.since
	case n.mute > 0:
		return 2*s.now - n.mute
	}
	at := max(s.now, n.fullTo, n.Judged+Micros(n.Usual))
	if _, _, silent := s.live(n); silent {
		at = max(at, s.now+s.waiting(n))
	}
	at += Micros(r.Units * n.Unit)
	if s.late(n, r) {
		at = max(at, s.now+Micros(n.Usual*(n.outUnits+sh.units)/n.Budget))
	}
	if p := r.vol.plan; p.Limit > 0 && !r.drawn {
		at = max(at, s.now+Micros((r.Units-r.vol.bucket.Level)/r.vol.rate()))
	}
	return at
}

// finish gives the final answer: a refusal only where it is harmless, with the time until it may be served.
func (s *Scheduler) finish(r *request, wait Micros, why Reason) {
	c, a := r.class, Action(Fail{ID: r.ID, Why: why})
	if c.Repeat == Safe || r.ran == nil && r.out == 0 || c.Repeat == Keyed && c.Group == AllNodes {
		a = Refuse{ID: r.ID, RetryAfter: min(max(0, wait), s.set.MaxRetryAfter), Why: why}
	}
	s.out = append(s.out, a)
	s.refused.Put(r.origin(), r)
	s.close(r)
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
		s.turns.Leave(r.Key, r, s.now, 2*len(s.reqs))
	}
}
