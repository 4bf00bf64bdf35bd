package health

import (
	"slices"
	"testing"

	"otterturn/rules"
)

// One zone of fronts is cut off from the other region's 900 nodes for half a minute.
func TestRegionIsCutOffAndHeals(t *testing.T) {
	const fronts, nodes, perPair = 120, 900, 0.39
	w := newWorld(1, zonesOf(10, fronts), nodes, nil)
	w.fronts = w.fronts[:fronts]
	begin := w.now
	cut, heal := begin+second, begin+21*second
	var told []rules.Micros
	probes := map[string][]rules.Micros{}
	w.each = func(f *simFront, a Action) {
		switch a := a.(type) {
		case Report:
			told = append(told, w.now-cut)
		case StartProbe:
			if w.now > cut && w.now < heal {
				probes[a.Node] = append(probes[a.Node], w.now)
			}
		}
	}
	w.load(perPair, w.nodes, begin+26*second)
	w.at(cut, func() { w.setAll(true) })
	w.at(heal, func() { w.setAll(false) })
	for at := cut; at < begin+10*second; at += second {
		w.run(at)
		var c Counters
		c.Dropped = map[Drop]int64{}
		old, fresh := 0, 0
		for _, f := range w.fronts {
			x := f.monitor.Counters()
			c.Shed += x.Shed
			c.Sent += x.Sent
			c.SentBytes += x.SentBytes
			for k, v := range x.Dropped {
				c.Dropped[k] += v
			}
			for _, n := range f.monitor.due {
				if n.trouble != nil {
					for _, o := range n.evidence {
						if o.at < w.now-3*second {
							old++
						} else {
							fresh++
						}
					}
				}
			}
		}
		t.Logf("%d s: %d avoided %v shed %d sent %d bytes %d old %d fresh %d", (at-cut)/second, w.avoiding(), c.Dropped, c.Shed, c.Sent, c.SentBytes, old, fresh)
	}
	slices.Sort(told)
	failed, worst := 0, 0
	for _, f := range w.fronts {
		worst = max(worst, f.mostBytes())
		for _, n := range f.failed {
			failed += n
		}
	}
	busiest := 0
	for _, times := range probes {
		busiest = max(busiest, most(times, second))
	}
	t.Logf("%d reports, half %d ms, last %d; bytes %d; probes %d; failed a node %.1f", len(told), told[len(told)/2]/1000, told[len(told)-1]/1000, worst, busiest, float64(failed)/nodes)
}
