package restart

import "testing"

// A short form of 'make restart': a front that is restarted with its learned state serves at least 95% of what a front that is
// not restarted serves, makes no node fail by overload, and a seed always gives the same result.
func TestRestartWithWhatWasLearned(t *testing.T) {
	const seeds = 2
	kept := 0.0
	for seed := range uint64(seeds) {
		r, err := Simulate(seed + 1)
		if err != nil {
			t.Fatal(err)
		}
		if r.Failed != [3]int{} {
			t.Errorf("seed %d: nodes failed by overload, by variant: %v", seed+1, r.Failed)
		}
		kept += r.Served[1] / r.Served[0] / seeds
		if seed > 0 {
			continue
		}
		if again, err := Simulate(seed + 1); err != nil || again != r {
			t.Errorf("two runs with the same seed differ: %+v and %+v; error %v", r, again, err)
		}
	}
	if kept < 0.95 {
		t.Errorf("restarted front serves %.3f of what a front that is not restarted serves, want at least 0.95", kept)
	}
}
