package health

import (
	"testing"

	"otterturn/scheduler"
)

// breaks are deliberate faults in the code under test, by name. The random schedules must detect each of them.
var breaks = map[string]func(m *Monitor){
	"no quorum":               func(m *Monitor) { m.config.Quorum = 1 },
	"no takeover":             func(m *Monitor) { m.checks.round = func(_, _ scheduler.Micros) int { return 0 } },
	"an earlier start counts": func(m *Monitor) { m.checks.sameStart = func(_, _ scheduler.Micros) bool { return true } },
	"a front counts twice":    func(m *Monitor) { m.checks.add = func(e *evidence, o observation) { *e = append(*e, o) } },
	"evidence never expires":  func(m *Monitor) { m.config.EvidenceLifetime = 1000 * second },
}

// tries is the maximum number of schedules to detect one fault.
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
					t.Errorf("schedule %d %v also fails without the fault: %s", i, moves, whole)
				}
				t.Logf("detected by schedule %d %v: %s", i, moves, wrong[0])
				return
			}
			t.Errorf("not detected by %d schedules", tries)
		})
	}
}
