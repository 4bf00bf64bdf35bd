// Package quantile follows a low quantile of a stream of samples in one number.
package quantile

// Low moves an estimate, 0 for none yet, towards a sample: down by a quarter of the way, up by a 32nd of it and
// never by more than a 32nd of itself, so that few samples lie below it and a slow spell hardly lifts it.
func Low(estimate, sample float64) float64 {
	switch {
	case estimate == 0:
		return sample
	case sample < estimate:
		return estimate + (sample-estimate)/4
	}
	return estimate + min(sample-estimate, estimate)/32
}
