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

// small returns the settings of a fleet in which each front sends each node as many requests per second as at full size.
func small(fronts, nodes, zones int, health bool, seed uint64) Settings {
	set := Default(fronts)
	set.Nodes, set.Zones, set.Rate, set.Health, set.Seed, set.Warm = nodes, zones, pairRate*float64(nodes), health, seed, second
	set.SuspectAfter = suspectAfter
	return set
}

// play runs a phase on a new fleet.
func play(t *testing.T, set Settings, p Phase) (*World, Result) {
	t.Helper()
	w, err := New(set, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(set.Warm)
	return w, w.play(p)
}

// The same seed gives the same digest with any number of workers; different seeds give different digests.
func TestSameSeedSameDigest(t *testing.T) {
	t.Parallel()
	digests := map[uint64]int{}
	phase := Phase{Name: "zone", Span: 2 * second, do: zoneGone}
	for _, workers := range []int{1, 4} {
		for seed := range uint64(2) {
			set := small(40, 60, 4, true, seed)
			set.Workers = workers
			_, r := play(t, set, phase)
			t.Logf("seed %d, %d workers: %x", seed, workers, r.Digest)
			digests[r.Digest]++
		}
	}
	if len(digests) != 2 {
		t.Errorf("two seeds, each with 1 and 4 workers, give %d different digests, want 2", len(digests))
	}
}

// exponent returns the exponent of the power law by which a figure grows with the number of fronts.
func exponent(t *testing.T, what string, sizes, values []float64) float64 {
	t.Helper()
	f := fit(sizes, values)
	t.Logf("%s: %.4g at %v fronts, grows as n^(%.2f ± %.2f)", what, values, sizes, f.Exponent, f.ExpError)
	return f.Exponent
}

// With health of nodes, the cost of a silent node hardly grows with the size of the fleet: the exponents of messages, bytes
// and probes per front are at most 0.3, and that of the probes at the node is at most 0.2. Without it the probes at the node
// grow with the number of fronts.
func TestWhatAFrontPaysDoesNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	const seed = 3
	phase := Phase{Name: "node", Span: 6 * second, do: nodeDies}
	sizes := []float64{24, 36, 48, 60}
	grows := map[bool]map[string]float64{}
	for _, health := range []bool{false, true} {
		var bytes, messages, probes, atNode []float64
		for _, size := range sizes {
			set := small(int(size), int(size)*3/2, 4, health, seed)
			_, r := play(t, set, phase)
			bytes = append(bytes, peak(&r, control)/size)
			messages = append(messages, 1+total(&r, healthSent)/size)
			probes = append(probes, total(&r, probesWatched)/size)
			atNode = append(atNode, peak(&r, sum(probesWatched)))
		}
		t.Logf("seed %d, health of nodes %v", seed, health)
		grows[health] = map[string]float64{
			"bytes":    exponent(t, "bytes per front in the worst second", sizes, bytes),
			"messages": exponent(t, "messages per front, plus one", sizes, messages),
			"probes":   exponent(t, "probes per front", sizes, probes), "at node": exponent(t, "probes at the node in the worst second", sizes, atNode),
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

// A zone becomes silent, with and without health of nodes. With it, the probes of the whole fleet at a silent node are
// bounded, failed requests are at most a sixth of those without it (a tenth at full size, where a zone has 120 fronts instead of 40),
// and all running fronts avoid all silent nodes.
func TestZoneGone(t *testing.T) {
	t.Parallel()
	const seed = 5
	phase := Phase{Name: "zone", Span: 10 * second, do: zoneGone}
	var results [2]Result
	for i, health := range []bool{false, true} {
		_, results[i] = play(t, small(120, 36, 3, health, seed), phase)
		r := &results[i]
		t.Logf("seed %d, health of nodes %v: %.0f probes per second and %.1f failed requests per silent node, 99%% of the pairs avoided after %.2f s, all after %.2f s",
			seed, health, peak(r, sum(probesWatched))/float64(r.Watched), total(r, paid)/float64(r.Watched), until(r, r.Avoided, 0.99), until(r, r.Avoided, 1))
	}
	off, on := &results[0], &results[1]
	if most := peak(on, sum(probesWatched)) / float64(on.Watched); most > probeBudget {
		t.Errorf("%.1f probes per second at each silent node, over the budget", most)
	}
	if total(on, paid)*6 > total(off, paid) {
		t.Errorf("%.0f failed requests with health of nodes, %.0f without: want at most a sixth", total(on, paid), total(off, paid))
	}
	if took := until(on, on.Avoided, 1); math.IsNaN(took) || took >= until(off, off.Avoided, 1) || took > avoidBudget {
		t.Errorf("all fronts avoid all silent nodes after %.2f s: later than without health of nodes or over the budget", took)
	}
}

// avoiding counts the pairs of a chosen front and a watched node that it avoids.
func avoiding(w *World, chosen func(f *front) bool) (pairs int) {
	for _, f := range w.fronts {
		if !chosen(f) {
			continue
		}
		for _, at := range f.avoided {
			if at > 0 {
				pairs++
			}
		}
	}
	return pairs
}

// One front reaches no node and reports this to its zone. No other front may avoid a node for that reason.
func TestOneWrongFrontCondemnsNothing(t *testing.T) {
	t.Parallel()
	const seed, wrong = 7, 5
	w, _ := play(t, small(40, 60, 4, true, seed), Phase{Name: "blind", Span: 6 * second, do: func(w *World) {
		w.Watch(allNodes(w)...)
		w.links.blind[wrong] = true
	}})
	own := avoiding(w, func(f *front) bool { return f.id == wrong })
	others := avoiding(w, func(f *front) bool { return f.id != wrong })
	t.Logf("seed %d: the cut-off front avoids %d nodes, the others %d", seed, own, others)
	if own == 0 || others > 0 {
		t.Errorf("the cut-off front avoids %d nodes, want some; the others avoid %d, want none", own, others)
	}
}

func allNodes(w *World) (nodes []int32) {
	for i := range w.set.Nodes {
		nodes = append(nodes, int32(i))
	}
	return nodes
}

// Two zones are cut off from each other. Fronts of other zones may not avoid any of their nodes.
func TestThirdZoneIsUnaffected(t *testing.T) {
	t.Parallel()
	const seed = 9
	w, _ := play(t, small(40, 60, 4, true, seed), Phase{Name: "apart", Span: 6 * second, do: func(w *World) {
		w.Watch(append(w.zoneNodes(1), w.zoneNodes(2)...)...)
		w.links.part(1, 2, true)
	}})
	inside := avoiding(w, func(f *front) bool { return f.world.links.zone[f.id] == 1 || f.world.links.zone[f.id] == 2 })
	third := avoiding(w, func(f *front) bool { return f.world.links.zone[f.id] == 0 || f.world.links.zone[f.id] == 3 })
	t.Logf("seed %d: fronts of the separated zones avoid %d nodes, the others %d", seed, inside, third)
	if inside == 0 || third > 0 {
		t.Errorf("fronts of the separated zones avoid %d nodes, want some; the others avoid %d, want none", inside, third)
	}
}
