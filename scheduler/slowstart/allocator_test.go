package slowstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const ms = int64(1000)

func newConfig(fronts int, peerMessages bool) *Config[int64] {
	return &Config[int64]{
		Fronts: fronts, InitialShare: 0.2, Ramp: 17000 * ms, OverloadMultiple: 2.5, OverloadSpan: 1000 * ms, SafeUnits: 8,
		MeasurementDoubt: 500 * ms, PeerMessages: peerMessages,
	}
}

// Guards against grants that together exceed the limit of a span because a granter does not know of the grants of the last
// granter, or of its own before a restart. Fronts restart and request capacity at random.
func TestGrantsOfAllFrontsStayWithinTheLimit(t *testing.T) {
	for _, peerMessages := range []bool{true, false} {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, 0))
			config := newConfig(300, peerMessages)
			allocators, startedAt := make([]*Allocator[int64], config.Fronts), make([]int64, config.Fronts)
			type usage struct {
				at    int64
				units float64
			}
			var used []usage
			granted := 0
			start := 1_800_000_000_000_000 + rng.Int64N(1<<40)
			for now := start; now < start+40_000*ms; now += 10 * ms {
				if rng.IntN(300) == 0 { // seven in ten fronts restart at once
					for i := range allocators {
						if rng.IntN(10) < 7 {
							allocators[i], startedAt[i] = nil, now
						}
					}
				}
				granter, mayGrant := config.Granter("node", now)
				for range 4 {
					from := rng.IntN(config.Fronts)
					if !peerMessages {
						from = granter
					}
					if allocators[granter] == nil {
						allocators[granter] = config.NewAllocator()
					}
					allocators[granter].Request(now, from, CapacityRequest{Units: 1 + 5*rng.Float64()})
				}
				if allocators[granter] == nil || !mayGrant || now <= startedAt[granter]+config.GrantLifetime() {
					continue
				}
				for _, g := range allocators[granter].Allocate(now, config.SafeUnitsAt(0)) {
					at := now + rng.Int64N(config.grantValidity()+1) // used at a random time within its validity
					if !config.MayHaveGranted("node", granter, at, g.ValidUntil) {
						t.Fatalf("the grant %v is not accepted at %v", g, at)
					}
					used = append(used, usage{at, g.Units})
					granted++
				}
			}
			for _, last := range used {
				sum := 0.0
				for _, u := range used {
					if u.at > last.at-config.OverloadSpan && u.at <= last.at {
						sum += u.units
					}
				}
				if sum > config.SafeUnitsAt(0)+1e-9 {
					t.Fatalf("peer messages %v, seed %d: %.2f units sent within a span, want at most %.2f", peerMessages, seed, sum, config.SafeUnitsAt(0))
				}
			}
			if granted < 10 {
				t.Errorf("peer messages %v, seed %d: %d grants, want at least 10", peerMessages, seed, granted)
			}
		}
	}
}

// Guards against overload by grants together with as many units as are answered, for nodes of any capacity.
func TestGrantsAndAnswersDoNotOverload(t *testing.T) {
	config := newConfig(300, true)
	for capacity := 0.1; capacity < 50; capacity += 0.1 {
		allocator, now := config.NewAllocator(), 1_000_000*ms
		for front := range config.Fronts { // one in ten got answers; a core has half of the node's capacity
			report := LoadReport{Units: 2 * capacity, Time: 4}
			if front%10 == 0 {
				report.Served = capacity / 30
			}
			allocator.Request(now, front, CapacityRequest{Units: 0.1, MinUnits: 0.1, Report: report})
		}
		sum := capacity
		for _, g := range allocator.Allocate(now, config.SafeUnitsAt(0)) {
			sum += g.Units
		}
		if maxUnits := max(config.OverloadMultiple*capacity, config.SafeUnits); sum > maxUnits+1e-9 {
			t.Errorf("capacity %.1f: %.2f units, want at most %.2f", capacity, sum, maxUnits)
		}
		if capacity > config.SafeUnits && sum < 1.5*capacity {
			t.Errorf("capacity %.1f: %.2f units, want at least 1.5 times the capacity", capacity, sum)
		}
	}
}

// If each request is larger than the amount that may be granted, a single one is granted so that the node can show its speed.
func TestSingleLargeRequestIsGranted(t *testing.T) {
	config := newConfig(300, true)
	config.SafeUnits = 1
	allocator, now := config.NewAllocator(), 1_000_000*ms
	allocator.Request(now, 0, CapacityRequest{Units: 2, MinUnits: 1})
	allocator.Request(now, 1, CapacityRequest{Units: 1, MinUnits: 1})
	if got := allocator.Allocate(now, config.SafeUnitsAt(0)); len(got) != 1 || got[0] != (Grant[int64]{0, 1, now + config.grantValidity()}) {
		t.Errorf("grants %v, want a single one of 1 unit for front 0", got)
	}
	allocator.Request(now, 2, CapacityRequest{Units: 6, MinUnits: 6, Report: LoadReport{Units: 36, Time: 2}})
	if got := allocator.Allocate(now+1, config.SafeUnitsAt(0)); len(got) != 2 || got[1].Units != 6 {
		t.Errorf("grants %v after a report of the node's speed, want two with 6 units in the second", got)
	}
}

