package fifo

import "testing"

func TestOnlyTheHeadStartsAndOnlyAfterThePause(t *testing.T) {
	queues := New[int64, string]()
	if !queues.MayStart("k", "a", 0, false) {
		t.Error("a member of a key without a queue may not start")
	}
	queues.Push("k", "a")
	queues.Push("k", "b")
	queues.Push("other", "c")
	if !queues.MayStart("k", "a", 1, false) || queues.MayStart("k", "b", 1, false) || !queues.MayStart("other", "c", 1, false) {
		t.Error("the head of a key may not start, or another member may")
	}
	queues.PauseUntil("k", 10)
	if queues.MayStart("k", "a", 10, false) || !queues.MayStart("k", "a", 10, true) || !queues.MayStart("k", "a", 11, false) {
		t.Error("a pause does not block members that have not started until its end, or blocks one that has started")
	}
	queues.Remove("k", "a", 5, 0)
	if queues.MayStart("k", "b", 10, false) || !queues.MayStart("k", "b", 11, false) {
		t.Error("the next member may start before the end of the pause, or may not start after it")
	}
	queues.Remove("k", "b", 11, 0)
	if len(queues.byKey) != 1 { // "other"
		t.Errorf("%d keys, want 1", len(queues.byKey))
	}
}
