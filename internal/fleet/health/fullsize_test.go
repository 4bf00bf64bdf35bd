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
	begin := w.now
	kinds := map[[3]int][3]int{}
	w.each = func(f *simFront, a Action) {
		if r, ok := a.(Report); ok {
			told[r.Node] = append(told[r.Node], w.now)
		}
		if r, ok := a.(Send); ok {
			k := [3]int{int(w.now-begin) / 250_000, int(r.Message.Entries[0].State)}
			v := kinds[k]
			v[0]++
			v[1] += len(r.Message.Entries)
			v[2] += r.Message.size()
			kinds[k] = v
		}
	}
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
	for _, n := range w.nodes {
		late := 0
		for _, x := range told[n.name] {
			if x > death+600_000 {
				late++
			}
		}
		if late > 0 {
			r := rankFronts(w.fronts[0].monitor.zone, NodeKey(n.name))[:3]
			var load, two []int
			for _, f := range r {
				k, k2 := 0, 0
				for _, o := range w.nodes {
					rr := rankFronts(w.fronts[0].monitor.zone, NodeKey(o.name))
					if slices.Contains(rr[:2], f) {
						k++
					}
					if rr[2] == f {
						k2++
					}
				}
				load = append(load, k)
				two = append(two, k2)
			}
			t.Logf("%s late %d loads %v standby %v", n.name, late, load, two)
		}
	}
	slices.Sort(all)
	sum := rules.Micros(0)
	for _, x := range all {
		sum += x
	}
	q := func(p float64) rules.Micros { return all[int(p*float64(len(all)-1))] / 1000 }
	t.Logf("reports %d mean %d ms, p10 %d p50 %d p90 %d p92 %d p94 %d p96 %d p98 %d p99 %d max %d", len(all), int(sum)/len(all)/1000, q(.1), q(.5), q(.9), q(.92), q(.94), q(.96), q(.98), q(.99), q(1))
	failed, probes, worst := 0, 0, 0
	for _, f := range w.fronts {
		for _, k := range f.failed {
			failed += k
		}
	}
	for _, n := range w.nodes {
		n.probes = slices.DeleteFunc(n.probes, func(p rules.Micros) bool { return p > death+10_000_000 })
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
	for q := 8; q < 16; q++ {
		for st := 1; st < 4; st++ {
			v := kinds[[3]int{q, st}]
			t.Logf("quarter %d state %d: messages %.1f entries %.1f bytes %.0f a front", q, st, float64(v[0])/120, float64(v[1])/120, float64(v[2])/120)
		}
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
