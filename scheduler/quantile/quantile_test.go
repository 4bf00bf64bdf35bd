package quantile

import (
	"math/rand/v2"
	"testing"
)

func TestFewSamplesAreBelowTheEstimate(t *testing.T) {
	rng, estimate, below := rand.New(rand.NewPCG(1, 1)), 0.0, 0
	const n = 10_000
	for range n {
		sample := 10 * (1 + rng.ExpFloat64())
		if estimate = Low(estimate, sample); sample < estimate {
			below++
		}
	}
	if share := float64(below) / n; share < 0.02 || share > 0.4 {
		t.Errorf("a share of %.2f of the samples is below the estimate, want 0.02 to 0.4", share)
	}
	if got := Low(10, 1e9); got != 10+10.0/32 {
		t.Errorf("one high sample raised the estimate from 10 to %v, want at most a 32nd more", got)
	}
}
