package worklist

import "testing"

func TestMembersAreLookedAtWhenSomethingIsDue(t *testing.T) {
	a := New[int64, string](10, 100)
	var x, y Entry[int64, string]
	a.Add(&x, "x")
	a.Add(&y, "y")
	next := map[string]int64{"x": Never, "y": Never}
	step := func(now int64) (looked string) {
		for m := range a.Due(now) {
			looked += m
			e := map[string]*Entry[int64, string]{"x": &x, "y": &y}[m]
			if e.Fast.Ended(now) {
				a.RestartFast(e)
			}
			if e.Slow.Ended(now) {
				a.RestartSlow(e)
			}
		}
		a.Finish(func(m string) int64 { return next[m] })
		return looked
	}
	want := func(now int64, looked string) {
		t.Helper()
		if got := step(now); got != looked {
			t.Errorf("at %d: processed %q, want %q", now, got, looked)
		}
	}
	want(1, "xy") // in the order in which they were added
	want(5, "")
	want(50, "") // idle members are not processed when their intervals end
	a.Activate(&y)
	want(52, "y") // its fast interval is separate now and ends at 60
	want(59, "")
	want(61, "y")
	want(80, "")
	want(102, "y") // its slow interval ended at 101
	next["x"] = 150
	a.Queue(&x)
	want(110, "x")
	next["x"] = Never
	want(149, "")
	want(151, "x")
	next["y"] = 165
	a.Queue(&y)
	a.Remove(&y)
	want(160, "y")
	want(170, "")
	if x.Compare(&y) >= 0 {
		t.Error("x does not compare as added before y")
	}
}
