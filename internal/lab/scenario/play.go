package scenario

import (
	"math/rand/v2"
	"time"

	"otterturn/internal/lab/baseline"
	"otterturn/internal/lab/model"
	"otterturn/internal/lab/world"
	"otterturn/scheduler"
)

const second = scheduler.Micros(1_000_000)

// maxUnits is the maximum size of a request.
const maxUnits = 8

func micros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }

// Settings returns the scheduler's settings for the scenario.
func (s Scenario) Settings() scheduler.Settings {
	set := scheduler.Settings{
		Fronts: s.Fronts, PeerMessages: true, Tick: 2000, MeanUnits: 2, MaxUnits: maxUnits, MaxAttempts: 4, HealthChecks: true, ServedElsewhereReported: false,
		RetryAfter: true, MaxRetryAfter: second / 2,
		InitialCapacity: s.Nodes.ColdFrom, SlowStart: micros(s.Nodes.Ramp), OverloadMultiple: 2.5, OverloadSpan: second, SlowStartUnits: 8,
		Plans: []scheduler.Plan{{Reservation: 8, Weight: 1}, {Weight: 1}},
	}
	for _, k := range s.mix.Kinds {
		set.Classes = append(set.Classes, k.class())
	}
	if s.Load.Limited > 0 {
		set.Plans[1].Limit, set.Plans[1].Burst = s.Load.Limit, s.Load.Burst
	}
	return set
}

// Variant is one scheduling algorithm, or one set of settings, of a comparison. The first variant of a comparison is the
// reference.
type Variant struct {
	Name string
	Make func(front int, set scheduler.Settings, seed int64) (world.Decider, error)
}

// CurrentScheduler is the scheduler of this build.
var CurrentScheduler = Variant{"rules", func(front int, set scheduler.Settings, seed int64) (world.Decider, error) {
	set.FrontIndex = front
	return scheduler.New(set, seed)
}}

// AllVariants returns the scheduler, its variants in the scenario and the baselines.
func (s Scenario) AllVariants() []Variant {
	out := []Variant{CurrentScheduler}
	for _, v := range s.Variants {
		out = append(out, Variant{v.Name, func(front int, set scheduler.Settings, seed int64) (world.Decider, error) {
			set.FrontIndex = front
			if v.Tries > 0 {
				set.MaxAttempts = v.Tries
			}
			if v.Advice > 0 {
				set.MaxRetryAfter = micros(v.Advice)
			}
			set.RetryAfter, set.HealthChecks = !v.Without, !v.Blind
			return scheduler.New(set, seed)
		}})
	}
	return append(out,
		Variant{"at once", func(_ int, set scheduler.Settings, _ int64) (world.Decider, error) { return baseline.New(set, 0), nil }},
		Variant{"window", func(_ int, set scheduler.Settings, _ int64) (world.Decider, error) { return baseline.New(set, 4), nil }})
}

// Day is a scenario with all its random values drawn.
type Day struct {
	Scenario
	World    *world.World
	requests []world.Request
	seed     uint64
}

// Day draws a day. Its world has no fronts yet.
func (s Scenario) Day(seed uint64) Day {
	rng := rand.New(rand.NewPCG(seed, 1))
	set, nodes, power := s.Settings(), []*model.Node{}, 0.0
	n := s.Nodes
	for range n.Count {
		f := model.Parameters{
			Cores: n.Cores, Speed: n.Speed[0] + (n.Speed[1]-n.Speed[0])*rng.Float64(),
			Room: n.Room, ColdFrom: n.ColdFrom, Ramp: int64(micros(n.Ramp)), OverloadMultiple: set.OverloadMultiple,
			OverloadSpan: int64(set.OverloadSpan), OverloadFreeWork: set.SlowStartUnits * 60_000, FullQueueCost: n.Overfull, DeferredShare: n.PutOff,
			DeferredFor: int64(micros(n.PutFor)), ProbeWork: float64(micros(n.Probe)), ConnWork: float64(micros(n.Connect)),
			MaxConns: n.Conns, MaxRemembered: 10_000,
		}
		if n.Near > 0 {
			f.Near, f.NearSpan = n.Near, int64(second)
		}
		for _, c := range set.Classes {
			f.KeyWindow = max(f.KeyWindow, int64(c.DedupWindow))
		}
		power += f.Speed * float64(f.Cores)
		nodes = append(nodes, model.New(f))
	}
	return Day{s, world.New(set, nodes, n.Halls, 500, seed), s.drawRequests(rng, power), seed}
}

