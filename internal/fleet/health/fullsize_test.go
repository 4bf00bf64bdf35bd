package health

import (
	"slices"
	"testing"

	"otterturn/rules"
)

func TestTrial(t *testing.T) {
	zones := make([]int, 120)
	for i := range 1080 {
		zones = append(zones, 1+i/120)
	}
	w := newWorld(1, zones, 180, nil)
	w.fronts = w.fronts[:120]
	type key struct{ f, n int }
	told := map[string][]rules.Micros{}
	w.each = func(f *simFront, a Action) {
		if r, ok := a.(Report); ok {
			told[r.Node] = append(told[r.Node], w.now)
		}
	}
	begin := w.now
	w.load(0.39, w.nodes, begin+20_000_000)
	death := begin + 2_000_000
	w.at(death, func() {
		for _, n := range w.nodes {
			n.dead = true
		}
	})
	w.at(death+10_000_000, func() {
		for _, n := range w.nodes {
			n.dead = false
		}
	})
	w.run(begin + 20_000_000)
	var all []rules.Micros
	for _, n := range w.nodes {
		ts := told[n.name]
		if len(ts) != 120 {
			t.Logf("%s: %d reports", n.name, len(ts))
		}
		for _, x := range ts {
			all = append(all, x-death)
		}
	}
	slices.Sort(all)
	sum := rules.Micros(0)
	for _, x := range all {
		sum += x
	}
	q := func(p float64) rules.Micros { return all[int(p*float64(len(all)-1))] / 1000 }
	t.Logf("reports %d mean %d ms, p10 %d p50 %d p90 %d p99 %d max %d", len(all), int(sum)/len(all)/1000, q(.1), q(.5), q(.9), q(.99), q(1))
	failed, probes, worst := 0, 0, 0
	for _, f := range w.fronts {
		for _, k := range f.failed {
			failed += k
		}
	}
	for _, n := range w.nodes {
		probes += len(n.probes)
		for i := range n.probes {
			k := i
			for k < len(n.probes) && n.probes[k] < n.probes[i]+1_000_000 {
				k++
			}
			worst = max(worst, k-i)
		}
	}
	t.Logf("failed a node and zone %.1f; probes %.1f, worst second %d", float64(failed)/180, float64(probes)/180, worst)
	for s := int64(begin / 1_000_000); s < int64(begin/1_000_000)+20; s++ {
		worst, sum := 0, 0
		for _, f := range w.fronts {
			worst, sum = max(worst, f.bytes[s]), sum+f.bytes[s]
		}
		t.Logf("second %d: mean %d, worst %d", s-int64(begin/1_000_000), sum/120, worst)
	}
	var c Counters
	for _, f := range w.fronts {
		d := f.monitor.Counters()
		c.Shed += d.Shed
		c.Probes += d.Probes
		c.Sent += d.Sent
		c.Condemned += d.Condemned
	}
	t.Logf("%+v", c)
}
