package scheduler // The two loops of SlowFast CoDel, and what they are fed.

import (
	"cmp"

	"otterturn/scheduler/curve"
	"otterturn/scheduler/quantile"
)

// sample feeds an outcome to the loops and to the judgement of the node's health.
func (s *Scheduler) sample(n *node, r *request, e Outcome) {
	switch e.Result {
	case OK, Errored:
		n.Answered, n.mute = s.now, 0
		if s.isCold(n) {
			s.answered(n, r, e.Latency)
		}
		if e.Result == Errored {
			n.Errors += (1 - n.Errors) / errorsSeen
		} else {
			n.Errors -= n.Errors / errorsSeen
		}
		if n.failing() && e.Result == Errored {
			// What fails does so quickly: as a latency it drew ever more to a node that serves nothing.
			n.fullTo = s.now + s.aim/2
			return
		}
		l := n.normal(float64(e.Latency), r.Units, s.set.MeanUnits)
		for _, q := range s.queues(n, r) {
			s.agenda.Wake(&q.entry)
			s.judge(q, l)
			q.low, q.minLatency = min(l, cmp.Or(q.low, l)), min(l, cmp.Or(q.minLatency, l))
			q.served, q.latency, q.answers = q.served+r.Units, q.latency+l, q.answers+1
		}
	case Expired:
		n.Answered, n.mute = s.now, 0
	case Full:
		// A full queue takes long to empty: what is sent before is turned away again or late.
		n.Answered, n.mute, n.fullTo = s.now, 0, s.now+fullAims*s.aim
		n.Budget = max(n.Budget/2, s.set.MeanUnits)
	case TimedOut:
		if r.overtaken >= lostAfter {
			n.lossAt = s.now
		} else {
			for _, q := range s.queues(n, r) {
				s.judge(q, float64(e.Latency))
			}
		}
		if n.Answered < s.now-s.stallAfter(n) {
			n.mute = cmp.Or(n.mute, s.now)
		}
	case Unreachable, Reset:
		// The process died or is about to be replaced: what answers next may be cold before the list says so.
		// But an answer may be lost, or a connection break, without that: a probe sent at once will tell.
		if e.Alive {
			return
		}
		if e.Result == Unreachable {
			n.broke = 0
		} else if n.broke == 0 {
			n.former, n.broke = n.Suspect, s.now
		}
		n.mute, n.Suspect, n.probeAt = cmp.Or(n.mute, s.now), s.now, s.now
		s.anew(n)
	}
}

// queues are what an attempt waits in: the node, and for a new object the pool of all nodes too. One of many
// hosts meets a node too seldom to see an overload: some node always seems quick, and all hosts overload it.
// Could hurt where few slow nodes stand for all. Reserved work still leaves.
func (s *Scheduler) queues(n *node, r *request) []*node {
	if r.placed {
		return []*node{n, s.pool}
	}
	return []*node{n}
}

// judge smooths the latency of answers and time-outs. One request of each of many hosts fills a node, and a
// budget below one request would need more answers than a host gets. So what is not reserved pauses, the
// longer the further the last two latencies were over the target: a slow interval at most.
func (s *Scheduler) judge(n *node, l float64) {
	n.Usual = cmp.Or(n.Usual, l)
	n.Usual += (l - n.Usual) / 8
	over := min(l, n.Before) / max(n.Target, float64(s.aim)/2)
	if over > 1 && n.Budget <= s.set.MeanUnits {
		n.pausedTo = s.now + min(slowInterval, Micros(l*(over*over-1)))
	}
	n.Before, n.Judged = l, s.now
	if n != s.pool {
		s.slow -= s.slow / seldom
		if l > float64(s.aim) {
			s.slow += 1.0 / seldom
		}
	}
}

// normal scales a latency to a request of mean size. Else small requests, and repeats that the node
// remembers, set a minimum that no other reaches. A unit's time is a low quantile, the rest is waiting.
func (n *node) normal(latency, units, mean float64) float64 {
	n.Unit = quantile.Low(n.Unit, latency/units)
	return max(0, latency-units*n.Unit) + mean*n.Unit
}

// fastLoop is Queuing Budget Adjusting CoDel.
func (s *Scheduler) fastLoop(n *node) {
	if !n.entry.Fast.Ended(s.now) {
		return
	}
	if n.minLatency > 0 {
		n.calm = n.minLatency <= n.Target/2
		if n.minLatency > n.Target {
			n.Budget *= n.Target / n.minLatency
		} else if n.wasFull { // the hosts together grow by one mean request
			n.Budget += s.set.MeanUnits / float64(s.set.Hosts)
		}
		n.Budget = min(max(n.Budget, s.set.MeanUnits), capRequests*s.set.MeanUnits)
		n.minLatency, n.wasFull = 0, false
	}
	s.agenda.RestFast(&n.entry)
}

// slowLoop adds a point to the throughput-latency curve; the target is where its slope meets the trade-off.
func (s *Scheduler) slowLoop(n *node) {
	if !n.entry.Slow.Ended(s.now) {
		return
	}
	if end, _ := n.entry.Slow.SeparateEnd(); n.answers > 0 && end > 0 {
		span := float64(s.now-end+slowInterval) / float64(second)
		p := curve.Point{Throughput: n.served / span, Latency: n.latency / n.answers, Low: n.low}
		n.Curve = n.Curve.Add(p, curvePoints)
		at, low := n.Curve.Meets(tradeOff)
		n.Target = max(2*low, min(at, float64(s.aim)/2))
	}
	n.served, n.latency, n.answers, n.low = 0, 0, 0, 0
	s.agenda.RestSlow(&n.entry)
}
