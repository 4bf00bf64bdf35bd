package model

import (
	"math"
	"math/rand/v2"
	"testing"
)

// With Poisson arrivals, exponential service times and 4 cores (M/M/4), the mean wait agrees with the Erlang C formula within
// 5% (Kleinrock, Queueing Systems I, 3.5).
func TestMeanWaitAgreesWithErlangC(t *testing.T) {
	const cores, mean = 4, 10_000.0
	for _, busy := range []float64{0.5, 0.8, 0.9} {
		rng := rand.New(rand.NewPCG(1, uint64(busy*100)))
		n := New(Parameters{Cores: cores, Speed: 1, Room: math.MaxInt, ColdFrom: 1})
		waited, count, at := 0.0, 0, 0.0
		finish := func(until int64) {
			for next, ok := n.Next(); ok && next <= until; next, ok = n.Next() {
				for _, d := range n.Finish(next) {
					if count++; count > 20_000 { // skip the transient at the start
						waited += float64(d.At-d.Tag.(int64)) - d.Work
					}
				}
			}
		}
		for range 600_000 {
			at += rng.ExpFloat64() * mean / cores / busy
			finish(int64(at))
			n.Arrive(int64(at), Job{Tag: int64(at), Work: rng.ExpFloat64() * mean})
		}
		load, sum, term := busy*cores, 0.0, 1.0
		for k := range cores {
			sum += term
			term *= load / float64(k+1)
		}
		wait := term / (1 - busy) / (sum + term/(1-busy)) * mean / cores / (1 - busy)
		got := waited / float64(count-20_000)
		t.Logf("utilization %.1f: mean wait %.0f us, by the formula %.0f us", busy, got, wait)
		if math.Abs(got/wait-1) > 0.05 {
			t.Errorf("utilization %.1f: mean wait %.0f us, want %.0f us by the formula", busy, got, wait)
		}
	}
}
