// Package window sums amounts over a sliding time window. It reads no clock.
package window

// Window holds the amounts of the last span, each with its time. Times must not decrease from call to call.
type Window[T ~int64] struct {
	span  T
	items []item[T]
	first int     // index of the first item that is within the span
	sum   float64 // of the items from first on
}

type item[T ~int64] struct {
	at     T
	amount float64
}

// New returns an empty window of the given span.
func New[T ~int64](span T) Window[T] { return Window[T]{span: span} }

// Add adds an amount at the time now.
func (w *Window[T]) Add(now T, amount float64) {
	w.evict(now)
	w.items = append(w.items, item[T]{now, amount})
	w.sum += amount
}

// Sum returns the sum of the amounts that are not older than the span.
func (w *Window[T]) Sum(now T) (sum float64) {
	w.evict(now)
	return w.sum
}

// evict removes the items that are older than the span. Once they make up half of the slice, it compacts the slice and
// recomputes the sum, because adding and subtracting amounts accumulates rounding errors.
func (w *Window[T]) evict(now T) {
	oldFirst := w.first
	for w.first < len(w.items) && w.items[w.first].at < now-w.span {
		w.sum -= w.items[w.first].amount
		w.first++
	}
	if w.first == oldFirst || w.first < len(w.items)/2 {
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
