package slowstart

import "testing"

// Room comes from answers, for a span, and from grants, until they end.
func TestRoomFades(t *testing.T) {
	f := config(4, true)
	g := f.NewGuard()
	now := 1_000_000 * ms
	g.Granted(now, 3, now+f.grantValidity())
	g.Sent(now, 2)
	if got := g.Capacity(now); got != 1 {
		t.Errorf("room for %v of a grant of 3, 2 sent", got)
	}
	g.Granted(now+f.grantValidity()/2, 1, now+f.grantValidity()+f.grantValidity()/2)
	if got := g.Capacity(now + f.grantValidity()/2); got != 1 {
		t.Errorf("room for %v: what is left of a grant lasts as long as the next one", got)
	}
	g.Answered(now, "piece", 2, 100*ms)
	if got := g.Capacity(now + 2*f.grantValidity()); got != 2 {
		t.Errorf("room for %v behind an answer of 2, the grant over", got)
	}
	g.Sent(now+2*f.grantValidity(), 2)
	if got := g.Capacity(now + 3*f.grantValidity()); got != 0 {
		t.Errorf("room for %v, all used", got)
	}
	if got := g.Capacity(now + 2*f.OverloadSpan); got != 0 {
		t.Errorf("room for %v a span later", got)
	}
}

// A run of requests for one piece costs a node little. As many others behind it would push it over.
func TestARunOnOnePieceMakesLittleRoom(t *testing.T) {
	f := config(4, true)
	g := f.NewGuard()
	now := 1_000_000 * ms
	for range 20 {
		g.Answered(now, "piece", 2, 10*ms)
	}
	if got := g.Capacity(now); got > 2+19*2*cachedPieceCost {
		t.Errorf("room for %v units behind a run", got)
	}
	slow := f.NewGuard()
	slow.Answered(now, "piece", 2, 200*ms)
	for range 20 {
		slow.Answered(now, "piece", 2, 10*ms)
	}
	if got := slow.TakeReport(); got.Units != 2 || got.Time != 0.2 {
		t.Errorf("shown %+v, the first request alone shows 2 units in a fifth of a span", got)
	}
}
