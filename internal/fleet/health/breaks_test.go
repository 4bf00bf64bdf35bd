package health

import (
	"testing"

	"otterturn/scheduler"
)

// breaks are faults made on purpose: the schedules must find each of them.
var breaks = map[string]func(m *Monitor){
	"no quorum":             func(m *Monitor) { m.config.Quorum = 1 },
	"no takeover":           func(m *Monitor) { m.checks.round = func(_, _ scheduler.Micros) int { return 0 } },
	"a former start counts": func(m *Monitor) { m.checks.sameStart = func(_, _ scheduler.Micros) bool { return true } },
	"a front counts twice":  func(m *Monitor) { m.checks.add = func(e *evidence, o observation) { *e = append(*e, o) } },
	"evidence never fades":  func(m *Monitor) { m.config.EvidenceLifetime = 1000 * second },
}

// tries is how many schedules a break may take to be found.
const tries = 3000

func TestSchedulesFindBreaksMadeOnPurpose(t *testing.T) {
	for name, broken := range breaks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := newRandom(7)
			for i := range tries {
				moves := randomMoves(random)
				fronts, nodes := 2+random.IntN(4), 1+random.IntN(2)
				wrong := newTrial(uint64(i), fronts, nodes, broken).play(moves)
				if len(wrong) == 0 {
					continue
				}
				for _, whole := range newTrial(uint64(i), fronts, nodes, nil).play(moves) {
					t.Errorf("schedule %d %v finds the whole program wrong: %s", i, moves, whole)
				}
				t.Logf("found by schedule %d %v: %s", i, moves, wrong[0])
				return
			}
			t.Errorf("not found by %d schedules", tries)
		})
	}
}
