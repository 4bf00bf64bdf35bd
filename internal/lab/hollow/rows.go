package hollow

import "otterturn/scheduler"

// Budgets of a front's control traffic, memory and processor time, and of the mechanisms.
const (
	controlBudget   = 16 << 10  // bytes per second and front
	memoryBudget    = 256 << 20 // bytes per front
	processorBudget = 0.05      // of a core, per front
	probeBudget     = 50.0      // per second, at each silent node, from the whole fleet
	avoidBudget     = 2.0       // seconds until all fronts that a message can reach avoid a silent node
	changeBudget    = 4.0       // seconds until all fronts have a change of the endpoint list
	primaryBudget   = 19.0      // seconds that a change of a shard's primary node may take
	unansweredShare = 0.1       // of the failed requests per silent node without shared node health
)

// row defines a line of the table: a figure of a phase, measured for each number of fronts.
type row struct {
	phase, role, what, unit        string
	formula                        string
	formulaWithHealth              string  // with shared node health, empty if it is the same
	budget                         float64 // 0 for none
	budgetIsShare                  bool    // the budget is a share of the value without shared node health
	mechanism, mechanismWithHealth string  // package responsible for the figure, without and with shared node health
	figure                         func(*Result) float64
}

const (
	mechanismBackoff   = "`internal/net/backoff`"
	mechanismScheduler = "`scheduler`"
	mechanismSlowStart = "`scheduler/slowstart`"
	mechanismHealth    = "`internal/fleet/health`"
	mechanismMissing   = "missing"
)

func maxOverSeconds(r *Result, of func(*Second) float64) (highest float64) {
	for i := range r.Seconds {
		highest = max(highest, of(&r.Seconds[i]))
	}
	return highest
}

func inLastSecond(r *Result, of func(*Second) float64) float64 {
	return of(&r.Seconds[len(r.Seconds)-1])
}

func sumOf(f counter) func(*Second) float64 {
	return func(s *Second) float64 { return float64(s.Sum[f]) }
}

// probesToAnsweringNodes counts the probes to nodes that answer. A scheduler sends them before a request if slow answers are
// not rare.
func probesToAnsweringNodes(s *Second) float64 {
	return float64(s.Sum[probesSent] - s.Sum[probesToWatched])
}

func controlTraffic(s *Second) float64    { return float64(s.Control) }
func maxControlTraffic(s *Second) float64 { return float64(s.MaxControl) }
func answeredLines(s *Second) float64     { return s.AnsweredLines }

// total returns the sum of a counter over the phase and the fleet.
func total(r *Result, f counter) (sum float64) {
	for i := range r.Seconds {
		sum += float64(r.Seconds[i].Sum[f])
	}
	return sum
}

// timeUntil returns the time in seconds by which a share of the sorted times is reached, at most the phase's duration.
func timeUntil(r *Result, times []scheduler.Micros, share float64) float64 {
	return seconds(min(Quantile(times, share), r.Phase.Duration))
}

// silentRows returns the rows of a phase in which nodes become silent.
func silentRows(phase string) []row {
	return []row{
		{
			phase: phase, role: "front, control", what: "messages of control, mean of the fronts in the worst second", unit: "B/s",
			formula:           "silent nodes x probes of each x 270 B",
			formulaWithHealth: "probes x 270 B + health", budget: controlBudget, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, controlTraffic) / float64(r.Fronts) },
		},
		{
			phase: phase, role: "front, control", what: "the same, at the busiest front", unit: "B/s", formula: "as above",
			budget: controlBudget, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, maxControlTraffic) },
		},
		{
			phase: phase, role: "front, control", what: "messages of health alone, mean of the fronts in the worst second", unit: "B/s",
			formula: "none", formulaWithHealth: "2 x silent nodes x probers x 40 B, 8 KB sent at most", budget: controlBudget,
			mechanism: "none", mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, sumOf(healthBytes)) / float64(r.Fronts) },
		},
		{
			phase: phase, role: "front, control", what: "messages of control, mean in the last second", unit: "B/s", formula: "as above",
			budget: controlBudget, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return inLastSecond(r, controlTraffic) / float64(r.Fronts) },
		},
		{
			phase: phase, role: "node", what: "probes at each silent node in the worst second", unit: "/s",
			formula: "fronts x 1 / time of a probe (0.5 s)", formulaWithHealth: "40 at most over all zones",
			budget: probeBudget, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, sumOf(probesToWatched)) / float64(r.Watched) },
		},
		{
			phase: phase, role: "node", what: "probes at each silent node in the last second", unit: "/s",
			formula: "fronts x 8 / silence", formulaWithHealth: "zones x probers x 8 / silence, 0.5 for each prober at least",
			budget: probeBudget, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return inLastSecond(r, sumOf(probesToWatched)) / float64(r.Watched) },
		},
		{
			phase: phase, role: "fleet", what: "probes in the worst second", unit: "/s", formula: "fronts x silent nodes x the above, and the next",
			formulaWithHealth: "silent nodes x the above, and the next",
			mechanism:         mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, sumOf(probesSent)) },
		},
		{
			phase: phase, role: "fleet", what: "of these, at nodes that answer, ahead of requests", unit: "/s",
			formula: "requests whose node was not heard of for 2 s", mechanism: mechanismMissing, mechanismWithHealth: mechanismMissing,
			figure: func(r *Result) float64 { return maxOverSeconds(r, probesToAnsweringNodes) },
		},
		{
			phase: phase, role: "fleet", what: "failed requests for each silent node", unit: "",
			formula: "fronts x (1 + rate of a pair x 0.3 s)", formulaWithHealth: "requests at the node x time until the zone knows",
			budget: unansweredShare, budgetIsShare: true, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return total(r, unansweredAtWatched) / float64(r.Watched) },
		},
		{
			phase: phase, role: "front, data path", what: "time until 99% of fronts and silent nodes are apart", unit: "s",
			formula: "4.6 / rate of a pair + 0.3 s", formulaWithHealth: "stall + 2 x probe late", budget: avoidBudget,
			mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return timeUntil(r, r.Avoided, 0.99) },
		},
		{
			phase: phase, role: "front, data path", what: "time until all are", unit: "s", formula: "ln(pairs) / rate of a pair + 0.3 s",
			formulaWithHealth: "stall + 2 x probe late, 1 s more for each round of takeover", budget: avoidBudget,
			mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return timeUntil(r, r.Avoided, 1) },
		},
		{
			phase: phase, role: "front, control", what: "processor time of health", unit: "core", formula: "events x time of a step",
			budget: processorBudget, mechanism: "none", mechanismWithHealth: mechanismHealth, figure: func(r *Result) float64 { return r.HealthCPU },
		},
	}
}
