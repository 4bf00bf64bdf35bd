package slowstart

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const ms = int64(1000)

func config(hosts int, peers bool) *Config[int64] {
	return &Config[int64]{Fronts: hosts, InitialShare: 0.2, Ramp: 17000 * ms, OverloadMultiple: 2.5, OverloadSpan: 1000 * ms, SafeUnits: 8, MeasurementDoubt: 500 * ms, PeerMessages: peers}
}

// Guards against grants that together exceed the limit of a span because a granter does not know of the grants of the last
// granter, or of its own before a restart. Fronts restart and request capacity at random.
func TestGrantsOfAllHostsAddUpToThePart(t *testing.T) {
	for _, peers := range []bool{true, false} {
		for seed := range uint64(4) {
			rng := rand.New(rand.NewPCG(seed, 0))
			f := config(300, peers)
			rations, began := make([]*Allocator[int64], f.Fronts), make([]int64, f.Fronts)
			type use struct {
				at    int64
				units float64
			}
			var used []use
			granted := 0
			start := 1_800_000_000_000_000 + rng.Int64N(1<<40)
			for now := start; now < start+40_000*ms; now += 10 * ms {
				if rng.IntN(300) == 0 { // seven in ten fronts restart at once
					for i := range rations {
						if rng.IntN(10) < 7 {
							rations[i], began[i] = nil, now
						}
					}
				}
				granter, may := f.Granter("node", now)
				for range 4 {
					from := rng.IntN(f.Fronts)
					if !peers {
						from = granter
					}
					if rations[granter] == nil {
						rations[granter] = f.NewAllocator()
					}
					rations[granter].Request(now, from, CapacityRequest{Units: 1 + 5*rng.Float64()})
				}
				if rations[granter] == nil || !may || now <= began[granter]+f.GrantLifetime() {
					continue
				}
				for _, g := range rations[granter].Allocate(now, f.SafeUnitsAt(0)) {
					at := now + rng.Int64N(f.grantValidity()+1) // used at a random time within its validity
					if !f.MayHaveGranted("node", granter, at, g.ValidUntil) {
						t.Fatalf("the grant %v is not accepted at %v", g, at)
					}
					used = append(used, use{at, g.Units})
					granted++
				}
			}
			for _, last := range used {
				sum := 0.0
				for _, u := range used {
					if u.at > last.at-f.OverloadSpan && u.at <= last.at {
						sum += u.units
					}
				}
				if sum > f.SafeUnitsAt(0)+1e-9 {
					t.Fatalf("peers %v, seed %d: %.2f units sent within a span, want at most %.2f", peers, seed, sum, f.SafeUnitsAt(0))
				}
			}
			if granted < 10 {
				t.Errorf("peers %v, seed %d: %d grants, want at least 10", peers, seed, granted)
			}
		}
	}
}

// Guards against overload by grants together with as many units as are answered, for nodes of any capacity.
func TestGrantsAndAnswersAreBorne(t *testing.T) {
	f := config(300, true)
	for c := 0.1; c < 50; c += 0.1 {
		r, now := f.NewAllocator(), 1_000_000*ms
		for host := range f.Fronts { // one in ten got answers; a core has half of the node's capacity
			shown := LoadReport{Units: 2 * c, Time: 4}
			if host%10 == 0 {
				shown.Served = c / 30
			}
			r.Request(now, host, CapacityRequest{Units: 0.1, MinUnits: 0.1, Report: shown})
		}
		sum := c
		for _, g := range r.Allocate(now, f.SafeUnitsAt(0)) {
			sum += g.Units
		}
		if most := max(f.OverloadMultiple*c, f.SafeUnits); sum > most+1e-9 {
			t.Errorf("capacity %.1f: %.2f units, want at most %.2f", c, sum, most)
		}
		if c > f.SafeUnits && sum < 1.5*c {
			t.Errorf("capacity %.1f: %.2f units, want at least 1.5 times the capacity", c, sum)
		}
	}
}

// If each request is larger than the amount that may be granted, a single one is granted so that the node can show its speed.
func TestALoneRequestGoesAhead(t *testing.T) {
	f := config(300, true)
	f.SafeUnits = 1
	r, now := f.NewAllocator(), 1_000_000*ms
	r.Request(now, 0, CapacityRequest{Units: 2, MinUnits: 1})
	r.Request(now, 1, CapacityRequest{Units: 1, MinUnits: 1})
	if got := r.Allocate(now, f.SafeUnitsAt(0)); len(got) != 1 || got[0] != (Grant[int64]{0, 1, now + f.grantValidity()}) {
		t.Errorf("grants %v, want a single one of 1 unit for front 0", got)
	}
	r.Request(now, 2, CapacityRequest{Units: 6, MinUnits: 6, Report: LoadReport{Units: 36, Time: 2}})
	if got := r.Allocate(now+1, f.SafeUnitsAt(0)); len(got) != 2 || got[1].Units != 6 {
		t.Errorf("grants %v after a report of the node's speed, want two with 6 units in the second", got)
	}
}