// Kinds returns the kinds of requests, indexed by class.
func (s Scenario) Kinds() []Kind { return s.mix.Kinds }

// Play simulates one day in virtual time.
func (s Scenario) Play(seed uint64, v Variant) (Result, error) {
	return s.PlayWith(seed, s.Settings(), v)
}

// PlayWith is Play with other scheduler settings.
func (s Scenario) PlayWith(seed uint64, set scheduler.Settings, v Variant) (Result, error) {
	d := s.Day(seed)
	d.World.Set = set
	for i := range s.Fronts {
		decider, err := v.Make(i, d.World.Set, int64(seed)+int64(i))
		if err != nil {
			return Result{}, err
		}
		d.World.StartFront(i, decider)
	}
	return d.Run(), nil
}

// Run runs the day with the fronts that have been added to the world, and returns its result.
func (d Day) Run() Result {
	traces := newTracer(d)
	d.World.Watch(traces)
	for _, q := range d.requests {
		d.World.At(q.At, func() { d.World.Submit(q) })
	}
	for _, e := range d.Happens {
		d.scheduleEvent(e)
	}
	longest := scheduler.Micros(0)
	for _, k := range d.mix.Kinds {
		longest = max(longest, k.Waits.micros())
	}
	d.World.Run(micros(d.Length) + longest + second)
	return d.result(traces)
}

// scheduleEvent schedules the effects of an event on nodes and fronts. Its effects on the load are drawn with the requests.
func (d Day) scheduleEvent(e Event) {
	w, maxDelay := d.World, micros(d.Told)
	affectedNodes := func() []*world.Node {
		var running []*world.Node
		for _, n := range w.Nodes {
			if n.State == scheduler.Running && !n.Silent() && (e.What != "cut" || n.Zone == e.Hall) {
				running = append(running, n)
			}
		}
		w.Rand.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
		switch e.What {
		case "cut", "break", "spoil":
			return running
		}
		return running[:min(len(running), int(e.Share*float64(d.Nodes.Count)+0.5))]
	}
	end := micros(e.At + e.For)
	w.At(micros(e.At), func() {
		if e.What == "deaf" {
			w.BlockNodeList(0, w.Now+micros(e.For))
		}
		for i, n := range affectedNodes() {
			switch e.What {
			case "die":
				w.Kill(n)
				w.At(micros(e.At+e.Back), func() {
					w.Restart(n)
					w.PublishNodeList(maxDelay)
				})
			case "slow":
				n.Speed /= e.Times
				w.At(end, func() { n.Speed *= e.Times })
			case "pause":
				n.Pause(int64(w.Now), int64(w.Now+micros(e.For)))
			case "silence", "cut":
				n.Unresponsive = true
				w.At(end, func() { n.Unresponsive = false })
			case "break":
				n.BreakShare = e.Share
				w.At(end, func() { n.BreakShare = 0 })
			case "spoil":
				n.MalformedShare = e.Share
				w.At(end, func() { n.MalformedShare = 0 })
			case "replace":
				start := micros(e.At) + micros(e.Over)*scheduler.Micros(i)/scheduler.Micros(max(1, int(e.Share*float64(d.Nodes.Count))))
				w.At(start, func() {
					n.State = scheduler.Draining
					w.PublishNodeList(maxDelay)
				})
				w.At(start+micros(e.Drain), func() {
					w.ReplaceNode(n)
					w.PublishNodeList(maxDelay)
				})
			}
		}
	})
}
