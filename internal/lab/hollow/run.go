package hollow

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"otterturn/scheduler"
)

// Result holds the measurements of a phase of a script.
type Result struct {
	Phase    Phase
	Settings Settings
	Digest   uint64 // of the whole run up to the end of the phase
	Seconds  []Second
	Watched  int // number of nodes that the phase affects
	Fronts   int // fronts running at the end of the phase

	Avoided  []scheduler.Micros // since the phase began, for each pair of a running front and a node that it should avoid; or Never
	Informed []scheduler.Micros // time since the list changed, for each running front
	Unserved scheduler.Micros   // time since the phase began of the last request for a watched node's data that was not served

	CPU       float64       // processor seconds per front and second of virtual time
	Scheduler float64       // part of CPU in the scheduler's steps
	Health    float64       // part of CPU in the health of nodes
	Step      time.Duration // processor time of a scheduler's step
	Start     int64         // heap bytes per front right after the start
	Heap      int64         // heap bytes per front at the end of the event
	Took      time.Duration // wall-clock time
}

// Never is the time of an event that did not occur.
const Never scheduler.Micros = 1<<63 - 1

// Run starts a fleet, lets it warm up and runs the phases of an event.
func Run(set Settings, e Event) ([]Result, error) {
	before := heap()
	w, err := New(set, e.spares)
	if err != nil {
		return nil, err
	}
	start := (heap() - before) / int64(set.Fronts)
	w.Run(set.Warm)
	var results []Result
	for _, p := range e.Phases {
		results = append(results, w.play(p))
	}
	end := (heap() - before) / int64(set.Fronts)
	for i := range results {
		results[i].Start, results[i].Heap = start, end
	}
	runtime.KeepAlive(w)
	return results, nil
}

// play runs one phase and measures it.
func (w *World) play(p Phase) Result {
	began, cpu, from := time.Now(), processorTime(), len(w.meter.seconds)
	w.spent()
	w.watched = watched{}
	p.do(w)
	w.Run(p.Span)
	r := Result{Phase: p, Settings: w.set, Digest: w.Digest(), Seconds: w.meter.seconds[from:], Took: time.Since(began)}
	r.CPU = (processorTime() - cpu).Seconds() / float64(w.set.Fronts) / seconds(p.Span)
	r.cost(w, p.Span)
	r.collect(w)
	return r
}

func seconds(m scheduler.Micros) float64 { return float64(m) / float64(second) }

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Errorf("getrusage: %w", err)) // cannot happen: the arguments are valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// spent returns the cost of all fronts and workers since the last call.
func (w *World) spent() (sum cost) {
	for _, f := range w.fronts {
		sum.scheduler += f.cost.scheduler
		sum.health += f.cost.health
		sum.steps += f.cost.steps
		f.cost = cost{}
	}
	for i := range w.busy {
		sum.busy += w.busy[i]
		w.busy[i] = 0
	}
	return sum
}

// cost splits the processor time by each part's share of the workers' wall-clock time. Wall-clock time itself would include
// the time in which the machine is busy with other processes.
func (r *Result) cost(w *World, span scheduler.Micros) {
	c := w.spent()
	each := r.CPU / max(c.busy.Seconds(), 1e-9)
	r.Scheduler, r.Health = each*c.scheduler.Seconds(), each*c.health.Seconds()
	steps := float64(max(c.steps, 1)) / float64(w.set.Fronts) / seconds(span)
	r.Step = time.Duration(r.Scheduler / steps * float64(time.Second))
}

func (r *Result) collect(w *World) {
	x := &w.watched
	r.Watched = len(x.nodes)
	for _, f := range w.fronts {
		if f.down {
			continue
		}
		r.Fronts++
		for i, n := range x.nodes {
			if w.concerns(f, n) {
				r.Avoided = append(r.Avoided, after(f.avoided[i], x.from))
			}
		}
		if x.informedAt != nil {
			r.Informed = append(r.Informed, after(x.informedAt[f.id], x.newsAt))
		}
		if x.refusedAt != nil && x.refusedAt[f.id] > 0 {
			r.Unserved = max(r.Unserved, x.refusedAt[f.id]-x.from)
		}
	}
	slices.Sort(r.Avoided)
	slices.Sort(r.Informed)
}

// concerns reports whether a front should avoid a watched node: if the regions are cut off from each other, only nodes of
// the other region.
func (w *World) concerns(f *front, node int32) bool {
	return !w.watched.across || w.links.region(f.id) != w.links.region(w.nodeID(node))
}

func after(at, from scheduler.Micros) scheduler.Micros {
	if at == 0 {
		return Never
	}
	return at - from
}

// Share returns the time by which a share of the sorted times is reached.
func Share(times []scheduler.Micros, share float64) scheduler.Micros {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(share*float64(len(times))))]
}
