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
	Sizes        []int    // numbers of fronts, in ascending order
	MaxSmallSize int      // maximum size for events without AllSizes
	Events       []string // names, empty for all events
	Health       []bool   // variants: shared node health switched off, on
	Seed         uint64
	Workers      int

	SuspectAfter scheduler.Micros // see health.Config, 0 for its default
}

// Line is a row of the table with its values.
type Line struct {
	Phase, Role, What, Unit, Formula, Mechanism string
	Health                                      bool
	Sizes, Values                               []float64
	Fit                                         Fit
	AtFullSize                                  float64 // value at FullFronts
	Measured                                    bool    // AtFullSize was measured, not extrapolated
	LowerBound                                  bool    // AtFullSize is a lower bound: the time was longer than the phase
	Budget, Ratio                               float64 // Ratio is AtFullSize / Budget; 0 for none
}

// Measure runs the events of a plan and returns the rows of the table. It calls progress after each phase.
func Measure(p Plan, progress func(string)) ([]Line, error) {
	results := map[string][]*Result{}
	for _, e := range Events {
		if len(p.Events) > 0 && !slices.Contains(p.Events, e.Name) {
			continue
		}
		for _, size := range p.Sizes {
			if !e.AllSizes && size > p.MaxSmallSize {
				continue
			}
			for i, health := range p.Health {
				if e.IgnoresHealth && i > 0 {
					continue
				}
				settings := DefaultSettings(size)
				settings.Health, settings.Seed, settings.Workers, settings.SuspectAfter = health, p.Seed, p.Workers, p.SuspectAfter
				phaseResults, err := Run(settings, e)
				if err != nil {
					return nil, fmt.Errorf("%s at %d fronts: %w", e.Name, size, err)
				}
				for i := range phaseResults {
					r := &phaseResults[i]
					results[resultKey(r.Phase.Name, health)] = append(results[resultKey(r.Phase.Name, health)], r)
					progress(fmt.Sprintf("%s at %d x %d, health %v, digest %016x, took %.1f s, cores per front %.4f (scheduler %.4f, health %.4f)",
						r.Phase.Name, size, settings.Nodes, health, r.Digest, r.Elapsed.Seconds(), r.CPU, r.SchedulerCPU, r.HealthCPU))
				}
			}
		}
	}
	return makeLines(p, results), nil
}

func resultKey(phase string, health bool) string { return fmt.Sprint(phase, " ", health) }

func makeLines(p Plan, results map[string][]*Result) (out []Line) {
	for _, row := range allRows() {
		without := 0.0 // value without shared node health
		for _, health := range p.Health {
			rs := results[resultKey(row.phase, health)]
			if len(rs) == 0 {
				continue
			}
			l := row.line(health, rs)
			if row.budgetIsShare {
				if !health {
					without = l.AtFullSize
				}
				l.Budget = row.budget * without
			}
			if l.Budget > 0 && !math.IsNaN(l.AtFullSize) {
				l.Ratio = l.AtFullSize / l.Budget
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
		l.Mechanism, l.Formula = row.mechanismWithHealth, cmp.Or(row.formulaWithHealth, row.formula)
	}
	for _, r := range rs {
		l.Sizes = append(l.Sizes, float64(r.Settings.Fronts))
		l.Values = append(l.Values, row.figure(r))
	}
	l.Fit = fit(l.Sizes, l.Values)
	l.AtFullSize, l.Measured = valueAt(FullFronts, l.Sizes, l.Values, l.Fit)
	final := rs[len(rs)-1]
	l.LowerBound = row.unit == "s" && l.Values[len(rs)-1] >= seconds(final.Phase.Duration)
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