func TestFrontsTakeTurnsAsGranter(t *testing.T) {
	config := newConfig(7, true)
	seen := map[int]bool{}
	for now := int64(0); now < 20*periodSpans*config.GrantLifetime(); now += config.GrantLifetime() {
		front, _ := config.Granter("node", now)
		seen[front] = true
	}
	if len(seen) != config.Fronts {
		t.Errorf("granters %v, want all %d fronts", seen, config.Fronts)
	}
	if config.MayHaveGranted("node", 0, 0, 1<<40) {
		t.Error("a grant that is valid for 12 days is accepted")
	}
}

// Guards against a request that is too large to be granted at all and blocks the others, and against smaller requests that
// overtake a waiting one for ever.
func TestRequestsAreGrantedInOrder(t *testing.T) {
	config := newConfig(4, true)
	allocator := config.NewAllocator()
	now := 1_000_000 * ms
	allocator.Request(now, 0, CapacityRequest{Units: 9})
	allocator.Request(now, 1, CapacityRequest{Units: 3})
	if got := allocator.Allocate(now, 8); len(got) != 1 || got[0].Front != 1 {
		t.Fatalf("grants %v, want a single one for front 1", got)
	}
	allocator.Request(now, 2, CapacityRequest{Units: 4})
	allocator.Request(now, 3, CapacityRequest{Units: 1})
	if got := allocator.Allocate(now, 8); len(got) != 0 || !allocator.Pending() {
		t.Errorf("grants %v while an earlier request waits, want none and a pending request", got)
	}
	allocator.Request(now+config.GrantLifetime(), 2, CapacityRequest{Units: 4})
	if got := allocator.Allocate(now+config.GrantLifetime()+1, 8); fmt.Sprint(len(got), got[0].Front) != "1 2" {
		t.Errorf("grants %v after the first grant no longer counts, want one for front 2", got)
	}
	if allocator.Idle(now) {
		t.Error("idle while a grant counts")
	}
	if got := allocator.Allocate(now+3*config.GrantLifetime(), 8); len(got) != 0 || !allocator.Idle(now+3*config.GrantLifetime()) {
		t.Errorf("grants %v of requests that are too old, or not idle after all grants have ended", got)
	}
}

// Of many fronts few request capacity at a time; the reports of the others count as well, for a while and until the node
// restarts. With the reports of the requesting fronts alone a node was sent a third of its capacity.
func TestReportsCountWhileOtherFrontsRequest(t *testing.T) {
	config := newConfig(300, true)
	now := 1_000_000 * ms
	allocator := config.NewAllocator()
	granted := func(after int64) (units float64) {
		for front := range 40 {
			allocator.Request(now+after, 100+front, CapacityRequest{Units: 1, MinUnits: 1})
		}
		for _, g := range allocator.Allocate(now+after, config.SafeUnitsAt(0)) {
			units += g.Units
		}
		allocator.DropRequests()
		return units
	}
	for front := range 20 {
		allocator.Report(now, front, LoadReport{Units: 2, Time: 0.1}) // a core does 20 units per span
		allocator.Report(now, front, LoadReport{Units: 2, Time: 0.1})
	}
	if got := granted(2 * config.OverloadSpan); got < 20 || got > 24 { // 1.5 times 40 units in 2 spans and half a span of doubt
		t.Errorf("%v units granted after the reports of twenty fronts, want 20 to 24", got)
	}
	if got := granted(2*config.OverloadSpan + 3*config.GrantLifetime()/2); got < 20 {
		t.Errorf("%v units granted 1.5 grant lifetimes later, want at least 20", got)
	}
	allocator.Reset()
	if got := granted(2*config.OverloadSpan + 4*config.GrantLifetime()); got > config.SafeUnitsAt(0) {
		t.Errorf("%v units granted after the node restarted, want at most the safe units", got)
	}
	allocator.Report(now, 1, LoadReport{Units: 100, Time: 1})
	if later := now + (reportLifetimeSpans+1)*config.OverloadSpan + 5*config.GrantLifetime(); !allocator.Idle(later) ||
		granted(later-now) > config.SafeUnitsAt(0) {
		t.Error("a report counts after its lifetime")
	}
}

// All units that fronts reported as answered within a span count, whichever front requests capacity: they show the capacity
// of all cores, not of one. A duplicate message counts once.
func TestAnswersToAllFrontsCount(t *testing.T) {
	config := newConfig(300, true)
	allocator, now := config.NewAllocator(), 1_000_000*ms
	for front := range 30 {
		for range 2 {
			allocator.Report(now, front, LoadReport{Served: 2, Units: 2, Time: 1}) // a core does 2 units per span, the node 60
		}
	}
	sum := 0.0
	for front := range 200 {
		allocator.Request(now, 100+front, CapacityRequest{Units: 1, MinUnits: 1})
	}
	for _, g := range allocator.Allocate(now, config.SafeUnitsAt(0)) {
		sum += g.Units
	}
	if sum < 70 || sum > 1.5*60 {
		t.Errorf("%v units granted after 60 were answered, want 70 to 90", sum)
	}
}

// Nothing is granted at the beginning of a period, so the periods of different nodes must begin at different times.
func TestPeriodsDoNotBeginTogether(t *testing.T) {
	config := newConfig(80, true)
	for now := int64(0); now < periodSpans*config.GrantLifetime(); now += 100 * ms {
		granters := 0
		for n := range 60 {
			if _, mayGrant := config.Granter(fmt.Sprint("node", n), now); mayGrant {
				granters++
			}
		}
		if granters < 40 {
			t.Fatalf("at %d: %d of 60 nodes have a granter that may grant, want at least 40", now, granters)
		}
	}
}
