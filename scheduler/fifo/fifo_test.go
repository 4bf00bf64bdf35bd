package fifo

import "testing"

func TestOnlyTheHeadOfAKeyStartsAndAfterThePause(t *testing.T) {
	s := New[int64, string]()
	if !s.MayStart("k", "a", 0, false) {
		t.Error("a member of a key without a queue may not start")
	}
	s.Push("k", "a")
	s.Push("k", "b")
	s.Push("other", "c")
	if !s.MayStart("k", "a", 1, false) || s.MayStart("k", "b", 1, false) || !s.MayStart("other", "c", 1, false) {
		t.Error("the head of a key may not start, or another member may")
	}
	s.PauseUntil("k", 10)
	if s.MayStart("k", "a", 10, false) || !s.MayStart("k", "a", 10, true) || !s.MayStart("k", "a", 11, false) {
		t.Error("a pause does not block members that have not started until its end, or blocks one that has started")
	}
	s.Remove("k", "a", 5, 0)
	if s.MayStart("k", "b", 10, false) || !s.MayStart("k", "b", 11, false) {
		t.Error("the next member may start before the end of the pause, or may not start after it")
	}
	s.Remove("k", "b", 11, 0)
	if len(s.byKey) != 1 { // "other"
		t.Errorf("%d keys, want 1", len(s.byKey))
	}
}
