package health

import (
	"fmt"

	"otterturn/scheduler"
)

// probe simulates a probe: it ends soon if the node answers or refuses, and by timeout if the node is silent.
func (w *simulation) probe(f *simFront, n *simNode) {
	n.probes = append(n.probes, w.now)
	ended := func(after scheduler.Micros, ok bool) {
		w.deliverAt(f, w.now+after, ProbeEnded{scheduler.HealthChecked{Node: n.name, OK: ok, Queue: -1}})
	}
	switch {
	case !w.reaches(f.number, n):
		ended(w.probeTimeout, false)
	case !n.dead:
		ended(1_000+scheduler.Micros(w.random.IntN(1000)), true)
	case n.refuse:
		ended(1_000, false)
	default:
		ended(w.probeTimeout, false)
	}
}

// request sends one request unless the front's scheduler avoids the node. A request to a silent node times out after
// 400 ms.
func (w *simulation) request(f *simFront, n *simNode, id string) {
	if f.paused || f.removed || f.excluded[n.name] {
		return
	}
	w.step(f, AttemptStarted{Node: n.name, ID: id})
	end := func(after scheduler.Micros, result scheduler.Result) {
		generation := f.generation
		w.push(simEvent{at: w.now + after, front: f.number, generation: generation, run: func() {
			switch {
			case result == scheduler.OK:
				f.excluded[n.name] = false
			default:
				f.failedRequests[n.name]++
				if !f.excluded[n.name] {
					f.excluded[n.name] = true
					w.requestProbe(f, n.name, 0)
				}
			}
			w.step(f, AttemptEnded{Node: n.name, ID: id, Result: result})
			if result == scheduler.OK && w.onSuccess != nil {
				w.onSuccess(f, n.name)
			}
		}})
	}
	switch {
	case !w.reaches(f.number, n) || n.dead && !n.refuse:
		end(400_000, scheduler.TimedOut)
	case n.dead:
		end(1_000, scheduler.Unreachable)
	default:
		end(2_000+scheduler.Micros(w.random.IntN(4000)), scheduler.OK)
	}
}

// load sends requests as a Poisson process from each front to each node, at the given rate per pair, until a time.
func (w *simulation) load(perSecond float64, nodes []*simNode, until scheduler.Micros) {
	for _, f := range w.fronts {
		for _, n := range nodes {
			w.scheduleRequest(f, n, perSecond, until, 0)
		}
	}
}

func (w *simulation) scheduleRequest(f *simFront, n *simNode, perSecond float64, until scheduler.Micros, count int) {
	at := w.now + 1 + scheduler.Micros(w.random.ExpFloat64()/perSecond*1_000_000)
	if at > until {
		return
	}
	w.at(at, func() {
		w.request(f, n, fmt.Sprintf("%d-%d-%d", f.number, n.index, count))
		w.scheduleRequest(f, n, perSecond, until, count+1)
	})
}
