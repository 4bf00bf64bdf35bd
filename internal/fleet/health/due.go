package health

import (
	"container/heap"

	"otterturn/scheduler"
)

// dueQueue is a heap of the nodes with a scheduled review, ordered by its time.
type dueQueue []*node

func (q dueQueue) Len() int           { return len(q) }
func (q dueQueue) Less(i, j int) bool { return q[i].due < q[j].due }
func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface; only container/heap calls it.
func (q *dueQueue) Push(x any) {
	n := x.(*node)
	*q = append(*q, n)
	n.heapIndex = len(*q)
}

// Pop implements heap.Interface; only container/heap calls it.
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	n := (*q)[last]
	(*q)[last] = nil
	*q, n.heapIndex = (*q)[:last], 0
	return n
}

// set schedules the review of a node and replaces an earlier time.
func (q *dueQueue) set(n *node, at scheduler.Micros) {
	if n.heapIndex > 0 && n.due == at {
		return
	}
	n.due = at
	if n.heapIndex > 0 {
		heap.Fix(q, n.heapIndex-1)
		return
	}
	heap.Push(q, n)
}

// remove removes a node if the queue contains it.
func (q *dueQueue) remove(n *node) {
	if n.heapIndex > 0 {
		heap.Remove(q, n.heapIndex-1)
	}
}

// take removes and returns a node whose review is due, nil if there is none.
func (q *dueQueue) take(now scheduler.Micros) *node {
	if len(*q) == 0 || (*q)[0].due > now {
		return nil
	}
	return heap.Pop(q).(*node)
}
