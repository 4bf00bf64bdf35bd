package processes

import (
	"context"
	"fmt"
	"time"
)

// mostTries is how often a scenario is played until the machine had time for it.
const mostTries = 3

// inTime plays a scenario until this process was never late by much, which says nothing of what comes out, and tells how
// late it was.
func (l *Lab) inTime(ctx context.Context, s Scenario) (o Outcome, late time.Duration, tries int, err error) {
	for tries = 1; ; tries++ {
		watch := watchLateness()
		o, err = l.Play(ctx, s)
		late = watch.end()
		if err != nil {
			return o, late, tries, fmt.Errorf("%s: %w", s.Name, err)
		}
		l.logf("%s, %d fronts before %d nodes, %.0f s, try %d, late by %v at most: %s", s.Name, s.Fronts, s.Nodes, s.Span.Seconds(), tries,
			late.Round(time.Millisecond), o)
		if late <= lateMost || tries == mostTries {
			return o, late, tries, nil
		}
	}
}

// compare plays the scenarios, for the hollow fronts to be held against them.
func (l *Lab) compare(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, s := range Scenarios {
		o, late, tries, err := l.inTime(ctx, s)
		if err != nil {
			return rows, err
		}
		sized := fmt.Sprintf("%d fronts, %d nodes, %.0f s", s.Fronts, s.Nodes, s.Span.Seconds())
		note := fmt.Sprintf("%s attempts at it; %s; served %.0f, refused %.0f, failed %.1f", short(o.Attempts), played(late, tries), o.Served, o.Refused, o.Failed)
		rows = append(rows, Row{Measure: "small scenario, " + s.Name + ": probes", Sizes: sized, Value: o.Probes, In: "a front", Note: note},
			Row{Measure: "small scenario, " + s.Name + ": messages to other fronts", Sizes: sized, Value: o.Messages, In: "a front",
				Note: fmt.Sprintf("%s bytes", short(o.MessageBytes))})
	}
	return rows, nil
}

// played tells whether the machine had time for a run.
func played(late time.Duration, tries int) string {
	text := fmt.Sprintf("try %d, late by %v at most", tries, late.Round(time.Millisecond))
	if late > lateMost {
		text += ": the machine was too busy, not to be relied on"
	}
	return text
}
