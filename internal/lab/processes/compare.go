package processes

import (
	"context"
	"fmt"
)

// compare plays the scenarios, for the hollow fronts to be held against them.
func (l *Lab) compare(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, s := range Scenarios {
		o, err := l.Play(ctx, s)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", s.Name, err)
		}
		l.logf("%s, %d fronts before %d nodes, %.0f s: %s", s.Name, s.Fronts, s.Nodes, s.Span.Seconds(), o)
		sized := fmt.Sprintf("%d fronts, %d nodes, %.0f s", s.Fronts, s.Nodes, s.Span.Seconds())
		note := fmt.Sprintf("served %.0f, refused %.0f, failed %.1f", o.Served, o.Refused, o.Failed)
		rows = append(rows,
			Row{Measure: "small scenario, " + s.Name + ": probes", Sizes: sized, Value: o.Probes, In: "a front",
				Note: fmt.Sprintf("%s attempts at it", short(o.Attempts))},
			Row{Measure: "small scenario, " + s.Name + ": messages to other fronts", Sizes: sized, Value: o.Messages, In: "a front",
				Note: fmt.Sprintf("%s bytes; %s", short(o.MessageBytes), note)})
	}
	return rows, nil
}
