package processes

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"

	"otterturn/internal/lab/hollow"
)

// hollowSeeds is the number of hollow-front runs, one per seed, with which each scenario is compared.
const hollowSeeds = 5

// agreement is the largest relative difference between real and hollow fronts that counts as agreement.
const agreement = 0.1

// hollowEvents maps node events to the names of the events in package hollow.
var hollowEvents = map[Happening]string{FallsSilent: "node", BeginsAnew: "node-restart"}

// playHollow runs a scenario with hollow fronts once per seed.
func playHollow(s Scenario, seeds int) ([]hollow.PerFront, error) {
	at := slices.IndexFunc(hollow.Events, func(e hollow.Event) bool { return e.Name == hollowEvents[s.Event] })
	if at < 0 {
		return nil, fmt.Errorf("hollow fronts have no event %q", hollowEvents[s.Event])
	}
	var all []hollow.PerFront
	for seed := range seeds {
		set := hollow.Default(s.Fronts)
		set.Nodes, set.Zones, set.Regions, set.Rate, set.Seed = s.Nodes, 1, 1, s.Rate, uint64(seed)+1
		results, err := hollow.Run(set, hollow.Events[at])
		if err != nil {
			return nil, err
		}
		all = append(all, results[0].PerFront())
	}
	return all, nil
}

// beside formats how a value of real fronts compares with the mean of the hollow runs.
func beside(real float64, all []hollow.PerFront, of func(hollow.PerFront) float64) string {
	var same []float64
	for _, p := range all {
		same = append(same, of(p))
	}
	mean, spread := stat.MeanStdDev(same, nil)
	verdict := "they agree"
	if ratio := real / mean; !(ratio >= 1-agreement && ratio <= 1+agreement) {
		verdict = "they DIFFER"
	}
	return fmt.Sprintf("hollow %s ± %s over %d seeds, real is %s of it: %s", short(mean), short(spread), hollowSeeds, short(real/mean), verdict)
}
