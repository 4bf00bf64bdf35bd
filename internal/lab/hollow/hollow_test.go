package hollow

import (
	"math"
	"testing"
)

// pairRate is the number of requests per second from one front to one node at full size.
const pairRate = FullRate / FullNodes

// suspectAfter is longer than the first answer over a new connection between regions takes, 60 ms here. With the 50 ms of
// health.Defaults each front would suspect each node of the other region at its first request.
const suspectAfter = 100 * millisecond

// smallSettings returns the settings of a fleet in which each front sends each node as many requests per second as at full size.
func smallSettings(fronts, nodes, zones int, health bool, seed uint64) Settings {
	set := DefaultSettings(fronts)
	set.Nodes, set.Zones, set.RequestRate, set.Health, set.Seed, set.WarmUp = nodes, zones, pairRate*float64(nodes), health, seed, second
	set.SuspectAfter = suspectAfter
	return set
}

// playPhase runs a phase on a new fleet.
func playPhase(t *testing.T, set Settings, p Phase) (*World, Result) {
	t.Helper()
	w, err := New(set, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(set.WarmUp)
	return w, w.runPhase(p)
}

// The same seed gives the same digest with any number of workers; different seeds give different digests.
func TestDigestDependsOnlyOnSeed(t *testing.T) {
	t.Parallel()
	digests := map[uint64]int{}
	phase := Phase{Name: "zone", Duration: 2 * second, begin: silenceZone}
	for _, workers := range []int{1, 4} {
		for seed := range uint64(2) {
			set := smallSettings(40, 60, 4, true, seed)
			set.Workers = workers
			_, r := playPhase(t, set, phase)
			t.Logf("seed %d, %d workers: %x", seed, workers, r.Digest)
			digests[r.Digest]++
		}
	}
	if len(digests) != 2 {
		t.Errorf("two seeds, each with 1 and 4 workers, give %d different digests, want 2", len(digests))
	}
}

// growthExponent returns the exponent of the power law by which a figure grows with the number of fronts.
func growthExponent(t *testing.T, what string, sizes, values []float64) float64 {
	t.Helper()
	f := fit(sizes, values)
	t.Logf("%s: %.4g at %v fronts, grows as n^(%.2f ± %.2f)", what, values, sizes, f.Exponent, f.ExponentError)
	return f.Exponent
}

// With shared node health, the cost of a silent node hardly grows with the size of the fleet: the exponents of messages, bytes
// and probes per front are at most 0.3, and that of the probes at the node is at most 0.2. Without it the probes at the node
// grow with the number of fronts.
func TestCostOfSilentNodePerFrontDoesNotGrowWithFleet(t *testing.T) {
	t.Parallel()
	const seed = 3
	phase := Phase{Name: "node", Duration: 6 * second, begin: silenceNode}
	sizes := []float64{24, 36, 48, 60}
	grows := map[bool]map[string]float64{}
	for _, health := range []bool{false, true} {
		var bytes, messages, probes, atNode []float64
		for _, size := range sizes {
			set := smallSettings(int(size), int(size)*3/2, 4, health, seed)
			_, r := playPhase(t, set, phase)
			bytes = append(bytes, maxOverSeconds(&r, controlTraffic)/size)
			messages = append(messages, 1+total(&r, healthSent)/size)
			probes = append(probes, total(&r, probesToWatched)/size)
			atNode = append(atNode, maxOverSeconds(&r, sumOf(probesToWatched)))
		}
		t.Logf("seed %d, health of nodes %v", seed, health)
		grows[health] = map[string]float64{
			"bytes":    growthExponent(t, "bytes per front in the worst second", sizes, bytes),
			"messages": growthExponent(t, "messages per front, plus one", sizes, messages),
			"probes":   growthExponent(t, "probes per front", sizes, probes),
			"at node":  growthExponent(t, "probes at the node in the worst second", sizes, atNode),
		}
	}
	with, without := grows[true], grows[false]
	for what, bound := range map[string]float64{"bytes": 0.3, "messages": 0.3, "probes": 0.3, "at node": 0.2} {
		if !(with[what] <= bound) {
			t.Errorf("%s grow as n^%.2f with health of nodes, want an exponent of at most %.1f", what, with[what], bound)
		}
	}
	if without["at node"] < 0.7 {
		t.Errorf("probes at the node grow as n^%.2f without health of nodes, want at least n^0.7", without["at node"])
	}
}

// A zone becomes silent, with and without shared node health. With it, the probes of the whole fleet at a silent node are
// bounded, failed requests are at most a sixth of those without it (a tenth at full size, where a zone has 120 fronts
// instead of 40), and all running fronts avoid all silent nodes.
func TestSilentZoneIsAvoidedWithBoundedProbes(t *testing.T) {
	t.Parallel()
	const seed = 5
	phase := Phase{Name: "zone", Duration: 10 * second, begin: silenceZone}
	var results [2]Result
	for i, health := range []bool{false, true} {
		_, results[i] = playPhase(t, smallSettings(120, 36, 3, health, seed), phase)
		r := &results[i]
		t.Logf("seed %d, health %v: per silent node %.0f probes per second and %.1f failed requests; 99%% avoid after %.2f s, all after %.2f s",
			seed, health, maxOverSeconds(r, sumOf(probesToWatched))/float64(r.Watched), total(r, unansweredAtWatched)/float64(r.Watched),
			timeUntil(r, r.Avoided, 0.99), timeUntil(r, r.Avoided, 1))
	}
	off, on := &results[0], &results[1]
	if probes := maxOverSeconds(on, sumOf(probesToWatched)) / float64(on.Watched); probes > probeBudget {
		t.Errorf("%.1f probes per second at each silent node, over the budget", probes)
	}
	if total(on, unansweredAtWatched)*6 > total(off, unansweredAtWatched) {
		t.Errorf("%.0f failed requests with health of nodes, %.0f without: want at most a sixth",
			total(on, unansweredAtWatched), total(off, unansweredAtWatched))
	}
	if took := timeUntil(on, on.Avoided, 1); math.IsNaN(took) || took >= timeUntil(off, off.Avoided, 1) || took > avoidBudget {
		t.Errorf("all fronts avoid all silent nodes after %.2f s: later than without health of nodes or over the budget", took)
	}
}

// avoidedPairs counts the pairs of a chosen front and a watched node that it avoids.
func avoidedPairs(w *World, chosen func(f *front) bool) (pairs int) {
	for _, f := range w.fronts {
		if !chosen(f) {
			continue
		}
		for _, at := range f.avoidedSince {
			if at > 0 {
				pairs++
			}
		}
	}
	return pairs
}

// One front reaches no node and reports this to its zone. No other front may avoid a node for that reason.
func TestOneCutOffFrontAffectsNoOther(t *testing.T) {
	t.Parallel()
	const seed, cutOff = 7, 5
	w, _ := playPhase(t, smallSettings(40, 60, 4, true, seed), Phase{Name: "blind", Duration: 6 * second, begin: func(w *World) {
		w.Watch(allNodes(w)...)
		w.links.cutOff[cutOff] = true
	}})
	own := avoidedPairs(w, func(f *front) bool { return f.id == cutOff })
	others := avoidedPairs(w, func(f *front) bool { return f.id != cutOff })
	t.Logf("seed %d: the cut-off front avoids %d nodes, the others %d", seed, own, others)
	if own == 0 || others > 0 {
		t.Errorf("the cut-off front avoids %d nodes, want some; the others avoid %d, want none", own, others)
	}
}

func allNodes(w *World) (nodes []int32) {
	for i := range w.settings.Nodes {
		nodes = append(nodes, int32(i))
	}
	return nodes
}

// Two zones are cut off from each other. Fronts of other zones may not avoid any of their nodes.
func TestZonesOutsidePartitionAreUnaffected(t *testing.T) {
	t.Parallel()
	const seed = 9
	w, _ := playPhase(t, smallSettings(40, 60, 4, true, seed), Phase{Name: "apart", Duration: 6 * second, begin: func(w *World) {
		w.Watch(append(w.zoneNodes(1), w.zoneNodes(2)...)...)
		w.links.setCut(1, 2, true)
	}})
	inside := avoidedPairs(w, func(f *front) bool { return f.world.links.zoneOf[f.id] == 1 || f.world.links.zoneOf[f.id] == 2 })
	third := avoidedPairs(w, func(f *front) bool { return f.world.links.zoneOf[f.id] == 0 || f.world.links.zoneOf[f.id] == 3 })
	t.Logf("seed %d: fronts of the separated zones avoid %d nodes, the others %d", seed, inside, third)
	if inside == 0 || third > 0 {
		t.Errorf("fronts of the separated zones avoid %d nodes, want some; the others avoid %d, want none", inside, third)
	}
}