func TestDealersTakeTurns(t *testing.T) {
	f := config(7, true)
	seen := map[int]bool{}
	for now := int64(0); now < 20*periodSpans*f.GrantLifetime(); now += f.GrantLifetime() {
		host, _ := f.Granter("node", now)
		seen[host] = true
	}
	if len(seen) != f.Fronts {
		t.Errorf("granters %v, want all %d fronts", seen, f.Fronts)
	}
	if f.MayHaveGranted("node", 0, 0, 1<<40) {
		t.Error("a grant that is valid for 12 days is accepted")
	}
}

// Guards against a request that is too large to be granted at all and blocks the others, and against smaller requests that
// overtake a waiting one for ever.
func TestAsksWaitInTurn(t *testing.T) {
	f := config(4, true)
	r := f.NewAllocator()
	now := 1_000_000 * ms
	r.Request(now, 0, CapacityRequest{Units: 9})
	r.Request(now, 1, CapacityRequest{Units: 3})
	if got := r.Allocate(now, 8); len(got) != 1 || got[0].Front != 1 {
		t.Fatalf("grants %v, want a single one for front 1", got)
	}
	r.Request(now, 2, CapacityRequest{Units: 4})
	r.Request(now, 3, CapacityRequest{Units: 1})
	if got := r.Allocate(now, 8); len(got) != 0 || !r.Pending() {
		t.Errorf("grants %v while an earlier request waits, want none and a pending request", got)
	}
	r.Request(now+f.GrantLifetime(), 2, CapacityRequest{Units: 4})
	if got := r.Allocate(now+f.GrantLifetime()+1, 8); fmt.Sprint(len(got), got[0].Front) != "1 2" {
		t.Errorf("grants %v after the first grant no longer counts, want one for front 2", got)
	}
	if r.Idle(now) {
		t.Error("idle while a grant counts")
	}
	if got := r.Allocate(now+3*f.GrantLifetime(), 8); len(got) != 0 || !r.Idle(now+3*f.GrantLifetime()) {
		t.Errorf("grants %v of requests that are too old, or not idle after all grants have ended", got)
	}
}

// Of many fronts few request capacity at a time; the reports of the others count as well, for a while and until the node
// restarts. With the reports of the requesting fronts alone a node was sent a third of its capacity.
func TestWhatAHostShowedCountsWhileOthersAsk(t *testing.T) {
	f := config(300, true)
	now := 1_000_000 * ms
	r := f.NewAllocator()
	most := func(after int64) (units float64) {
		for host := range 40 {
			r.Request(now+after, 100+host, CapacityRequest{Units: 1, MinUnits: 1})
		}
		for _, g := range r.Allocate(now+after, f.SafeUnitsAt(0)) {
			units += g.Units
		}
		r.DropRequests()
		return units
	}
	for host := range 20 {
		r.Report(now, host, LoadReport{Units: 2, Time: 0.1}) // a core does 20 units per span
		r.Report(now, host, LoadReport{Units: 2, Time: 0.1})
	}
	if got := most(2 * f.OverloadSpan); got < 20 || got > 24 { // 1.5 times 40 units in 2 spans and half a span of doubt
		t.Errorf("%v units granted after the reports of twenty fronts, want 20 to 24", got)
	}
	if got := most(2*f.OverloadSpan + 3*f.GrantLifetime()/2); got < 20 {
		t.Errorf("%v units granted 1.5 grant lifetimes later, want at least 20", got)
	}
	r.Reset()
	if got := most(2*f.OverloadSpan + 4*f.GrantLifetime()); got > f.SafeUnitsAt(0) {
		t.Errorf("%v units granted after the node restarted, want at most the safe units", got)
	}
	r.Report(now, 1, LoadReport{Units: 100, Time: 1})
	if later := now + (reportLifetimeSpans+1)*f.OverloadSpan + 5*f.GrantLifetime(); !r.Idle(later) || most(later-now) > f.SafeUnitsAt(0) {
		t.Error("a report counts after its lifetime")
	}
}

// All units that fronts reported as answered within a span count, whichever front requests capacity: they show the capacity
// of all cores, not of one. A duplicate message counts once.
func TestWhatAllHostsWereAnsweredCounts(t *testing.T) {
	f := config(300, true)
	r, now := f.NewAllocator(), 1_000_000*ms
	for host := range 30 {
		for range 2 {
			r.Report(now, host, LoadReport{Served: 2, Units: 2, Time: 1}) // a core does 2 units per span, the node 60
		}
	}
	sum := 0.0
	for host := range 200 {
		r.Request(now, 100+host, CapacityRequest{Units: 1, MinUnits: 1})
	}
	for _, g := range r.Allocate(now, f.SafeUnitsAt(0)) {
		sum += g.Units
	}
	if sum < 70 || sum > 1.5*60 {
		t.Errorf("%v units granted after 60 were answered, want 70 to 90", sum)
	}
}

// Nothing is granted at the beginning of a period, so the periods of different nodes must begin at different times.
func TestPeriodsDoNotBeginTogether(t *testing.T) {
	f := config(80, true)
	for now := int64(0); now < periodSpans*f.GrantLifetime(); now += 100 * ms {
		deals := 0
		for n := range 60 {
			if _, may := f.Granter(fmt.Sprint("node", n), now); may {
				deals++
			}
		}
		if deals < 40 {
			t.Fatalf("at %d: %d of 60 nodes have a granter that may grant, want at least 40", now, deals)
		}
	}
}
