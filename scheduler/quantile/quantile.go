// Package quantile estimates a low quantile of a stream of samples; the estimate is its only state.
package quantile

// Low returns an estimate, 0 for none yet, moved towards a sample: down by a quarter of the difference, or up by a 32nd of
// the difference and at most by a 32nd of the estimate. So few samples are below the estimate, and a period of high samples
// hardly raises it.
func Low(estimate, sample float64) float64 {
	switch {
	case estimate == 0:
		return sample
	case sample < estimate:
		return estimate + (sample-estimate)/4
	}
	return estimate + min(sample-estimate, estimate)/32
}
