package slowstart

import "testing"

// Answers add capacity for a span, grants until they end.
func TestCapacityExpires(t *testing.T) {
	config := newConfig(4, true)
	guard := config.NewGuard()
	now := 1_000_000 * ms
	guard.Granted(now, 3, now+config.grantValidity())
	guard.Sent(now, 2)
	if got := guard.Capacity(now); got != 1 {
		t.Errorf("capacity %v after 2 of 3 granted units were sent, want 1", got)
	}
	guard.Granted(now+config.grantValidity()/2, 1, now+config.grantValidity()+config.grantValidity()/2)
	if got := guard.Capacity(now + config.grantValidity()/2); got != 1 {
		t.Errorf("capacity %v after a second grant, want its 1 unit without the rest of the first grant", got)
	}
	guard.Answered(now, "piece", 2, 100*ms)
	if got := guard.Capacity(now + 2*config.grantValidity()); got != 2 {
		t.Errorf("capacity %v after an answer of 2 units and the end of the grant, want 2", got)
	}
	guard.Sent(now+2*config.grantValidity(), 2)
	if got := guard.Capacity(now + 3*config.grantValidity()); got != 0 {
		t.Errorf("capacity %v after all of it was sent, want 0", got)
	}
	if got := guard.Capacity(now + 2*config.OverloadSpan); got != 0 {
		t.Errorf("capacity %v more than a span after the answer, want 0", got)
	}
}

// A series of requests for one piece costs a node little work. Guards against sending it as many units of other requests
// afterwards, which would overload it.
func TestRequestsForOnePieceAddLittleCapacity(t *testing.T) {
	config := newConfig(4, true)
	guard := config.NewGuard()
	now := 1_000_000 * ms
	for range 20 {
		guard.Answered(now, "piece", 2, 10*ms)
	}
	if got := guard.Capacity(now); got > 2+19*2*cachedPieceCost {
		t.Errorf("capacity %v after 20 requests for one piece, want at most 2 units and a quarter of 38", got)
	}
	slowNode := config.NewGuard()
	slowNode.Answered(now, "piece", 2, 200*ms)
	for range 20 {
		slowNode.Answered(now, "piece", 2, 10*ms)
	}
	if got := slowNode.TakeReport(); got.Units != 2 || got.Time != 0.2 {
		t.Errorf("report %+v, want 2 units in a fifth of a span from the first request alone", got)
	}
}
