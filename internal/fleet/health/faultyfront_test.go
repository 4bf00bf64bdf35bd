package health

import (
	"fmt"
	"slices"
	"testing"

	"otterturn/scheduler"
)

// One faulty front must not make others avoid a node that they can reach. The front is disconnected from all nodes (also
// without receiving or sending messages), has slow links, is paused repeatedly, or reports all nodes silent.
func TestSingleFaultyFrontMakesNoNodeAvoided(t *testing.T) {
	const fronts, nodes = 8, 20
	faults := map[string]func(w *simulation, f *simFront){
		"cut off from nodes": func(w *simulation, f *simFront) {
			w.reaches = func(front int, _ *simNode) bool { return front != f.number }
		},
		"receives nothing": func(w *simulation, f *simFront) {
			w.reaches = func(front int, _ *simNode) bool { return front != f.number }
			w.link = func(_, to int) []scheduler.Micros { return delays(to != f.number) }
		},
		"sends nothing": func(w *simulation, f *simFront) {
			w.reaches = func(front int, _ *simNode) bool { return front != f.number }
			w.link = func(from, _ int) []scheduler.Micros { return delays(from != f.number) }
		},
		"slow links": func(w *simulation, f *simFront) {
			w.link = func(from, to int) []scheduler.Micros {
				if from == f.number || to == f.number {
					return []scheduler.Micros{100_000 + scheduler.Micros(w.random.IntN(900_000))}
				}
				return delays(true)
			}
		},
		"paused repeatedly": func(w *simulation, f *simFront) {
			for i := range scheduler.Micros(10) {
				w.at(w.now+i*second, func() { f.paused = true })
				w.at(w.now+i*second+30_000+i*90_000, func() { w.resume(f) })
			}
		},
		"reports all silent": func(w *simulation, f *simFront) { broadcastState(w, f, Silent) },
	}
	for name, applyFault := range faults {
		for number := range 3 {
			t.Run(fmt.Sprintf("%s %d", name, number), func(t *testing.T) {
				w := newSimulation(uint64(number), zonesOf(2, fronts), nodes, nil)
				f := w.fronts[number]
				w.onAction = func(at *simFront, a Action) {
					if r, ok := a.(ReportSilent); ok && at != f {
						t.Errorf("front %d avoids %s, although it can reach it", at.number, r.Node)
					}
				}
				w.load(2, w.nodes, w.now+12*second)
				w.at(w.now+second, func() { applyFault(w, f) })
				w.run(w.now + 12*second)
			})
		}
	}
}

func delays(whole bool) []scheduler.Micros {
	if whole {
		return []scheduler.Micros{500}
	}
	return nil
}

// broadcastState makes a front send the same state for all nodes to all fronts, ten times per second.
func broadcastState(w *simulation, f *simFront, state State) {
	sequence := uint32(1 << 20)
	var again func()
	again = func() {
		for _, to := range w.fronts {
			for part := range slices.Chunk(w.nodes, entriesPerMessage) {
				sequence++
				m := Message{Incarnation: f.config.Incarnation, Sequence: sequence, Sent: w.now}
				for _, n := range part {
					m.Entries = append(m.Entries, Entry{NodeKey(n.name), encodeStart(n.start), state, 0})
				}
				w.deliverAt(to, w.now+500, MessageReceived{f.number, m})
			}
		}
		w.at(w.now+second/10, again)
	}
	again()
}

// A front that reports all nodes reachable must not keep other fronts from avoiding silent nodes.
func TestSingleFrontCannotKeepSilentNodeInUse(t *testing.T) {
	w := newSimulation(1, zonesOf(1, 8), 4, nil)
	w.load(5, w.nodes, w.now+10*second)
	broadcastState(w, w.fronts[0], Reachable)
	w.at(w.now+second, func() { w.setAll(true) })
	w.run(w.now + 4*second)
	for _, f := range w.fronts[1:] {
		if c := f.monitor.Counters(); c.Avoided != 4 {
			t.Errorf("front %d avoids %d of 4 silent nodes", f.number, c.Avoided)
		}
	}
}

// A zone that cannot reach some nodes avoids them, and no other zone does. It uses them again when it can reach them.
func TestOnlyAffectedZoneAvoidsUnreachableNodes(t *testing.T) {
	const fronts = 6
	w := newSimulation(1, zonesOf(3, fronts), 10, nil)
	cut := false
	w.reaches = func(front int, n *simNode) bool { return !cut || front >= fronts || n.index < 5 }
	w.load(2, w.nodes, w.now+30*second)
	w.at(w.now+second, func() { cut = true })
	w.run(w.now + 5*second)
	for _, f := range w.fronts {
		want := 0
		if f.number < fronts {
			want = 5
		}
		if c := f.monitor.Counters(); c.Avoided != want {
			t.Errorf("front %d avoids %d nodes, want %d", f.number, c.Avoided, want)
		}
	}
	w.at(w.now+second, func() { cut = false })
	w.run(w.now + 8*second)
	if avoided := w.avoiding(); avoided > 0 {
		t.Errorf("%d nodes still avoided after the connection returned", avoided)
	}
}
