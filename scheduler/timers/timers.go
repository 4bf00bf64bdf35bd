// Package timers keeps members ordered by the time at which each is due. It reads no clock.
package timers

import "container/heap"

// Timer is the timer of one member. The zero value is a timer that is not set.
type Timer[T ~int64, M any] struct {
	Member   M
	at       T
	position int // position in the heap, from 1; 0 if the timer is not set
}

// Timers holds the timers that are set, in a heap. The zero value is empty.
type Timers[T ~int64, M any] struct{ heap timerHeap[T, M] }

type timerHeap[T ~int64, M any] []*Timer[T, M]

func (h timerHeap[T, M]) Len() int           { return len(h) }
func (h timerHeap[T, M]) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap[T, M]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

func (h *timerHeap[T, M]) Push(x any) {
	t := x.(*Timer[T, M])
	*h = append(*h, t)
	t.position = len(*h)
}

func (h *timerHeap[T, M]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h, t.position = (*h)[:last], 0
	return t
}

// Set sets a timer to a time, which replaces an earlier setting.
func (ts *Timers[T, M]) Set(t *Timer[T, M], at T) {
	t.at = at
	if t.position > 0 {
		heap.Fix(&ts.heap, t.position-1)
	} else {
		heap.Push(&ts.heap, t)
	}
}

// Stop removes a timer, if it is set.
func (ts *Timers[T, M]) Stop(t *Timer[T, M]) {
	if t.position > 0 {
		heap.Remove(&ts.heap, t.position-1)
	}
}

// Due removes and returns the member that is due first, if one is due by now.
func (ts *Timers[T, M]) Due(now T) (m M, ok bool) {
	if len(ts.heap) == 0 || ts.heap[0].at > now {
		return m, false
	}
	return heap.Pop(&ts.heap).(*Timer[T, M]).Member, true
}
