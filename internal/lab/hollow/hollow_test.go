package hollow

import (
	"math"
	"testing"
)

// pairRate is how many requests a second a front has for a node at the size that decides the design.
const pairRate = FullRate / FullNodes

// suspectAfter is longer than a request's first answer over a new connection between regions takes, 60 ms here. With the
// 50 ms of health.Defaults each front suspects each node of the other region once it first asks it.
const suspectAfter = 100 * millisecond

// small is a fleet in which a front and a node meet as often as at full size.
func small(fronts, nodes, zones int, health bool, seed uint64) Settings {
	set := Default(fronts)
	set.Nodes, set.Zones, set.Rate, set.Health, set.Seed, set.Warm = nodes, zones, pairRate*float64(nodes), health, seed, second
	set.SuspectAfter = suspectAfter
	return set
}

// play plays a phase to a fleet, and returns the fleet too.
func play(t *testing.T, set Settings, p Phase) (*World, Result) {
	t.Helper()
	w, err := New(set, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.Run(set.Warm)
	return w, w.play(p)
}

// The same seed has the same digest, whatever the number of workers; another one has another.
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
		t.Errorf("two seeds, each with 1 and 4 workers, have %d digests", len(digests))
	}
}

// exponent is the power by which a figure goes by the number of fronts.
func exponent(t *testing.T, what string, sizes, values []float64) float64 {
	t.Helper()
	f := fit(sizes, values)
	t.Logf("%s: %.4g at %v fronts, grows as n^(%.2f ± %.2f)", what, values, sizes, f.Exponent, f.ExpError)
	return f.Exponent
}

// As a fleet grows and one of its nodes falls silent, a front pays no more for it with the zones' health of nodes: the
// exponents of messages, bytes and probes a front stay at or below 0.3, and those of the probes at the node below 0.2. Without
// it the probes at the node go by the fronts.
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
			"bytes":    exponent(t, "bytes a front in the worst second", sizes, bytes),
			"messages": exponent(t, "messages a front, and one", sizes, messages),
			"probes":   exponent(t, "probes a front", sizes, probes), "at node": exponent(t, "probes at the node in the worst second", sizes, atNode),
		}
	}
	with, without := grows[true], grows[false]
	for what, bound := range map[string]float64{"bytes": 0.3, "messages": 0.3, "probes": 0.3, "at node": 0.2} {
		if !(with[what] <= bound) {
			t.Errorf("%s grow as n^%.2f with health of nodes, over %.1f", what, with[what], bound)
		}
	}
	if without["at node"] < 0.7 {
		t.Errorf("probes at the node grow as n^%.2f without health of nodes: nothing is shown", without["at node"])
	}
}

// A zone goes, with health of nodes and without: with it probes at a silent node are bounded over the fleet, failed
// requests are a sixth at most (a tenth at full size, where a zone has twice as many fronts), and all fronts that go on
// avoid all its nodes.
func TestZoneGone(t *testing.T) {
	t.Parallel()
	const seed = 5
	phase := Phase{Name: "zone", Span: 10 * second, do: zoneGone}
	var results [2]Result
	for i, health := range []bool{false, true} {
		_, results[i] = play(t, small(120, 36, 3, health, seed), phase)
		r := &results[i]
		t.Logf("seed %d, health of nodes %v: %.0f probes a second at a silent node, %.1f failed requests for each, 99%% avoid after %.2f s, all after %.2f s",
			seed, health, peak(r, sum(probesWatched))/float64(r.Watched), total(r, paid)/float64(r.Watched), until(r, r.Avoided, 0.99), until(r, r.Avoided, 1))
	}
	off, on := &results[0], &results[1]
	if most := peak(on, sum(probesWatched)) / float64(on.Watched); most > probeBudget {
		t.Errorf("%.1f probes a second at each silent node", most)
	}
	if total(on, paid)*6 > total(off, paid) {
		t.Errorf("%.0f failed requests with health of nodes, %.0f without", total(on, paid), total(off, paid))
	}
	if took := until(on, on.Avoided, 1); math.IsNaN(took) || took >= until(off, off.Avoided, 1) || took > avoidBudget {
		t.Errorf("all fronts avoid all silent nodes after %.2f s", took)
	}
}

// avoiding counts the pairs of a front and a watched node that it avoids, of those fronts that are chosen.
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

// One front reaches no node, and tells its zone so: no other front avoids a node for that.
func TestOneWrongFrontCondemnsNothing(t *testing.T) {
	t.Parallel()
	const seed, wrong = 7, 5
	w, _ := play(t, small(40, 60, 4, true, seed), Phase{Name: "blind", Span: 6 * second, do: func(w *World) {
		w.Watch(allNodes(w)...)
		w.links.blind[wrong] = true
	}})
	own := avoiding(w, func(f *front) bool { return f.id == wrong })
	others := avoiding(w, func(f *front) bool { return f.id != wrong })
	t.Logf("seed %d: the wrong front avoids %d nodes, others %d", seed, own, others)
	if own == 0 || others > 0 {
		t.Errorf("the wrong front avoids %d nodes, others %d", own, others)
	}
}

func allNodes(w *World) (nodes []int32) {
	for i := range w.set.Nodes {
		nodes = append(nodes, int32(i))
	}
	return nodes
}

// Two zones don't hear each other: fronts of a third avoid no node of either.
func TestThirdZoneIsUnaffected(t *testing.T) {
	t.Parallel()
	const seed = 9
	w, _ := play(t, small(40, 60, 4, true, seed), Phase{Name: "apart", Span: 6 * second, do: func(w *World) {
		w.Watch(append(w.zoneNodes(1), w.zoneNodes(2)...)...)
		w.links.part(1, 2, true)
	}})
	inside := avoiding(w, func(f *front) bool { return f.world.links.zone[f.id] == 1 || f.world.links.zone[f.id] == 2 })
	third := avoiding(w, func(f *front) bool { return f.world.links.zone[f.id] == 0 || f.world.links.zone[f.id] == 3 })
	t.Logf("seed %d: fronts of the zones that are apart avoid %d, others %d", seed, inside, third)
	if inside == 0 || third > 0 {
		t.Errorf("fronts of the zones that are apart avoid %d, others %d", inside, third)
	}
}
