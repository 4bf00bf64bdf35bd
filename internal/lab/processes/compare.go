package processes

import (
	"context"
	"fmt"
	"time"

	"otterturn/internal/lab/hollow"
)

// maxTries bounds how often a scenario is run when the machine was too busy.
const maxTries = 3

// runInTime repeats a scenario until this process woke up in time throughout, up to maxTries. The choice depends on lateness
// alone, not on the outcome. It returns the largest lateness of the last run.
func (l *Lab) runInTime(ctx context.Context, s Scenario) (outcome Outcome, late time.Duration, tries int, err error) {
	for tries = 1; ; tries++ {
		watch := startLateness()
		outcome, err = l.RunScenario(ctx, s)
		late = watch.stop()
		if err != nil {
			return outcome, late, tries, fmt.Errorf("%s: %w", s.Name, err)
		}
		l.logf("%s, %d fronts, %d nodes, %.0f s, try %d, late by at most %v: %s", s.Name, s.Fronts, s.Nodes, s.Span.Seconds(), tries,
			late.Round(time.Millisecond), outcome)
		if late <= maxLateness || tries == maxTries {
			return outcome, late, tries, nil
		}
	}
}

// compareWithHollow runs the scenarios with real fronts and with hollow ones.
func (l *Lab) compareWithHollow(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, s := range Scenarios {
		outcome, late, tries, err := l.runInTime(ctx, s)
		if err != nil {
			return rows, err
		}
		runs, err := runHollow(s, hollowRunCount)
		if err != nil {
			return rows, err
		}
		row := func(what string, realValue float64, value func(hollow.PerFront) float64) Row {
			return Row{
				Measure: "real beside hollow, " + s.Name + ": " + what, Sizes: fmt.Sprintf("%d fronts, %d nodes, %.0f s", s.Fronts, s.Nodes, s.Span.Seconds()),
				Value: realValue, ValueUnit: "a front", Note: describeAgreement(realValue, runs, value) + "; " + describeLateness(late, tries),
			}
		}
		if s.Event == BecomesSilent {
			rows = append(rows, row("probes of it", outcome.Probes, func(p hollow.PerFront) float64 { return p.Probes }))
			continue
		}
		rows = append(rows, row("messages to other fronts", outcome.Messages, func(p hollow.PerFront) float64 { return p.Messages }),
			row("bytes of these", outcome.MessageBytes, func(p hollow.PerFront) float64 { return p.MessageBytes }))
	}
	return rows, nil
}

// describeLateness describes the lateness of a run and whether its result is reliable.
func describeLateness(late time.Duration, tries int) string {
	text := fmt.Sprintf("try %d, late by %v at most", tries, late.Round(time.Millisecond))
	if late > maxLateness {
		text += ": the machine was too busy, not to be relied on"
	}
	return text
}
