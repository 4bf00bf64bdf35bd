package health

import (
	"testing"

	"otterturn/scheduler"
)

// avoiding returns the number of pairs of a front and a node that it avoids.
func (w *simulation) avoiding() (count int) {
	for _, f := range w.fronts {
		count += f.monitor.Counters().Avoided
	}
	return count
}

// A front that was paused must not suspect nodes or find them silent because it read their answers late.
func TestPausedFrontReportsNoSilentNodes(t *testing.T) {
	w := newSimulation(2, zonesOf(1, 4), 3, nil)
	begin := w.now
	w.load(20, w.nodes, begin+10*second)
	negativeEntries := 0
	w.onAction = func(_ *simFront, a Action) {
		if s, ok := a.(SendMessage); ok {
			for _, e := range s.Message.Entries {
				if e.State != Reachable {
					negativeEntries++
				}
			}
		}
	}
	for at := begin + second; at < begin+8*second; at += second {
		w.at(at, func() { w.fronts[0].paused = true })
		w.at(at+700_000, func() { w.resume(w.fronts[0]) })
	}
	w.run(begin + 10*second)
	if negativeEntries > 0 || w.avoiding() > 0 {
		t.Errorf("%d entries sent that report nodes silent or suspected, %d nodes avoided", negativeEntries, w.avoiding())
	}
}

// When probers crash, are paused or are disconnected, the next fronts by rank take over, and all fronts avoid the node.
func TestNextFrontsTakeOverFromFailedProbers(t *testing.T) {
	for name, fail := range map[string]func(w *simulation, f *simFront){
		"crashed": func(_ *simulation, f *simFront) { f.generation++ },
		"paused":  func(_ *simulation, f *simFront) { f.paused = true },
		"disconnected": func(w *simulation, f *simFront) {
			link := w.link
			w.link = func(from, to int) []scheduler.Micros {
				if from == f.number || to == f.number {
					return nil
				}
				return link(from, to)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(3, zonesOf(1, 12), 1, nil)
			begin := w.now
			w.load(5, w.nodes, begin+20*second)
			failed := rankFronts(w.fronts[0].monitor.zone, NodeKey("node-0"))[:DefaultProbers]
			w.at(begin+second, func() {
				for _, front := range failed {
					fail(w, w.fronts[front])
				}
				w.setAll(true)
			})
			w.run(begin + 4*second)
			for _, f := range w.fronts {
				if c := f.monitor.Counters(); c.Avoided == 0 && f.number != failed[0] && f.number != failed[1] && f.number != failed[2] {
					t.Errorf("front %d does not avoid a node that has been silent for 3 s", f.number)
				}
			}
		})
	}
}
