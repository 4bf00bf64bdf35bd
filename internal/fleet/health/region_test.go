package health

import (
	"testing"

	"otterturn/scheduler"
)

// A zone of fronts is cut off from the other region's 900 nodes. There is more to tell than room for it, so it takes seconds
// until all know; from then on verdicts hold, though their repetitions don't fit, and they end as the cut does.
func TestRegionIsCutOffAndHeals(t *testing.T) {
	fronts, nodes, perPair := 60, 450, 0.78
	if underRace {
		fronts, nodes, perPair = 40, 200, 1
	}
	pairs := fronts * nodes
	w := newWorld(1, zonesOf(10, fronts), nodes, func(c *Config) { // as many bytes for each front and node
		c.MessageRate = DefaultMessageBytes * float64(fronts) / 120
	})
	w.fronts = w.fronts[:fronts]
	cut := w.now + second
	var reports int
	probes := map[string][]scheduler.Micros{}
	w.each = func(_ *simFront, a Action) {
		switch a := a.(type) {
		case ReportSilent:
			reports++
		case StartProbe:
			if w.now > cut {
				probes[a.Node] = append(probes[a.Node], w.now)
			}
		}
	}
	w.load(perPair, w.nodes, cut+24*second)
	w.at(cut, func() { w.setAll(true) })
	least := pairs
	for at := cut + second; at <= cut+10*second; at += second {
		w.run(at)
		if at >= cut+6*second {
			least = min(least, w.avoiding())
		}
	}
	// Some pairs may just have lost their evidence and ask for it; without Standing half of them had.
	if least < pairs*97/100 || reports > pairs*103/100 {
		t.Errorf("%d of %d pairs avoided at the least, %d reports", least, pairs, reports)
	}
	busiest, worst := 0, 0
	for _, times := range probes {
		busiest = max(busiest, most(times, second))
	}
	if busiest > 15 { // the bound of the fleet is 50, and this is one of ten zones; asked by many, more look
		t.Errorf("%d probes of a node in a second", busiest)
	}
	w.setAll(false)
	w.run(cut + 18*second)
	if left := w.avoiding(); left > 0 {
		t.Errorf("%d pairs avoided 14 s after the cut", left)
	}
	for _, f := range w.fronts {
		worst = max(worst, f.mostBytes())
		for node, at := range f.wanted {
			if w.now > at+DefaultEvidenceLife+(maxRequestRounds+3)*DefaultTakeoverAfter+second {
				t.Errorf("front %d has owed a probe of %s for %d ms", f.number, node, (w.now-at)/1000)
			}
		}
	}
	t.Logf("%d of %d pairs avoided at the least from 6 s on, %d reports, %d probes of a node in a second, %d bytes both ways at most",
		least, pairs, reports, busiest, worst)
}
