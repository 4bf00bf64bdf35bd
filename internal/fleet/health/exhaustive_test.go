package health

import (
	"fmt"
	"slices"
	"testing"

	"otterturn/scheduler"
)

// allMoves returns all possible moves in a simulation with the given numbers of fronts and nodes.
func allMoves(fronts, nodes int, wait scheduler.Micros) (moves []move) {
	for f := range faultCount {
		places := 1
		switch {
		case slices.Contains([]fault{frontCrashes, frontLeaves, frontPauses, linkCut, reachCut}, f):
			places = fronts
		case f <= nodeDrains:
			places = nodes
		}
		for at := range places {
			moves = append(moves, move{f, at, wait})
		}
	}
	return moves
}

// Plays every sequence of faults in small simulations, with up to three waits after each fault: within the duration of
// a probe (30 ms), of a delayed message (150 ms) and of the lifetime of evidence (1.1 s).
func TestAllFaultSequencesInSmallFleets(t *testing.T) {
	const millisecond scheduler.Micros = 1000
	for _, c := range []struct {
		fronts, nodes, length int
		waits                 []scheduler.Micros
	}{
		{2, 1, 3, []scheduler.Micros{150 * millisecond}},
		{2, 2, 2, []scheduler.Micros{30 * millisecond, 150 * millisecond, 1100 * millisecond}},
		{3, 1, 2, []scheduler.Micros{30 * millisecond, 150 * millisecond, 1100 * millisecond}},
		{3, 2, 2, []scheduler.Micros{150 * millisecond}},
	} {
		t.Run(fmt.Sprintf("%d fronts, %d nodes, %d faults", c.fronts, c.nodes, c.length), func(t *testing.T) {
			t.Parallel()
			played := 0
			for _, wait := range c.waits {
				forEachSequence(allMoves(c.fronts, c.nodes, wait), c.length, func(list []move) {
					played++
					for _, violation := range newTrial(1, c.fronts, c.nodes, nil).play(list) {
						t.Errorf("%v: %s", list, violation)
					}
				})
			}
			t.Logf("%d schedules", played)
		})
	}
}

// forEachSequence calls do with every sequence of moves of the given length.
func forEachSequence(moves []move, length int, do func(list []move)) {
	if length == 0 {
		do(nil)
		return
	}
	for _, m := range moves {
		forEachSequence(moves, length-1, func(rest []move) { do(append([]move{m}, rest...)) })
	}
}

// receivedObservation is an observation received from another front in the message with the given sequence number.
type receivedObservation struct {
	from     int
	sequence uint32
	state    State
	at       scheduler.Micros
}

// The order and duplication of messages must not change the final evidence and verdict of a front.
func TestVerdictIsIndependentOfMessageOrderAndDuplicates(t *testing.T) {
	const now = 100 * second
	all := []receivedObservation{
		{1, 2, Silent, now - 3*second},
		{1, 3, Reachable, now - 2*second},
		{1, 4, Silent, now - second},
		{2, 2, Reachable, now - 5*second/2},
		{2, 3, Silent, now - second/2},
		{3, 2, Reachable, now - second/4},
	}
	type held struct {
		avoided  bool
		evidence string
	}
	played := 0
	var first *held
	permute(all, func(order []receivedObservation) {
		for repeated := -1; repeated < len(order); repeated++ {
			list := slices.Clone(order)
			if repeated >= 0 {
				list = append(list, order[repeated])
			}
			m := newTestMonitor(t, 0, zonesOf(1, 4), now)
			for from := 1; from < 4; from++ { // establish the clock offsets
				m.Step(now, []Event{MessageReceived{from, Message{Incarnation: 1, Sequence: 1, Sent: now}}})
			}
			for _, e := range list {
				m.Step(now, []Event{MessageReceived{e.from, Message{Incarnation: 1, Sequence: e.sequence, Sent: now, Entries: []Entry{
					{Node: NodeKey("a"), StartedAt: encodeStart(second), State: e.state, Age: now - e.at},
				}}}})
			}
			n := m.byName["a"]
			evidence := slices.Clone(n.evidence)
			slices.SortFunc(evidence, func(a, b observation) int { return a.front - b.front })
			outcome := held{n.avoided, sprint(evidence)}
			if first == nil {
				first = &outcome
			}
			if outcome != *first {
				t.Fatalf("messages %v lead to %v, other orders to %v", list, outcome, *first)
			}
			played++
		}
	})
	if !first.avoided {
		t.Error("two of three fronts found the node silent, but it is not avoided")
	}
	t.Logf("%d sequences", played)
}

// permute calls do with every permutation of a list.
func permute(list []receivedObservation, do func([]receivedObservation)) {
	if len(list) <= 1 {
		do(list)
		return
	}
	for i := range list {
		rest := slices.Concat(list[:i], list[i+1:])
		permute(rest, func(order []receivedObservation) { do(append([]receivedObservation{list[i]}, order...)) })
	}
}
