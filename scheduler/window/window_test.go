package window

import "testing"

func TestSumCoversTheSpan(t *testing.T) {
	w := New[int64](10)
	for at := range int64(100) {
		w.Add(at, 1)
	}
	if got := w.Sum(99); got != 11 { // 89 to 99, both included
		t.Errorf("sum %v, want 11", got)
	}
	if len(w.items) > 2*11 { // compacted when half of the items are evicted
		t.Errorf("%d items, of which 11 are within the span; want at most 22", len(w.items))
	}
	w.Add(105, -2.5)
	if got := w.Sum(105); got != 5-2.5 { // 95 to 99 and the last amount
		t.Errorf("sum %v, want 2.5", got)
	}
	w.Clear()
	if got := w.Sum(105); got != 0 {
		t.Errorf("sum %v after Clear, want 0", got)
	}
}
