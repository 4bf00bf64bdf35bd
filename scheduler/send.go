package scheduler // What is sent, and when.

import (
	"math"
	"slices"
)

// dispatch sends what budgets, order and guards allow.
func (s *Scheduler) dispatch() {
	s.replace()
	var ready []*node
	for sh := range s.busy.All {
		ready = append(ready, sh.nodes...)
	}
	slices.SortFunc(ready, func(a, b *node) int { return a.entry.Before(&b.entry) })
	for _, n := range ready {
		sh := s.shard(n.Shard)
		for n.State == Running && sh.units > 0 && n.mute == 0 && s.now >= n.fullTo {
			r, rank := s.pick(n, sh, math.Inf(1))
			if r != nil && s.wary(n) {
				s.probe(n)
				break
			}
			if r == nil || !s.takes(n, r, rank) {
				break
			}
			if !s.bears(n, r) {
				s.requestRoom(n, sh, r)
				if r, rank = s.pick(n, sh, n.cold.Room(s.now)); r == nil || !s.takes(n, r, rank) {
					break
				}
			}
			s.send(n, sh, r, rank == rankReserved)
		}
	}
}

// takes tells whether a node may be sent the request that is next for it.
func (s *Scheduler) takes(n *node, r *request, rank int) bool {
	if n.failing() { // whatever its rank: waiting makes it late, and the late wait for others
		return len(n.pending) == 0
	}
	units, count, silent := s.live(n)
	// The node's own queue knows no order: what is worth little waits here until it is short. Could
	// hurt where the minimum never comes down, though what is reserved or alone still leaves.
	switch {
	case rank != rankReserved && s.now < n.pausedTo,
		rank == rankLate && (units > 0 || !n.calm && !s.set.LateWanted && s.now < n.Judged+4*slowInterval),
		rank == rankWeight && !n.calm && count > 0,
		silent && (count > 0 || s.now > n.heard+fastInterval && s.set.Probing): // one trial, after a probe
		return false
	case len(n.pending) >= capRequests || count > 0 && units+r.Units > n.Budget:
		n.wasFull = true
		return false
	}
	return true
}

// Ready tells whether a request that came now would be sent at once, for callers that can wait before they
// submit it. Also where the node is away or silent, as waiting brings no room, and for one request of each
// volume while others are held for the shard, or it would never be sent.
func (s *Scheduler) Ready(now Micros, e Request) bool {
	s.now = now
	sh, r := s.shard(e.Shard), s.request(e)
	n := sh.node
	f, has := s.flows.Get(flowKey{sh, r.vol})
	if n == nil || n.mute > 0 {
		return true
	}
	stands := sh.units > 0 && (!has || len(f.held) == 0)
	return (s.set.MaxOpen <= 0 || len(s.reqs) < s.set.MaxOpen) && s.now >= n.fullTo && s.eligible(n, r) &&
		s.bears(n, r) && (stands || s.wary(n) || s.takes(n, r, s.rank(r, s.late(n, r))))
}

// send starts an attempt and advances the tags.
func (s *Scheduler) send(n *node, sh *shard, r *request, reserved bool) {
	f, v := r.flow, r.vol
	s.unhold(r)
	if v.plan.Limit > 0 && !r.drawn {
		v.away, r.away = v.away+r.Units, r.Units
		if r.drawn = true; v.bucket.Draw(s.now, r.Units, s.lease(v)) {
			s.out = append(s.out, WriteDown{})
		}
	}
	if rate := s.reservation(v); rate > 0 {
		// An idle volume keeps a second of its reservation and one largest request; work beyond is no debt.
		tag := max(v.reserve, float64(s.now-second)-s.set.MostUnits/rate) + r.Units/rate
		if !reserved {
			tag = min(tag, max(v.reserve, float64(s.now)))
		}
		v.reserve = tag
	}
	sh.virtual = max(sh.virtual, f.weight)
	f.weight, f.last = f.weight+r.Units/max(v.plan.Weight, 1e-9), s.now
	if len(r.sends) > 0 {
		s.allowance.Further(s.now)
	}
	if s.isCold(n) {
		n.cold.Sent(s.now, r.Units)
	}
	r.sends = append(r.sends, attempt{n, s.now})
	r.out, r.overtaken, n.lastSend = r.out+1, 0, s.now
	s.agenda.Touch(&n.entry)
	n.pending = append(n.pending, r)
	for _, q := range s.queues(n, r) {
		q.outUnits += r.Units
	}
	s.out = append(s.out, Send{ID: r.ID, Node: n.Node, Until: r.until})
}
