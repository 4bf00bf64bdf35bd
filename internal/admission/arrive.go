package admission

import "math"

// Arrival is what becomes of a request that comes.
type Arrival struct {
	Admitted          bool
	Ticket            Ticket // its place, where it waits
	Refused           bool
	RetryAfter        int64  // time after which a refused one should come back
	Evicted           Ticket // the waiting request that is refused in its place, below 0 for none
	EvictedRetryAfter int64  // time after which that one should come back
}

// Arrive admits a request of a project and a client, queues it, or refuses it, or evicts one that waits in its place: the
// last of the client that has most waiting in the project that has. Its cost is in the units that Release is told; the
// weight is its plan's share beyond what is reserved (scheduler.Plan.Weight).
func (q *Queue) Arrive(now int64, name, by string, cost, weight float64) Arrival {
	p, c := q.find(name, by)
	a, step := Arrival{Evicted: none}, step(cost, weight)
	if q.admitted < q.config.Room && q.waiting == 0 {
		q.admit(p, c, step)
		a.Admitted = true
		return a
	}
	if q.free == none {
		longest, most := p, p.cost+cost
		for i := range q.queues {
			if other := &q.queues[i]; other.cost > most {
				longest, most = other, other.cost
			}
		}
		// Who floods pays for it: a project that has no more than others, with this request, is not pushed out by them.
		if longest == p && q.heaviest(p).count <= c.count+1 {
			a.Refused, a.RetryAfter = true, q.retryAfter(now, p, cost)
			return a
		}
		a.Evicted = q.heaviest(longest).last
		a.EvictedRetryAfter = q.Expire(now, a.Evicted)
	}
	a.Ticket = q.free
	w := &q.pool[a.Ticket]
	q.free = w.next
	*w = waiter{project: p, client: c, cost: cost, step: step, prev: c.last, next: none}
	if c.last != none {
		q.pool[c.last].next = a.Ticket
	} else {
		c.first, c.tag = a.Ticket, max(c.tag, p.least())
	}
	c.last = a.Ticket
	if p.count == 0 {
		p.tag = max(p.tag, q.tag)
		q.active.Set(&p.timer, p.tag)
	}
	c.count, p.count, p.cost, q.waiting, q.cost = c.count+1, p.count+1, p.cost+cost, q.waiting+1, q.cost+cost
	return a
}

// least is the lowest tag of the clients that wait, where one that comes begins.
func (p *project) least() int64 {
	least := int64(math.MaxInt64)
	for i := range p.clients {
		if c := &p.clients[i]; c.count > 0 {
			least = min(least, c.tag)
		}
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// heaviest is the client that has most waiting.
func (q *Queue) heaviest(p *project) *client {
	most := &p.clients[0]
	for i := range p.clients {
		if p.clients[i].count > most.count {
			most = &p.clients[i]
		}
	}
	return most
}

func (q *Queue) admit(p *project, c *client, step int64) {
	p.tag = max(p.tag, q.tag)
	q.tag = p.tag
	p.tag, c.tag = p.tag+step, c.tag+step
	q.admitted++
}

// Release ends a request that was admitted, held for a time in microseconds, and returns those admitted in its place.
func (q *Queue) Release(cost float64, held int64) (admitted []Ticket) {
	q.admitted--
	// By Little's law room full of such requests leaves at this rate, also where it is not full now.
	if q.meanHeld == 0 {
		q.meanHeld, q.meanCost = float64(max(held, 1)), cost
	}
	q.meanHeld += (float64(max(held, 1)) - q.meanHeld) / smooth
	q.meanCost += (cost - q.meanCost) / smooth
	q.rate = float64(q.config.Room) * q.meanCost / q.meanHeld
	for q.admitted < q.config.Room && q.waiting > 0 {
		p, _ := q.active.Due(math.MaxInt64)
		var next *client
		for i := range p.clients {
			if c := &p.clients[i]; c.count > 0 && (next == nil || c.tag < next.tag) {
				next = c
			}
		}
		t := next.first
		step := q.pool[t].step
		q.active.Set(&p.timer, p.tag) // remove takes it out again where nothing is left
		q.remove(t)
		q.admit(p, next, step)
		if p.count > 0 {
			q.active.Set(&p.timer, p.tag)
		}
		admitted = append(admitted, t)
	}
	return admitted
}
