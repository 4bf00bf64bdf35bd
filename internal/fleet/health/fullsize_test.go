package health

import (
	"slices"
	"testing"

	"otterturn/scheduler"
)

const second scheduler.Micros = 1_000_000

// zonesOf returns the zone of each front for the given number of zones and fronts per zone.
func zonesOf(zones, fronts int) []int {
	var out []int
	for zone := range zones {
		out = append(out, slices.Repeat([]int{zone}, fronts)...)
	}
	return out
}

// most returns the maximum number of times within one span.
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

// The 180 nodes of a zone with 120 fronts become silent together and return 10 s later. The zone sends each node 47 requests
// per second. The other nine zones of the fleet are not simulated, but count in the probe rate of each front.
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
			t.Errorf("front %d avoids %d of %d silent nodes", f.number, c.Avoided, nodes)
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
			t.Errorf("front %d avoids %d nodes that have returned and has %d unanswered probe requests", f.number, c.Avoided, len(f.wanted))
		}
	}
	for _, n := range w.nodes {
		if reports[n.name] != fronts {
			t.Errorf("%s: %d silent reports at %d fronts", n.name, reports[n.name], fronts)
		}
	}
	slices.Sort(told)
	if last := told[len(told)-1]; last > 2*second {
		t.Errorf("the last report came after %d ms, want at most 2000 ms", last/1000)
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
	// Without sharing, each front would lose at least one request to find out that a node is silent.
	if failed*10 > fronts*nodes {
		t.Errorf("%d requests failed at %d nodes, more than a tenth of %d", failed, nodes, fronts*nodes)
	}
	if received > 16<<10 {
		t.Errorf("a front sent and received %d bytes in one second, want at most 16384", received)
	}
	t.Logf("time to report: mean %d ms, median %d, 90th percentile %d, max %d; failed requests per node %.1f; max probes per second %d; max bytes per second %d",
		mean/1000, told[len(told)/2]/1000, told[len(told)*9/10]/1000, told[len(told)-1]/1000, float64(failed)/float64(nodes), worst, received)
}

// A silent node receives at most 50 probes per second from a fleet of 1,200 fronts: only the probers of each zone probe it.
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
			t.Errorf("seed %d: %d probes in one second, want at most 50", seed, worst)
		}
		t.Logf("seed %d: %d probes in 28 s, at most %d in one second", seed, len(silent), worst)
	}
}
