package processes

import (
	"context"
	"fmt"
	"time"

	"otterturn/internal/lab/hollow"
)

// mostTries bounds how often a scenario is run when the machine was too busy.
const mostTries = 3

// inTime repeats a scenario until this process woke up in time throughout, up to mostTries. The choice depends on lateness
// alone, not on the outcome. It returns the largest lateness of the last run.
func (l *Lab) inTime(ctx context.Context, s Scenario) (o Outcome, late time.Duration, tries int, err error) {
	for tries = 1; ; tries++ {
		watch := watchLateness()
		o, err = l.Play(ctx, s)
		late = watch.end()
		if err != nil {
			return o, late, tries, fmt.Errorf("%s: %w", s.Name, err)
		}
		l.logf("%s, %d fronts, %d nodes, %.0f s, try %d, late by at most %v: %s", s.Name, s.Fronts, s.Nodes, s.Span.Seconds(), tries,
			late.Round(time.Millisecond), o)
		if late <= lateMost || tries == mostTries {
			return o, late, tries, nil
		}
	}
}

// compare runs the scenarios with real fronts and with hollow ones.
func (l *Lab) compare(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, s := range Scenarios {
		o, late, tries, err := l.inTime(ctx, s)
		if err != nil {
			return rows, err
		}
		same, err := playHollow(s, hollowSeeds)
		if err != nil {
			return rows, err
		}
		row := func(what string, real float64, of func(hollow.PerFront) float64) Row {
			return Row{
				Measure: "real beside hollow, " + s.Name + ": " + what, Sizes: fmt.Sprintf("%d fronts, %d nodes, %.0f s", s.Fronts, s.Nodes, s.Span.Seconds()),
				Value: real, In: "a front", Note: beside(real, same, of) + "; " + played(late, tries),
			}
		}
		if s.Event == FallsSilent {
			rows = append(rows, row("probes of it", o.Probes, func(p hollow.PerFront) float64 { return p.Probes }))
			continue
		}
		rows = append(rows, row("messages to other fronts", o.Messages, func(p hollow.PerFront) float64 { return p.Messages }),
			row("bytes of these", o.MessageBytes, func(p hollow.PerFront) float64 { return p.MessageBytes }))
	}
	return rows, nil
}

// played describes the lateness of a run and whether its result is reliable.
func played(late time.Duration, tries int) string {
	text := fmt.Sprintf("try %d, late by %v at most", tries, late.Round(time.Millisecond))
	if late > lateMost {
		text += ": the machine was too busy, not to be relied on"
	}
	return text
}
