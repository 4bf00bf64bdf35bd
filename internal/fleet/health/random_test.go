package health

import (
	"flag"
	"fmt"
	"testing"

	"otterturn/scheduler"
	"pgregory.net/rapid"
)

// scheduleCount returns the number of random schedules to play: 10,000, or 2,000 under the race detector.
func scheduleCount() int {
	if raceEnabled {
		return 2000
	}
	return 10_000
}

var moveWaits = []scheduler.Micros{20_000, 120_000, 300_000, 1_100_000}

func moveOf(t *rapid.T, i int) move {
	return move{
		fault: fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, fmt.Sprintf("fault %d", i))),
		at:    rapid.IntRange(0, 3).Draw(t, fmt.Sprintf("at %d", i)),
		wait:  rapid.SampledFrom(moveWaits).Draw(t, fmt.Sprintf("wait %d", i)),
	}
}

// playRandom draws one schedule, plays it and returns the violations.
func playRandom(t *rapid.T, mutate func(m *Monitor)) []string {
	fronts := rapid.IntRange(2, 5).Draw(t, "fronts")
	nodes := rapid.IntRange(1, 2).Draw(t, "nodes")
	seed := rapid.Uint64Range(0, 1000).Draw(t, "seed")
	var moves []move
	if rapid.IntRange(0, 3).Draw(t, "late news") == 0 {
		moves = staleEvidenceMoves(rapid.IntRange(0, 1).Draw(t, "late at"))
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "moves") {
		moves = append(moves, moveOf(t, i))
	}
	return newTrial(seed, fronts, nodes, mutate).play(moves)
}

func TestRandomSchedules(t *testing.T) {
	previous := flag.Lookup("rapid.checks").Value.String()
	if err := flag.Set("rapid.checks", fmt.Sprint(scheduleCount())); err != nil {
		t.Fatal(err)
	}
	defer flag.Set("rapid.checks", previous)
	played := 0
	rapid.Check(t, func(t *rapid.T) {
		played++
		for _, violation := range playRandom(t, nil) {
			t.Error(violation)
		}
	})
	t.Logf("%d schedules", played)
}
