package health

import (
	"testing"

	"otterturn/scheduler"
)

// mutations are deliberate faults in the code under test, by name. The random schedules must detect each of them.
var mutations = map[string]func(m *Monitor){
	"no quorum":               func(m *Monitor) { m.config.Quorum = 1 },
	"no takeover":             func(m *Monitor) { m.checks.requestRound = func(_, _ scheduler.Micros) int { return 0 } },
	"an earlier start counts": func(m *Monitor) { m.checks.sameStart = func(_, _ scheduler.Micros) bool { return true } },
	"a front counts twice":    func(m *Monitor) { m.checks.add = func(e *evidence, o observation) { *e = append(*e, o) } },
	"evidence never expires":  func(m *Monitor) { m.config.EvidenceLifetime = 1000 * second },
}

// maxSchedules is the maximum number of schedules to detect one fault.
const maxSchedules = 3000

func TestSchedulesDetectDeliberateFaults(t *testing.T) {
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			random := newRandom(7)
			for i := range maxSchedules {
				moves := randomMoves(random)
				fronts, nodes := 2+random.IntN(4), 1+random.IntN(2)
				violations := newTrial(uint64(i), fronts, nodes, mutate).play(moves)
				if len(violations) == 0 {
					continue
				}
				for _, violation := range newTrial(uint64(i), fronts, nodes, nil).play(moves) {
					t.Errorf("schedule %d %v also fails without the fault: %s", i, moves, violation)
				}
				t.Logf("detected by schedule %d %v: %s", i, moves, violations[0])
				return
			}
			t.Errorf("not detected by %d schedules", maxSchedules)
		})
	}
}
