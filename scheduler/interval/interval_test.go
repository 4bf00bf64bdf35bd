package interval

import (
	"math/rand/v2"
	"testing"
)

// Compares grouped intervals with a model that checks every member's interval in every step.
func TestGroupedIntervalsEndAsSeparateOnes(t *testing.T) {
	const length, members = 200, 300
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewSchedule[int64](length)
	var groups [members]*Group[int64]
	var ends [members]int64
	maxGroups := 0
	for step, now := 0, int64(0); step < 20_000; step++ {
		now += 1 + rng.Int64N(12)
		if rng.IntN(100) == 0 {
			now += 500 // nothing happens for a while
		}
		busy := map[int]bool{} // members with work to do in this step
		for range rng.IntN(4) {
			i := rng.IntN(members)
			if groups[i] != nil && groups[i].End() != ends[i] {
				t.Fatalf("step %d: member %d ends at %d, want %d", step, i, groups[i].End(), ends[i])
			}
			busy[i] = true
		}
		s.Advance(now)
		for i := range members {
			if ends[i] <= now {
				ends[i] = now + length
			} else if !busy[i] {
				continue
			}
			if busy[i] || groups[i] == nil {
				ends[i] = now + length
				groups[i] = s.Begin(now)
			}
		}
		maxGroups = max(maxGroups, len(s.queue))
	}
	for i, g := range groups {
		if g.End() != ends[i] {
			t.Errorf("member %d ends at %d, want %d", i, g.End(), ends[i])
		}
	}
	if maxGroups > length {
		t.Errorf("%d groups at the same time, want at most 200", maxGroups)
	}
}
