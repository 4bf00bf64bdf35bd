package hollow

// allRows returns the rows of the table, in their order.
func allRows() []row {
	rows := ordinaryRows()
	rows = append(rows, silentRows("zone")...)
	rows = append(rows, silentRows("region")...)
	rows = append(rows, healedRows()...)
	rows = append(rows, listRows()...)
	rows = append(rows, silentRows("node")...)
	rows = append(rows, silentRows("rack")...)
	for _, phase := range []string{"node-restart", "node-restart-5", "primary", "granter"} {
		rows = append(rows, coldRows(phase)...)
	}
	return rows
}

func ordinaryRows() []row {
	const phase = "ordinary"
	return []row{
		{
			phase: phase, role: "front, control", what: "messages of control, mean of the fronts in the worst second", unit: "B/s",
			formula: "list calls / 2 s x 380 B", budget: controlBudget, mechanism: mechanismBackoff, mechanismWithHealth: mechanismBackoff,
			figure: func(r *Result) float64 { return maxOverSeconds(r, controlTraffic) / float64(r.Fronts) },
		},
		{
			phase: phase, role: "front, control", what: "processor time of health", unit: "core", formula: "requests x 2 events",
			budget: processorBudget, mechanism: "none", mechanismWithHealth: mechanismHealth, figure: func(r *Result) float64 { return r.HealthCPU },
		},
		{
			phase: phase, role: "front, data path", what: "processor time of the scheduler", unit: "core", formula: "requests x 2 steps",
			mechanism: mechanismScheduler, mechanismWithHealth: mechanismScheduler, figure: func(r *Result) float64 { return r.SchedulerCPU },
		},
		{
			phase: phase, role: "front, data path", what: "time of a scheduler's step", unit: "us", formula: "",
			mechanism: mechanismScheduler, mechanismWithHealth: mechanismScheduler,
			figure: func(r *Result) float64 { return float64(r.StepTime.Nanoseconds()) / 1000 },
		},
		{
			phase: phase, role: "front, control", what: "memory of a front", unit: "B", formula: "nodes x the next",
			budget: memoryBudget, mechanism: mechanismScheduler, mechanismWithHealth: mechanismScheduler,
			figure: func(r *Result) float64 { return float64(r.HeapAtEnd) },
		},
		{
			phase: phase, role: "front, control", what: "memory of a front for each node", unit: "B", formula: "",
			mechanism: mechanismScheduler, mechanismWithHealth: mechanismScheduler,
			figure: func(r *Result) float64 { return float64(r.HeapAtEnd) / float64(r.Settings.Nodes) },
		},
		{
			phase: phase, role: "discovery", what: "calls in the worst second", unit: "/s", formula: "fronts / 2 s", mechanism: mechanismBackoff,
			mechanismWithHealth: mechanismBackoff,
			figure:              func(r *Result) float64 { return maxOverSeconds(r, func(s *Second) float64 { return float64(s.Calls) }) },
		},
		{
			phase: phase, role: "node", what: "requests at the busiest node", unit: "/s", formula: "fronts x 708 / nodes",
			mechanism: mechanismScheduler, mechanismWithHealth: mechanismScheduler,
			figure: func(r *Result) float64 {
				return maxOverSeconds(r, func(s *Second) float64 { return float64(s.MaxAttemptsAtNode) })
			},
		},
	}
}

func healedRows() []row {
	const phase = "healed"
	return []row{
		{
			phase: phase, role: "front, control", what: "messages of control, mean of the fronts in the worst second", unit: "B/s",
			formula: "probes x 270 B + health + list calls", budget: controlBudget,
			mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, controlTraffic) / float64(r.Fronts) },
		},
		{
			phase: phase, role: "fleet", what: "share of the requests not served in the last second", unit: "", formula: "",
			mechanism: mechanismScheduler, mechanismWithHealth: mechanismHealth, figure: func(r *Result) float64 {
				return inLastSecond(r, func(s *Second) float64 {
					return float64(s.Sum[rejected]+s.Sum[failed]) / float64(max(s.Sum[requests], 1))
				})
			},
		},
		{
			phase: phase, role: "discovery", what: "lines in the worst second", unit: "/s", formula: "fronts cut off x 30 / 1.3 s",
			budget: DefaultSettings(FullFronts).DiscoveryLines, mechanism: mechanismBackoff, mechanismWithHealth: mechanismBackoff,
			figure: func(r *Result) float64 { return maxOverSeconds(r, answeredLines) },
		},
	}
}

