package health

import (
	"testing"

	"otterturn/scheduler"
)

// A zone of fronts loses its connection to the 900 nodes of another region (here half of the zone's fronts and of the
// nodes, and less under the race detector). The updates about its nodes exceed the rate limit, so it takes
// seconds until all fronts avoid the nodes. From then on the verdicts must last, although not every repetition is sent, and
// they must end when the connection returns.
func TestRegionBecomesUnreachableAndReturns(t *testing.T) {
	fronts, nodes, ratePerPair := 60, 450, 0.78
	if raceEnabled {
		fronts, nodes, ratePerPair = 40, 200, 1
	}
	pairs := fronts * nodes
	w := newSimulation(1, zonesOf(10, fronts), nodes, func(c *Config) { // same message rate per pair of front and node as at full size
		c.MessageRate = DefaultMessageRate * float64(fronts) / 120
	})
	w.fronts = w.fronts[:fronts]
	cut := w.now + second
	var reports int
	probes := map[string][]scheduler.Micros{}
	w.onAction = func(_ *simFront, a Action) {
		switch a := a.(type) {
		case ReportSilent:
			reports++
		case StartProbe:
			if w.now > cut {
				probes[a.Node] = append(probes[a.Node], w.now)
			}
		}
	}
	w.load(ratePerPair, w.nodes, cut+24*second)
	w.at(cut, func() { w.setAll(true) })
	minAvoided := pairs
	for at := cut + second; at <= cut+10*second; at += second {
		w.run(at)
		if at >= cut+6*second {
			minAvoided = min(minAvoided, w.avoiding())
		}
	}
	// In some pairs the evidence may just have expired and been requested again; without StillSilent entries half had.
	if minAvoided < pairs*97/100 || reports > pairs*103/100 {
		t.Errorf("at least %d of %d pairs avoided, %d silent reports", minAvoided, pairs, reports)
	}
	maxProbes, maxBytes := 0, 0
	for _, times := range probes {
		maxProbes = max(maxProbes, maxWithin(times, second))
	}
	if maxProbes > 15 { // the limit of the whole fleet is 50, this is one of ten zones; many requests make further fronts probe
		t.Errorf("%d probes of a node in one second, want at most 15", maxProbes)
	}
	w.setAll(false)
	w.run(cut + 18*second)
	if left := w.avoiding(); left > 0 {
		t.Errorf("%d pairs still avoided 8 s after the connection returned", left)
	}
	for _, f := range w.fronts {
		maxBytes = max(maxBytes, f.maxBytesPerSecond())
		for node, at := range f.probeRequests {
			if w.now > at+DefaultEvidenceLifetime+(maxRequestRounds+3)*DefaultTakeoverAfter+second {
				t.Errorf("front %d has not answered a probe request for %s for %d ms", f.number, node, (w.now-at)/1000)
			}
		}
	}
	t.Logf("at least %d of %d pairs avoided after 6 s, %d silent reports, at most %d probes of a node and %d bytes both ways per second",
		minAvoided, pairs, reports, maxProbes, maxBytes)
}
