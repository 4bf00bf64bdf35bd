package fifo

import "testing"

func TestOnlyTheHeadOfAKeyStartsAndAfterThePause(t *testing.T) {
	s := New[int64, string]()
	if !s.MayStart("k", "a", 0, false) {
		t.Error("a key without a queue is not free")
	}
	s.Push("k", "a")
	s.Push("k", "b")
	s.Push("other", "c")
	if !s.MayStart("k", "a", 1, false) || s.MayStart("k", "b", 1, false) || !s.MayStart("other", "c", 1, false) {
		t.Error("the head of each key may not start, or another may")
	}
	s.PauseUntil("k", 10)
	if s.MayStart("k", "a", 10, false) || !s.MayStart("k", "a", 10, true) || !s.MayStart("k", "a", 11, false) {
		t.Error("a pause holds back what has not started, to its end")
	}
	s.Remove("k", "a", 5, 0)
	if s.MayStart("k", "b", 10, false) || !s.MayStart("k", "b", 11, false) {
		t.Error("the next one does not start after the pause")
	}
	s.Remove("k", "b", 11, 0)
	if len(s.byKey) != 1 { // "other" alone
		t.Errorf("%d keys kept, want 1", len(s.byKey))
	}
}
