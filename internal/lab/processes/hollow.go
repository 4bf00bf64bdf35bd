package processes

import (
	"fmt"
	"slices"

	"gonum.org/v1/gonum/stat"

	"otterturn/internal/lab/hollow"
)

// hollowRunCount is the number of hollow-front runs, one per seed, with which each scenario is compared.
const hollowRunCount = 5

// maxDifference is the largest relative difference between real and hollow fronts that counts as agreement.
const maxDifference = 0.1

// hollowEventNames maps node events to the names of the events in package hollow.
var hollowEventNames = map[NodeEvent]string{BecomesSilent: "node", Restarts: "node-restart"}

// runHollow runs a scenario with hollow fronts once per seed.
func runHollow(scenario Scenario, seeds int) ([]hollow.PerFront, error) {
	index := slices.IndexFunc(hollow.Events, func(e hollow.Event) bool { return e.Name == hollowEventNames[scenario.Event] })
	if index < 0 {
		return nil, fmt.Errorf("hollow fronts have no event %q", hollowEventNames[scenario.Event])
	}
	var runs []hollow.PerFront
	for seed := range seeds {
		settings := hollow.DefaultSettings(scenario.Fronts)
		settings.Nodes, settings.Zones, settings.Regions, settings.RequestRate, settings.Seed = scenario.Nodes, 1, 1, scenario.Rate, uint64(seed)+1
		results, err := hollow.Run(settings, hollow.Events[index])
		if err != nil {
			return nil, err
		}
		runs = append(runs, results[0].PerFront())
	}
	return runs, nil
}

// describeAgreement formats how a value of real fronts compares with the mean of the hollow runs.
func describeAgreement(realValue float64, runs []hollow.PerFront, value func(hollow.PerFront) float64) string {
	var values []float64
	for _, p := range runs {
		values = append(values, value(p))
	}
	mean, spread := stat.MeanStdDev(values, nil)
	verdict := "they agree"
	if ratio := realValue / mean; !(ratio >= 1-maxDifference && ratio <= 1+maxDifference) {
		verdict = "they DIFFER"
	}
	return fmt.Sprintf("hollow %s ± %s over %d seeds, real is %s of it: %s", formatNumber(mean), formatNumber(spread), hollowRunCount,
		formatNumber(realValue/mean), verdict)
}
