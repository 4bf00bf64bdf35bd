package hollow

import "testing"

func TestTrial(t *testing.T) {
	for _, e := range Events {
		set := Default(75)
		r, err := Run(set, e)
		if err != nil {
			t.Fatal(err)
		}
		var peak, ctl, mctl int64
		for _, s := range r.Seconds {
			peak = max(peak, s.Sum[probesSent])
			ctl = max(ctl, s.Control)
			mctl = max(mctl, s.MostControl)
		}
		last := r.Seconds[len(r.Seconds)-1]
		t.Logf("%s: %x took %v, paid %d of %d, probes peak %d last %d, control %d a front, most %d, avoid 50%% %d 99%% %d, informed all %d, unserved %d, CPU %.4f sched %.4f step %v start %d heap %d",
			e.Name, r.Digest, r.Took, r.Paid, r.Watched, peak, last.Sum[probesSent], ctl/75, mctl,
			Share(r.Avoided, .5), Share(r.Avoided, .99), Share(r.Informed, 1), r.Unserved, r.CPU, r.Scheduler, r.Step, r.Start, r.Heap)
		t.Logf("  %v %v", r.Seconds[0].Sum, last.Sum)
	}
}
