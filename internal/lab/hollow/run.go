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

	Avoided      []scheduler.Micros // time from the phase's start for each running front and each node it should avoid; or Never
	Informed     []scheduler.Micros // time from the change of the list, for each running front; or Never
	LastUnserved scheduler.Micros   // time from the phase's start to the last unserved request for a watched node's data

	CPU          float64       // processor seconds per front and second of virtual time
	SchedulerCPU float64       // part of CPU in the scheduler's steps
	HealthCPU    float64       // part of CPU in shared node health
	StepTime     time.Duration // processor time of a scheduler's step
	HeapAtStart  int64         // heap bytes per front right after the start
	HeapAtEnd    int64         // heap bytes per front at the end of the event
	Elapsed      time.Duration // wall-clock time
}

// Never is the time of an event that did not occur.
const Never scheduler.Micros = 1<<63 - 1

// Run starts a fleet, lets it warm up and runs the phases of an event.
func Run(settings Settings, e Event) ([]Result, error) {
	before := heapBytes()
	w, err := New(settings, e.spareNodes)
	if err != nil {
		return nil, err
	}
	start := (heapBytes() - before) / int64(settings.Fronts)
	w.Run(settings.WarmUp)
	var results []Result
	for _, p := range e.Phases {
		results = append(results, w.runPhase(p))
	}
	end := (heapBytes() - before) / int64(settings.Fronts)
	for i := range results {
		results[i].HeapAtStart, results[i].HeapAtEnd = start, end
	}
	runtime.KeepAlive(w)
	return results, nil
}

// runPhase runs one phase and measures it.
func (w *World) runPhase(p Phase) Result {
	began, cpu, from := time.Now(), processTime(), len(w.meter.seconds)
	w.takeCosts()
	w.watched = watched{}
	p.begin(w)
	w.Run(p.Duration)
	r := Result{Phase: p, Settings: w.settings, Digest: w.Digest(), Seconds: w.meter.seconds[from:], Elapsed: time.Since(began)}
	r.CPU = (processTime() - cpu).Seconds() / float64(w.settings.Fronts) / seconds(p.Duration)
	r.setCosts(w, p.Duration)
	r.collect(w)
	return r
}

func seconds(m scheduler.Micros) float64 { return float64(m) / float64(second) }

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// processTime returns the processor time that this process has used so far.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(fmt.Errorf("getrusage: %w", err)) // cannot happen: the arguments are valid
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// takeCosts returns the cost of all fronts and workers since the last call.
func (w *World) takeCosts() (sum cost) {
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

// setCosts splits the processor time by each part's share of the workers' wall-clock time. Wall-clock time itself would
// include the time in which the machine is busy with other processes.
func (r *Result) setCosts(w *World, duration scheduler.Micros) {
	c := w.takeCosts()
	cpuPerBusySecond := r.CPU / max(c.busy.Seconds(), 1e-9)
	r.SchedulerCPU, r.HealthCPU = cpuPerBusySecond*c.scheduler.Seconds(), cpuPerBusySecond*c.health.Seconds()
	steps := float64(max(c.steps, 1)) / float64(w.settings.Fronts) / seconds(duration)
	r.StepTime = time.Duration(r.SchedulerCPU / steps * float64(time.Second))
}

func (r *Result) collect(w *World) {
	x := &w.watched
	r.Watched = len(x.nodes)
	for _, f := range w.fronts {
		if f.stopped {
			continue
		}
		r.Fronts++
		for i, n := range x.nodes {
			if w.shouldAvoid(f, n) {
				r.Avoided = append(r.Avoided, sinceOrNever(f.avoidedSince[i], x.startedAt))
			}
		}
		if x.informedAt != nil {
			r.Informed = append(r.Informed, sinceOrNever(x.informedAt[f.id], x.publishedAt))
		}
		if x.unservedAt != nil && x.unservedAt[f.id] > 0 {
			r.LastUnserved = max(r.LastUnserved, x.unservedAt[f.id]-x.startedAt)
		}
	}
	slices.Sort(r.Avoided)
	slices.Sort(r.Informed)
}

// shouldAvoid reports whether a front should avoid a watched node: if the regions are cut off from each other, only nodes of
// the other region.
func (w *World) shouldAvoid(f *front, node int32) bool {
	return !w.watched.otherRegionOnly || w.links.regionOfActor(f.id) != w.links.regionOfActor(w.nodeID(node))
}

func sinceOrNever(at, from scheduler.Micros) scheduler.Micros {
	if at == 0 {
		return Never
	}
	return at - from
}

// Quantile returns the time by which a share of the sorted times is reached.
func Quantile(times []scheduler.Micros, share float64) scheduler.Micros {
	if len(times) == 0 {
		return 0
	}
	return times[min(len(times)-1, int(share*float64(len(times))))]
}
