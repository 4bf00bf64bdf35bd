package window

import "testing"

func TestSumsTheSpanAndForgetsTheRest(t *testing.T) {
	w := New[int64](10)
	for at := range int64(100) {
		w.Add(at, 1)
	}
	if got := w.Sum(99); got != 11 { // 89 to 99, both ends
		t.Errorf("sum %v, want 11", got)
	}
	if len(w.items) > 2*11 { // places are given back in halves
		t.Errorf("%d kept, want 11", len(w.items))
	}
	w.Add(105, -2.5)
	if got := w.Sum(105); got != 5-2.5 { // 95 to 99 and the last
		t.Errorf("sum %v, want 2.5", got)
	}
	w.Clear()
	if got := w.Sum(105); got != 0 {
		t.Errorf("sum %v after Clear", got)
	}
}
