package hollow

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"otterturn/scheduler"
)

// Result is what a fleet did in a phase of a script.
type Result struct {
	Phase    Phase
	Settings Settings
	Digest   uint64 // of all up to its end
	Seconds  []Second
	Watched  int // nodes that the phase was about
	Fronts   int // that run at its end

	Avoided  []scheduler.Micros // since it began, for each front that runs and node that it is to avoid; Never where it does not
	Informed []scheduler.Micros // since the news, for each front that runs
	Unserved scheduler.Micros   // since it began, the last request for a watched node's data that was not served

	CPU       float64 // seconds of a processor for each front and second of virtual time, of these
	Scheduler float64 // in the scheduler's steps,
	Health    float64 // and in the health of nodes
	Step      time.Duration
	Start     int64 // bytes of a front that has just started
	Heap      int64 // bytes of a front at the end of the event
	Took      time.Duration
}

// Never is the time of what did not come.
const Never scheduler.Micros = 1<<63 - 1

// Run plays an event to a fleet.
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

// play plays one phase.
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

// processorTime is what this process has taken so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Errorf("getrusage: %w", err)) // the arguments are good, so it can't
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// spent is the cost of all fronts since it was asked last.
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

// cost divides the processor time by the parts' shares of the wall-clock time: that is longer where the machine is busy
// with other things.
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

// concerns tells that a front is to avoid a watched node: where the regions are cut, one of the other region.
func (w *World) concerns(f *front, node int32) bool {
	return !w.watched.across || w.links.region(f.id) != w.links.region(w.nodeID(node))
}

func after(at, from scheduler.Micros) scheduler.Micros {
	if at == 0 {
		return Never
	}
	return at - from
}

// Share is the time by which a share of sorted times has come.
func Share(times []scheduler.Micros, share float64) scheduler.Micros {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(share*float64(len(times))))]
}
