package admission

import "math"

// Arrival is the result of Arrive. A request that is neither admitted nor rejected waits.
type Arrival struct {
	Admitted          bool
	Ticket            Ticket // identifies the request if it waits
	Rejected          bool
	RetryAfter        int64  // time after which the client of a rejected request should retry
	Evicted           Ticket // waiting request that is rejected in place of this one, below 0 for none
	EvictedRetryAfter int64  // time after which the client of the evicted request should retry
}

// Arrive admits, queues or rejects a request of a project and a client. If no place is free, a waiting request may be evicted
// for it: the last request of the client with the most waiting requests, in the project queue with the highest waiting cost.
// cost is in the unit of Release's cost. weight is the plan's share of the capacity that is not reserved
// (scheduler.Plan.Weight).
func (q *Queue) Arrive(now int64, projectID, clientID string, cost, weight float64) Arrival {
	p, c := q.find(projectID, clientID)
	a, increment := Arrival{Evicted: noTicket}, increment(cost, weight)
	if q.admitted < q.config.MaxAdmitted && q.waiting == 0 {
		q.admit(p, c, increment)
		a.Admitted = true
		return a
	}
	if q.firstFree == noTicket {
		costliest, maxCost := p, p.cost+cost
		for i := range q.queues {
			if other := &q.queues[i]; other.cost > maxCost {
				costliest, maxCost = other, other.cost
			}
		}
		// A flood is at the expense of its own project: projects with a lower waiting cost lose no requests to it.
		if costliest == p && q.busiestClient(p).count <= c.count+1 {
			a.Rejected, a.RetryAfter = true, q.retryAfter(now, p, cost)
			return a
		}
		a.Evicted = q.busiestClient(costliest).last
		a.EvictedRetryAfter = q.Expire(now, a.Evicted)
	}
	a.Ticket = q.firstFree
	w := &q.pool[a.Ticket]
	q.firstFree = w.next
	*w = waiter{project: p, client: c, cost: cost, increment: increment, prev: c.last, next: noTicket}
	if c.last != noTicket {
		q.pool[c.last].next = a.Ticket
	} else {
		c.first, c.tag = a.Ticket, max(c.tag, p.minTag())
	}
	c.last = a.Ticket
	if p.count == 0 {
		p.tag = max(p.tag, q.tag)
		q.active.Set(&p.timer, p.tag)
	}
	c.count, p.count, p.cost, q.waiting, q.cost = c.count+1, p.count+1, p.cost+cost, q.waiting+1, q.cost+cost
	return a
}

// minTag returns the lowest tag of the clients with waiting requests, at which a client's queue begins, or 0.
func (p *project) minTag() int64 {
	minTag := int64(math.MaxInt64)
	for i := range p.clients {
		if c := &p.clients[i]; c.count > 0 {
			minTag = min(minTag, c.tag)
		}
	}
	if minTag == math.MaxInt64 {
		return 0
	}
	return minTag
}

// busiestClient returns the client with the most waiting requests.
func (q *Queue) busiestClient(p *project) *client {
	busiest := &p.clients[0]
	for i := range p.clients {
		if p.clients[i].count > busiest.count {
			busiest = &p.clients[i]
		}
	}
	return busiest
}

func (q *Queue) admit(p *project, c *client, increment int64) {
	p.tag = max(p.tag, q.tag)
	q.tag = p.tag
	p.tag, c.tag = p.tag+increment, c.tag+increment
	q.admitted++
}

// Release ends an admitted request, which was held for a time in microseconds, and returns the requests admitted in its place.
func (q *Queue) Release(cost float64, held int64) (admitted []Ticket) {
	q.admitted--
	// By Little's law, requests leave at this rate while the maximum is admitted, even if fewer are admitted now.
	if q.meanHeld == 0 {
		q.meanHeld, q.meanCost = float64(max(held, 1)), cost
	}
	q.meanHeld += (float64(max(held, 1)) - q.meanHeld) / averagedRequests
	q.meanCost += (cost - q.meanCost) / averagedRequests
	q.rate = float64(q.config.MaxAdmitted) * q.meanCost / q.meanHeld
	for q.admitted < q.config.MaxAdmitted && q.waiting > 0 {
		p, _ := q.active.Due(math.MaxInt64)
		var next *client
		for i := range p.clients {
			if c := &p.clients[i]; c.count > 0 && (next == nil || c.tag < next.tag) {
				next = c
			}
		}
		t := next.first
		increment := q.pool[t].increment
		q.active.Set(&p.timer, p.tag) // remove stops the timer if no request is left
		q.remove(t)
		q.admit(p, next, increment)
		if p.count > 0 {
			q.active.Set(&p.timer, p.tag)
		}
		admitted = append(admitted, t)
	}
	return admitted
}
