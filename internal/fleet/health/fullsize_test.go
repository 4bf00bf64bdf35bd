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

// maxWithin returns the maximum number of times within one span.
func maxWithin(times []scheduler.Micros, span scheduler.Micros) int {
	slices.Sort(times)
	highest, from := 0, 0
	for i, at := range times {
		for times[from] <= at-span {
			from++
		}
		highest = max(highest, i-from+1)
	}
	return highest
}

// The 180 nodes of a zone with 120 fronts become silent together and return 10 s later. The zone sends each node 47 requests
// per second. The other nine zones of the fleet are not simulated, but count in the probe rate of each front.
func TestZoneOfNodesBecomesSilentAndReturns(t *testing.T) {
	const fronts, ratePerPair = 120, 0.39
	nodes := 180
	if raceEnabled {
		nodes = 60
	}
	w := newSimulation(1, zonesOf(10, fronts), nodes, nil)
	w.fronts = w.fronts[:fronts]
	begin := w.now
	silentAt, returnAt := begin+2*second, begin+12*second
	reports := map[string]int{}
	var reportTimes []scheduler.Micros
	probeTimes, maxBytes := map[int][]scheduler.Micros{}, 0
	w.onAction = func(_ *simFront, a Action) {
		switch a := a.(type) {
		case ReportSilent:
			reports[a.Node]++
			reportTimes = append(reportTimes, w.now-silentAt)
		case StartProbe:
			if w.now > silentAt && w.now < returnAt {
				probeTimes[w.byName[a.Node].index] = append(probeTimes[w.byName[a.Node].index], w.now)
			}
		}
	}
	w.load(ratePerPair, w.nodes, begin+20*second)
	w.at(silentAt, func() { w.setAll(true) })
	w.at(returnAt, func() { w.setAll(false) })
	w.run(returnAt)
	for _, f := range w.fronts {
		if c := f.monitor.Counters(); c.Avoided != nodes {
			t.Errorf("front %d avoids %d of %d silent nodes", f.number, c.Avoided, nodes)
		}
	}
	failedRequests := 0
	for _, f := range w.fronts {
		for _, n := range f.failedRequests {
			failedRequests += n
		}
	}
	w.run(begin + 20*second)
	for _, f := range w.fronts {
		if c := f.monitor.Counters(); c.Avoided != 0 || len(f.probeRequests) > 0 {
			t.Errorf("front %d avoids %d nodes that have returned and has %d unanswered probe requests", f.number, c.Avoided, len(f.probeRequests))
		}
	}
	for _, n := range w.nodes {
		if reports[n.name] != fronts {
			t.Errorf("%s: %d silent reports at %d fronts", n.name, reports[n.name], fronts)
		}
	}
	slices.Sort(reportTimes)
	if last := reportTimes[len(reportTimes)-1]; last > 2*second {
		t.Errorf("the last report came after %d ms, want at most 2000 ms", last/1000)
	}
	sum := scheduler.Micros(0)
	for _, at := range reportTimes {
		sum += at
	}
	mean := sum / scheduler.Micros(len(reportTimes))
	maxProbes := 0
	for _, f := range w.fronts {
		maxBytes = max(maxBytes, f.maxBytesPerSecond())
	}
	for _, times := range probeTimes {
		maxProbes = max(maxProbes, maxWithin(times, second))
	}
	// Without sharing, each front would lose at least one request to find out that a node is silent.
	if failedRequests*10 > fronts*nodes {
		t.Errorf("%d requests failed at %d nodes, more than a tenth of %d", failedRequests, nodes, fronts*nodes)
	}
	if maxBytes > 16<<10 {
		t.Errorf("a front sent and received %d bytes in one second, want at most 16384", maxBytes)
	}
	t.Logf("time to report: mean %d ms, median %d, 90th percentile %d, max %d; failed requests per node %.1f; max probes/s %d; max bytes/s %d",
		mean/1000, reportTimes[len(reportTimes)/2]/1000, reportTimes[len(reportTimes)*9/10]/1000, reportTimes[len(reportTimes)-1]/1000,
		float64(failedRequests)/float64(nodes), maxProbes, maxBytes)
}

// A silent node receives at most 50 probes per second from a fleet of 1,200 fronts: only the probers of each zone probe it.
func TestProbeRateOfSilentNodeIsLimited(t *testing.T) {
	seeds := 5
	if raceEnabled {
		seeds = 1
	}
	for seed := range uint64(seeds) {
		w := newSimulation(seed, zonesOf(10, 120), 1, nil)
		begin := w.now
		w.load(0.39, w.nodes, begin+30*second)
		w.at(begin+2*second, func() { w.setAll(true) })
		w.run(begin + 30*second)
		var probeTimes []scheduler.Micros
		for _, at := range w.nodes[0].probes {
			if at > begin+2*second {
				probeTimes = append(probeTimes, at)
			}
		}
		maxProbes := maxWithin(probeTimes, second)
		if maxProbes > 50 {
			t.Errorf("seed %d: %d probes in one second, want at most 50", seed, maxProbes)
		}
		t.Logf("seed %d: %d probes in 28 s, at most %d in one second", seed, len(probeTimes), maxProbes)
	}
}
