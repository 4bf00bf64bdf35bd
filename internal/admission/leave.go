package admission

// Expire removes a request that waits, as its time is up or another takes its place, and returns the time in microseconds
// after which it should come back. That time is promised to its project.
func (q *Queue) Expire(now int64, t Ticket) (after int64) {
	w := q.pool[t]
	q.remove(t)
	return q.retryAfter(now, w.project, w.cost)
}

// Cancel removes a request that waits and whose client left: nobody is told when to come back, so its project is
// promised nothing, and those who stay are not put off by it.
func (q *Queue) Cancel(t Ticket) { q.remove(t) }

func (q *Queue) remove(t Ticket) {
	w := q.pool[t]
	if w.prev != none {
		q.pool[w.prev].next = w.next
	} else {
		w.client.first = w.next
	}
	if w.next != none {
		q.pool[w.next].prev = w.prev
	} else {
		w.client.last = w.prev
	}
	w.client.count--
	w.project.count--
	w.project.cost -= w.cost
	q.waiting--
	q.cost -= w.cost
	if w.project.count == 0 {
		w.project.cost = 0
		q.active.Stop(&w.project.timer)
	}
	q.pool[t] = waiter{next: q.free}
	q.free = t
}

// retryAfter is when a refused request of a project will find room: once what waits has left, and what was promised to its
// project before. Each project that holds a promise has an equal part of the rate at which all leave, so a flood puts its
// own returns off and no one else's. It is spread by a twentieth to both sides, so that those refused together don't
// return as one: spread to one side alone, the last of them came back a tenth late and left room idle meanwhile.
func (q *Queue) retryAfter(now int64, p *project, cost float64) int64 {
	for due, ok := q.promised.Due(now); ok; due, ok = q.promised.Due(now) {
		due.claims, q.claims = false, q.claims-1
	}
	if q.rate <= 0 {
		return int64(float64(q.config.MaxRetryAfter) * (0.5 + q.rng.Float64()/2))
	}
	if !p.claims {
		p.claims, q.claims = true, q.claims+1
	}
	p.until = max(p.until, now+int64(q.cost/q.rate)) + int64(cost/q.rate*float64(q.claims))
	p.until = min(p.until, now+q.config.MaxRetryAfter)
	q.promised.Set(&p.promise, p.until)
	return min(q.config.MaxRetryAfter, int64(float64(p.until-now)*(0.95+q.rng.Float64()/10)))
}
