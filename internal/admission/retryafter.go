package admission

// Expire removes a waiting request whose time has run out or that is evicted. It returns the time in microseconds after which
// its client should retry, and counts that time as promised to the project.
func (q *Queue) Expire(now int64, t Ticket) (delay int64) {
	w := q.pool[t]
	q.remove(t)
	return q.retryAfter(now, w.project, w.cost)
}

// Cancel removes a waiting request whose client disconnected. Its client gets no answer, so no retry time is promised to its
// project, and the retries of other clients are not delayed.
func (q *Queue) Cancel(t Ticket) { q.remove(t) }

func (q *Queue) remove(t Ticket) {
	w := q.pool[t]
	if w.prev != noTicket {
		q.pool[w.prev].next = w.next
	} else {
		w.client.first = w.next
	}
	if w.next != noTicket {
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
	q.pool[t] = waiter{next: q.firstFree}
	q.firstFree = t
}

// retryAfter returns the time after which a rejected request of a project can be admitted: when the waiting requests have left,
// and those that were promised a time to the same project before. Each project with a promised time has an equal share of the
// rate at which requests leave, so a flood delays only its own retries. The time is spread at random by up to a twentieth in
// both directions, so that requests which are rejected together are not retried together. With a spread in one direction, the
// last of them were retried a tenth late and capacity was unused until then.
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
	p.promisedUntil = max(p.promisedUntil, now+int64(q.cost/q.rate)) + int64(cost/q.rate*float64(q.claims))
	p.promisedUntil = min(p.promisedUntil, now+q.config.MaxRetryAfter)
	q.promised.Set(&p.promise, p.promisedUntil)
	return min(q.config.MaxRetryAfter, int64(float64(p.promisedUntil-now)*(0.95+q.rng.Float64()/10)))
}