// listRows returns the rows of phases that change the endpoint list. Health of nodes does not affect them.
func listRows() (rows []row) {
	discoveryLines := func(phase, formula, mechanism string) row {
		return row{
			phase: phase, role: "discovery", what: "lines asked for in the worst second", unit: "/s", formula: formula,
			budget: DefaultSettings(FullFronts).DiscoveryLines, mechanism: mechanism, mechanismWithHealth: mechanism,
			figure: func(r *Result) float64 { return maxOverSeconds(r, func(s *Second) float64 { return s.RequestedLines }) },
		}
	}
	controlBytes := func(phase, formula, mechanism string) row {
		return row{
			phase: phase, role: "front, control", what: "messages of control at the busiest front", unit: "B/s", formula: formula,
			budget: controlBudget, mechanism: mechanism, mechanismWithHealth: mechanism,
			figure: func(r *Result) float64 { return maxOverSeconds(r, maxControlTraffic) },
		}
	}
	informed := func(phase, formula, mechanism string, budget float64) row {
		return row{
			phase: phase, role: "front, control", what: "time until the list is in force at all fronts", unit: "s",
			formula: formula, budget: budget, mechanism: mechanism, mechanismWithHealth: mechanism,
			figure: func(r *Result) float64 { return timeUntil(r, r.Informed, 1) },
		}
	}
	return []row{
		informed("change", "fronts x entries / lines a second", mechanismBackoff, changeBudget),
		discoveryLines("change", "fronts x entries", mechanismBackoff),
		controlBytes("change", "entries x 140 B + a call", mechanismBackoff),
		controlBytes("front-restart", "a call, and asks of cold nodes", mechanismBackoff),
		discoveryLines("front-restart", "restarts x 30", mechanismBackoff),
		discoveryLines("front-restart-5", "restarts x 30", mechanismBackoff),
		informed("start-all", "3 s + 2 s", mechanismBackoff, 0),
		discoveryLines("start-all", "fronts / 3 s x 30", mechanismBackoff),
		controlBytes("start-all", "a call", mechanismBackoff),
		controlBytes("reload", "nodes x 140 B", mechanismMissing),
		discoveryLines("reload", "fronts x (nodes + 30) / 3 s", mechanismMissing),
		{
			phase: "reload", role: "front, control", what: "time until the list is in force at all fronts, reckoned", unit: "s",
			formula: "fronts x (nodes + 30) / lines a second", budget: changeBudget,
			mechanism: mechanismMissing, mechanismWithHealth: mechanismMissing,
			figure: func(r *Result) float64 {
				return float64(r.Settings.Fronts) * float64(r.Settings.Nodes+firstCallLines) / r.Settings.DiscoveryLines
			},
		},
		{
			phase: "reload", role: "front, control", what: "share of the fronts that have it after 4 s", unit: "", formula: "4 s / the above",
			mechanism: mechanismMissing, mechanismWithHealth: mechanismMissing, figure: func(r *Result) float64 {
				had := 0
				for _, at := range r.Informed {
					if seconds(at) <= changeBudget {
						had++
					}
				}
				return float64(had) / float64(max(len(r.Informed), 1))
			},
		},
	}
}

// coldRows returns the rows of a phase in which a node starts cold.
func coldRows(phase string) []row {
	return []row{
		{
			phase: phase, role: "fleet", what: "messages about cold nodes in the worst second", unit: "/s",
			formula: "2 x requests held + answers of the node", mechanism: mechanismSlowStart, mechanismWithHealth: mechanismSlowStart,
			figure: func(r *Result) float64 { return maxOverSeconds(r, sumOf(peerMessagesSent)) },
		},
		{
			phase: phase, role: "granter of a cold node", what: "messages of control at the busiest front", unit: "B/s",
			formula: "the above x 70 B", budget: controlBudget, mechanism: mechanismSlowStart, mechanismWithHealth: mechanismSlowStart,
			figure: func(r *Result) float64 { return maxOverSeconds(r, maxControlTraffic) },
		},
		{
			phase: phase, role: "node", what: "probes at the node in the worst second", unit: "/s", formula: "fronts that met it x 5",
			budget: probeBudget, mechanism: mechanismMissing, mechanismWithHealth: mechanismHealth,
			figure: func(r *Result) float64 { return maxOverSeconds(r, sumOf(probesToWatched)) / float64(r.Watched) },
		},
		{
			phase: phase, role: "front, control", what: "time until the list is in force at all fronts", unit: "s",
			formula: "fronts x entries / lines a second", budget: changeBudget, mechanism: mechanismBackoff, mechanismWithHealth: mechanismBackoff,
			figure: func(r *Result) float64 { return timeUntil(r, r.Informed, 1) },
		},
		{
			phase: phase, role: "front, data path", what: "time of the last request for its data that was not served", unit: "s",
			formula: "ramp of a cold node", budget: primaryBudget, mechanism: mechanismSlowStart, mechanismWithHealth: mechanismSlowStart,
			figure: func(r *Result) float64 { return seconds(min(r.LastUnserved, r.Phase.Duration)) },
		},
	}
}
