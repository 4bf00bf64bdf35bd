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

func (q *queue[T]) isEmpty() bool { return q.first == len(q.items) }

func (q *queue[T]) head() T { return q.items[q.first] }

// pop removes the head. Once more than half of the slice is free, it moves the remaining items to the start.
func (q *queue[T]) pop() {
	var zero T
	q.items[q.first] = zero
	q.first++
	if q.first*2 > len(q.items) {
		kept := copy(q.items, q.items[q.first:])
		clear(q.items[kept:])
		q.items, q.first = q.items[:kept], 0
	}
}

func (f *front) requestByID(id string) *openRequest {
	number, err := strconv.ParseUint(id, 36, 64)
	if err != nil {
		return nil
	}
	return f.openRequests[number]
}

// startAttempt sends an attempt of a request to a node.
func (f *front) startAttempt(now scheduler.Micros, a scheduler.StartAttempt) {
	r := f.requestByID(a.ID)
	if r == nil {
		f.events = append(f.events, scheduler.AttemptEnded{ID: a.ID, Result: scheduler.NotStarted})
		return
	}
	node := f.nodeNumbers[a.Node]
	r.inFlight, r.node, r.sentAt = true, node, now
	f.counts.currentSecond[attempts]++
	f.digest.add(uint64(now), r.number, uint64(node))
	sent := now
	if f.idleConnections[node] > 0 {
		f.idleConnections[node]--
	} else {
		f.counts.currentSecond[connections]++
		sent += 2 * f.world.links.delay(f.id, f.world.nodeID(node))
	}
	if f.health != nil {
		f.health.attemptStarted(a.Node, a.ID, int(r.nextAttempt))
	}
	f.send(sent, message{to: f.world.nodeID(node), kind: kindAttempt, number: r.number, attempt: r.nextAttempt, value: r.units})
	r.nextAttempt++
}

// handleReply ends the attempt that a node replies to.
func (f *front) handleReply(m *message) {
	r := f.openRequests[m.number]
	if r == nil || !r.inFlight || r.nextAttempt-1 != m.attempt {
		return
	}
	if m.result == scheduler.OK || m.result == scheduler.QueueFull {
		f.idleConnections[r.node]++
	} else {
		f.idleConnections[r.node] = 0
	}
	f.endAttempt(m.at, r, m.result)
}

func (f *front) endAttempt(at scheduler.Micros, r *openRequest, result scheduler.Result) {
	r.inFlight = false
	ended := scheduler.AttemptEnded{
		ID: r.id, Attempt: int(r.nextAttempt - 1), Result: result, Latency: at - r.sentAt, Final: result == scheduler.OK,
	}
	if f.health != nil {
		f.health.attemptEnded(f.nodeNames[r.node], ended)
	}
	if ended.Final {
		f.closeRequest(r, served)
	}
	f.events = append(f.events, ended)
}

// endRequest closes a request that the scheduler rejected or failed.
func (f *front) endRequest(id string, outcome counter) {
	if r := f.requestByID(id); r != nil {
		f.closeRequest(r, outcome)
	}
}

func (f *front) closeRequest(r *openRequest, outcome counter) {
	r.ended = true
	f.counts.currentSecond[outcome]++
	if outcome != served {
		f.world.watched.recordUnserved(f, r, f.now)
	}
	delete(f.openRequests, r.number)
}

// expireOverdue ends requests that reached their deadline and probes that timed out.
func (f *front) expireOverdue(end scheduler.Micros) {
	for !f.deadlines.isEmpty() && f.deadlines.head().deadline < end {
		r := f.deadlines.head()
		f.deadlines.pop()
		switch {
		case r.ended:
		case r.inFlight:
			f.counts.currentSecond[unanswered]++
			f.world.watched.countUnanswered(f, r)
			f.endAttempt(r.deadline, r, scheduler.TimedOut)
		default:
			f.closeRequest(r, failed)
			f.events = append(f.events, scheduler.ClientLeft{ID: r.id})
		}
	}
	for !f.probeTimeouts.isEmpty() && f.probeTimeouts.head().failsAt < end {
		p := f.probeTimeouts.head()
		f.probeTimeouts.pop()
		f.endProbe(p.number, false, -1)
	}
}
