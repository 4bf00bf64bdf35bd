package sockets

import (
	"math"
	"testing"
	"time"

	"otterturn/internal/lab/scenario"
)

// A short day on sockets with real fronts gives the same result as in virtual time within a tolerance, and violates no
// rule. 'make agree' compares more days with a smaller tolerance.
func TestSocketsAgreeWithVirtualTime(t *testing.T) {
	s, err := scenario.Calm(4, 2, 6*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	s.Happens = []scenario.Event{{At: 2 * time.Second, What: "die", Share: 0.25, Back: 2 * time.Second}}
	want, err := s.Play(1, scenario.CurrentScheduler)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Play(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("share in time: on sockets %.3f, in virtual time %.3f; median of reads %d and %d us; %v, %v", got.Share(), want.Share(),
		got.Latency[0].ValueAtQuantile(50), want.Latency[0].ValueAtQuantile(50), got.Ended, want.Ended)
	if len(got.Breaks) > 0 || got.Fallen > 0 || got.Requests != want.Requests {
		t.Errorf("rules violated: %v; %d nodes overloaded; %d requests, want %d", got.Breaks, got.Fallen, got.Requests, want.Requests)
	}
	if math.Abs(got.Share()-want.Share()) > 0.1 {
		t.Errorf("share in time: on sockets %.3f, in virtual time %.3f", got.Share(), want.Share())
	}
}
