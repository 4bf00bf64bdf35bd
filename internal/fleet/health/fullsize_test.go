package health

import (
	"slices"
	"testing"

	"otterturn/scheduler"
)

const second scheduler.Micros = 1_000_000

// zonesOf are so many zones with so many fronts each.
func zonesOf(zones, fronts int) []int {
	var out []int
	for zone := range zones {
		out = append(out, slices.Repeat([]int{zone}, fronts)...)
	}
	return out
}

// most is how many times lie within one span at most.
func most(times []scheduler.Micros, span scheduler.Micros) int {
	slices.Sort(times)
	worst, from := 0, 0
	for i, at := range times {
		for times[from] <= at-span {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}

// One zone of 120 fronts before its 180 nodes, which fall silent together and return 10 s later, each sent 47 requests a
// second by the zone. The fleet has nine zones more, whose fronts count in the pace of probes.
func TestZoneOfNodesFallsSilentAndReturns(t *testing.T) {
	const fronts, perPair = 120, 0.39
	nodes := 180
	if underRace {
		nodes = 60
	}
	w := newWorld(1, zonesOf(10, fronts), nodes, nil)
	w.fronts = w.fronts[:fronts]
	begin := w.now
	death, back := begin+2*second, begin+12*second
	reports := map[string]int{}
	var told []scheduler.Micros
	sent, received := map[int][]scheduler.Micros{}, 0
	w.each = func(_ *simFront, a Action) {
		switch a := a.(type) {
		case ReportSilent:
			reports[a.Node]++
			told = append(told, w.now-death)
		case StartProbe:
			if w.now > death && w.now < back {
				sent[w.byName[a.Node].index] = append(sent[w.byName[a.Node].index], w.now)
			}
		}
	}
	w.load(perPair, w.nodes, begin+20*second)
	w.at(death, func() { w.setAll(true) })
	w.at(back, func() { w.setAll(false) })
	w.run(back)
	for _, f := range w.fronts {
		if c := f.monitor.Counters(); c.Avoided != nodes {
			t.Errorf("front %d avoids %d nodes of %d", f.number, c.Avoided, nodes)
		}
	}
	failed := 0
	for _, f := range w.fronts {
		for _, n := range f.failed {
			failed += n
		}
	}
	w.run(begin + 20*second)
	for _, f := range w.fronts {
		if c := f.monitor.Counters(); c.Avoided != 0 || len(f.wanted) > 0 {
			t.Errorf("front %d avoids %d nodes that are back and owes %d probes", f.number, c.Avoided, len(f.wanted))
		}
	}
	for _, n := range w.nodes {
		if reports[n.name] != fronts {
			t.Errorf("%s: %d reports at %d fronts", n.name, reports[n.name], fronts)
		}
	}
	slices.Sort(told)
	if last := told[len(told)-1]; last > 2*second {
		t.Errorf("the last front heard after %d ms", last/1000)
	}
	sum := scheduler.Micros(0)
	for _, at := range told {
		sum += at
	}
	mean := sum / scheduler.Micros(len(told))
	worst := 0
	for _, f := range w.fronts {
		received = max(received, f.mostBytes())
	}
	for _, times := range sent {
		worst = max(worst, most(times, second))
	}
	// What a zone would pay where each front found out for itself is one request for each front.
	if failed*10 > fronts*nodes {
		t.Errorf("%d requests failed at %d nodes, over a tenth of %d", failed, nodes, fronts*nodes)
	}
	if received > 16<<10 {
		t.Errorf("a front sent and received %d bytes in a second", received)
	}
	t.Logf("heard: mean %d ms, half %d, nine in ten %d, last %d; failed requests a node %.1f; probes in a second %d at most; bytes %d at most",
		mean/1000, told[len(told)/2]/1000, told[len(told)*9/10]/1000, told[len(told)-1]/1000, float64(failed)/float64(nodes), worst, received)
}

// One node before the whole fleet: probes at it go by zones, not by fronts.
func TestProbesOfASilentNodeStayWithinTheirBound(t *testing.T) {
	seeds := 5
	if underRace {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		w := newWorld(seed, zonesOf(10, 120), 1, nil)
		begin := w.now
		w.load(0.39, w.nodes, begin+30*second)
		w.at(begin+2*second, func() { w.setAll(true) })
		w.run(begin + 30*second)
		var silent []scheduler.Micros
		for _, at := range w.nodes[0].probes {
			if at > begin+2*second {
				silent = append(silent, at)
			}
		}
		worst := most(silent, second)
		if worst > 50 {
			t.Errorf("seed %d: %d probes in a second", seed, worst)
		}
		t.Logf("seed %d: %d probes in 28 s, %d in a second at most", seed, len(silent), worst)
	}
}
