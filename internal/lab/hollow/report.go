package hollow

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"otterturn/scheduler"
)

// Plan says which events are measured, at which sizes.
type Plan struct {
	Sizes   []int    // numbers of fronts, in ascending order
	Small   int      // maximum size for events that are not Large
	Events  []string // names, empty for all events
	Health  []bool   // variants: health of nodes switched off, on
	Seed    uint64
	Workers int

	SuspectAfter scheduler.Micros // see health.Config, 0 for its default
}

// Line is a row of the table with its values.
type Line struct {
	Phase, Role, What, Unit, Formula, Mechanism string
	Health                                      bool
	Sizes, Values                               []float64
	Fit                                         Fit
	Full                                        float64 // value at FullFronts
	Measured                                    bool    // Full was measured, not extrapolated
	Least                                       bool    // Full is a lower bound: the time was longer than the phase
	Budget, Ratio                               float64 // Ratio is Full / Budget; 0 for none
}

// Measure runs the events of a plan and returns the rows of the table. It calls progress after each phase.
func Measure(p Plan, progress func(string)) ([]Line, error) {
	results := map[string][]*Result{}
	for _, e := range Events {
		if len(p.Events) > 0 && !slices.Contains(p.Events, e.Name) {
			continue
		}
		for _, size := range p.Sizes {
			if !e.Large && size > p.Small {
				continue
			}
			for i, health := range p.Health {
				if e.Apart && i > 0 {
					continue
				}
				set := Default(size)
				set.Health, set.Seed, set.Workers, set.SuspectAfter = health, p.Seed, p.Workers, p.SuspectAfter
				played, err := Run(set, e)
				if err != nil {
					return nil, fmt.Errorf("%s at %d fronts: %w", e.Name, size, err)
				}
				for i := range played {
					r := &played[i]
					results[key(r.Phase.Name, health)] = append(results[key(r.Phase.Name, health)], r)
					progress(fmt.Sprintf("%s at %d x %d, health %v, digest %016x, took %.1f s, cores per front %.4f (scheduler %.4f, health %.4f)",
						r.Phase.Name, size, set.Nodes, health, r.Digest, r.Took.Seconds(), r.CPU, r.Scheduler, r.Health))
				}
			}
		}
	}
	return lineUp(p, results), nil
}

func key(phase string, health bool) string { return fmt.Sprint(phase, " ", health) }

func lineUp(p Plan, results map[string][]*Result) (out []Line) {
	for _, row := range allRows() {
		without := 0.0 // value without health of nodes
		for _, health := range p.Health {
			rs := results[key(row.phase, health)]
			if len(rs) == 0 {
				continue
			}
			l := row.line(health, rs)
			if row.shared {
				if !health {
					without = l.Full
				}
				l.Budget = row.budget * without
			}
			if l.Budget > 0 && !math.IsNaN(l.Full) {
				l.Ratio = l.Full / l.Budget
			}
			out = append(out, l)
		}
	}
	return out
}

func (row *row) line(health bool, rs []*Result) Line {
	l := Line{
		Phase: row.phase, Role: row.role, What: row.what, Unit: row.unit, Formula: row.formula, Mechanism: row.mechanism,
		Health: health, Budget: row.budget,
	}
	if health {
		l.Mechanism, l.Formula = row.healthy, cmp.Or(row.formulaOn, row.formula)
	}
	for _, r := range rs {
		l.Sizes = append(l.Sizes, float64(r.Settings.Fronts))
		l.Values = append(l.Values, row.of(r))
	}
	l.Fit = fit(l.Sizes, l.Values)
	l.Full, l.Measured = value(FullFronts, l.Sizes, l.Values, l.Fit)
	final := rs[len(rs)-1]
	l.Least = row.unit == "s" && l.Values[len(rs)-1] >= seconds(final.Phase.Span)
	return l
}

// Worst returns the line of a variant with the highest ratio, nil if the variant has no lines.
func Worst(lines []Line, health bool) (worst *Line) {
	for i := range lines {
		if l := &lines[i]; l.Health == health && (worst == nil || l.Ratio > worst.Ratio) {
			worst = l
		}
	}
	return worst
}
