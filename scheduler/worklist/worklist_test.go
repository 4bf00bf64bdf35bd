package worklist

import "testing"

func TestMembersAreProcessedWhenSomethingIsDue(t *testing.T) {
	list := New[int64, string](10, 100)
	var x, y Entry[int64, string]
	list.Add(&x, "x")
	list.Add(&y, "y")
	next := map[string]int64{"x": Never, "y": Never}
	step := func(now int64) (processed string) {
		for m := range list.Due(now) {
			processed += m
			e := map[string]*Entry[int64, string]{"x": &x, "y": &y}[m]
			if e.Fast.Ended(now) {
				list.RestartFast(e)
			}
			if e.Slow.Ended(now) {
				list.RestartSlow(e)
			}
		}
		list.Finish(func(m string) int64 { return next[m] })
		return processed
	}
	wantProcessed := func(now int64, processed string) {
		t.Helper()
		if got := step(now); got != processed {
			t.Errorf("at %d: processed %q, want %q", now, got, processed)
		}
	}
	wantProcessed(1, "xy") // in the order in which they were added
	wantProcessed(5, "")
	wantProcessed(50, "") // idle members are not processed when their intervals end
	list.Activate(&y)
	wantProcessed(52, "y") // its fast interval is separate now and ends at 60
	wantProcessed(59, "")
	wantProcessed(61, "y")
	wantProcessed(80, "")
	wantProcessed(102, "y") // its slow interval ended at 101
	next["x"] = 150
	list.Queue(&x)
	wantProcessed(110, "x")
	next["x"] = Never
	wantProcessed(149, "")
	wantProcessed(151, "x")
	next["y"] = 165
	list.Queue(&y)
	list.Remove(&y)
	wantProcessed(160, "y")
	wantProcessed(170, "")
	if x.Compare(&y) >= 0 {
		t.Error("x does not compare as added before y")
	}
}
