package hollow

import (
	"strconv"

	"otterturn/scheduler"
)

// queue is a first-in, first-out queue; items are pushed in the order in which they are due.
type queue[T any] struct {
	items []T
	first int
}

func (q *queue[T]) push(item T) { q.items = append(q.items, item) }

func (q *queue[T]) empty() bool { return q.first == len(q.items) }

func (q *queue[T]) head() T { return q.items[q.first] }

// pop removes the head. Once more than half of the slice is free, it moves the remaining items to the start.
func (q *queue[T]) pop() {
	var none T
	q.items[q.first] = none
	q.first++
	if q.first*2 > len(q.items) {
		kept := copy(q.items, q.items[q.first:])
		clear(q.items[kept:])
		q.items, q.first = q.items[:kept], 0
	}
}

func (f *front) call(id string) *call {
	number, err := strconv.ParseUint(id, 36, 64)
	if err != nil {
		return nil
	}
	return f.calls[number]
}

// attempt sends an attempt of a request to a node.
func (f *front) attempt(now scheduler.Micros, a scheduler.StartAttempt) {
	c := f.call(a.ID)
	if c == nil {
		f.events = append(f.events, scheduler.AttemptEnded{ID: a.ID, Result: scheduler.NotStarted})
		return
	}
	node := f.numbers[a.Node]
	c.out, c.node, c.sent = true, node, now
	f.counts.now[attempts]++
	f.digest.add(uint64(now), c.number, uint64(node))
	sent := now
	if f.idle[node] > 0 {
		f.idle[node]--
	} else {
		f.counts.now[connections]++
		sent += 2 * f.world.links.delay(f.id, f.world.nodeID(node))
	}
	if f.health != nil {
		f.health.attemptStarted(a.Node, a.ID, int(c.attempt))
	}
	f.send(sent, message{to: f.world.nodeID(node), kind: kindAttempt, number: c.number, attempt: c.attempt, value: c.units})
	c.attempt++
}

// replied handles a node's reply to an attempt.
func (f *front) replied(m *message) {
	c := f.calls[m.number]
	if c == nil || !c.out || c.attempt-1 != m.attempt {
		return
	}
	if m.result == scheduler.OK || m.result == scheduler.QueueFull {
		f.idle[c.node]++
	} else {
		f.idle[c.node] = 0
	}
	f.outcome(m.at, c, m.result)
}

func (f *front) outcome(at scheduler.Micros, c *call, result scheduler.Result) {
	c.out = false
	o := scheduler.AttemptEnded{ID: c.id, Attempt: int(c.attempt - 1), Result: result, Latency: at - c.sent, Final: result == scheduler.OK}
	if f.health != nil {
		f.health.attemptEnded(f.names[c.node], o)
	}
	if o.Final {
		f.close(c, served)
	}
	f.events = append(f.events, o)
}

// end closes a request that the scheduler rejected or failed.
func (f *front) end(id string, how figure) {
	if c := f.call(id); c != nil {
		f.close(c, how)
	}
}

func (f *front) close(c *call, how figure) {
	c.over = true
	f.counts.now[how]++
	if how != served {
		f.world.watched.unserved(f, c, f.now)
	}
	delete(f.calls, c.number)
}

// expire ends requests that reached their deadline and probes that timed out.
func (f *front) expire(end scheduler.Micros) {
	for !f.deadlines.empty() && f.deadlines.head().deadline < end {
		c := f.deadlines.head()
		f.deadlines.pop()
		switch {
		case c.over:
		case c.out:
			f.counts.now[unanswered]++
			f.world.watched.unanswered(f, c)
			f.outcome(c.deadline, c, scheduler.TimedOut)
		default:
			f.close(c, failed)
			f.events = append(f.events, scheduler.ClientLeft{ID: c.id})
		}
	}
	for !f.late.empty() && f.late.head().at < end {
		p := f.late.head()
		f.late.pop()
		f.probeEnded(p.number, false, -1)
	}
}
