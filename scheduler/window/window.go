// Package window adds up amounts over a sliding span of time. It reads no clock.
package window

// Window holds the amounts of the last span, each with its time. Times must not go back.
type Window[T ~int64] struct {
	span  T
	items []item[T]
	first int     // what stands before has left
	sum   float64 // of the others
}

type item[T ~int64] struct {
	at     T
	amount float64
}

// New returns an empty window over a span.
func New[T ~int64](span T) Window[T] { return Window[T]{span: span} }

// Add takes in an amount.
func (w *Window[T]) Add(now T, amount float64) {
	w.evict(now)
	w.items = append(w.items, item[T]{now, amount})
	w.sum += amount
}

// Sum adds up what is not older than the span.
func (w *Window[T]) Sum(now T) (sum float64) {
	w.evict(now)
	return w.sum
}

// evict lets go of what is too old. Places are given back once half of them are empty, and the sum is made anew then:
// what was added and taken off again leaves a rest of rounding.
func (w *Window[T]) evict(now T) {
	before := w.first
	for w.first < len(w.items) && w.items[w.first].at < now-w.span {
		w.sum -= w.items[w.first].amount
		w.first++
	}
	if w.first == before || w.first < len(w.items)/2 {
		return
	}
	w.items = append(w.items[:0], w.items[w.first:]...)
	w.first, w.sum = 0, 0
	for _, i := range w.items {
		w.sum += i.amount
	}
}

// Clear empties the window.
func (w *Window[T]) Clear() { w.items, w.first, w.sum = nil, 0, 0 }
