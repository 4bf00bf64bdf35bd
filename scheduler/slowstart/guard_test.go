package slowstart

import "testing"

// Answers add capacity for a span, grants until they end.
func TestRoomFades(t *testing.T) {
	f := config(4, true)
	g := f.NewGuard()
	now := 1_000_000 * ms
	g.Granted(now, 3, now+f.grantValidity())
	g.Sent(now, 2)
	if got := g.Capacity(now); got != 1 {
		t.Errorf("capacity %v after 2 of 3 granted units were sent, want 1", got)
	}
	g.Granted(now+f.grantValidity()/2, 1, now+f.grantValidity()+f.grantValidity()/2)
	if got := g.Capacity(now + f.grantValidity()/2); got != 1 {
		t.Errorf("capacity %v after a second grant, want its 1 unit without the rest of the first grant", got)
	}
	g.Answered(now, "piece", 2, 100*ms)
	if got := g.Capacity(now + 2*f.grantValidity()); got != 2 {
		t.Errorf("capacity %v after an answer of 2 units and the end of the grant, want 2", got)
	}
	g.Sent(now+2*f.grantValidity(), 2)
	if got := g.Capacity(now + 3*f.grantValidity()); got != 0 {
		t.Errorf("capacity %v after all of it was sent, want 0", got)
	}
	if got := g.Capacity(now + 2*f.OverloadSpan); got != 0 {
		t.Errorf("capacity %v more than a span after the answer, want 0", got)
	}
}

// A series of requests for one piece costs a node little work. Guards against sending it as many units of other requests
// afterwards, which would overload it.
func TestARunOnOnePieceMakesLittleRoom(t *testing.T) {
	f := config(4, true)
	g := f.NewGuard()
	now := 1_000_000 * ms
	for range 20 {
		g.Answered(now, "piece", 2, 10*ms)
	}
	if got := g.Capacity(now); got > 2+19*2*cachedPieceCost {
		t.Errorf("capacity %v after 20 requests for one piece, want at most 2 units and a quarter of 38", got)
	}
	slow := f.NewGuard()
	slow.Answered(now, "piece", 2, 200*ms)
	for range 20 {
		slow.Answered(now, "piece", 2, 10*ms)
	}
	if got := slow.TakeReport(); got.Units != 2 || got.Time != 0.2 {
		t.Errorf("report %+v, want 2 units in a fifth of a span from the first request alone", got)
	}
}
