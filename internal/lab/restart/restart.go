// Package restart measures the use of saved learned state. It runs the same load three times: with a front that is not
// restarted, with one that is restarted with its learned state, and with one that is restarted without it.
package restart

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"otterturn/internal/lab/model"
	"otterturn/internal/lab/world"
	"otterturn/internal/state/decay"
	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
)

// Times of a run, in microseconds.
const (
	second         = scheduler.Micros(1_000_000)
	learnTime      = 30 * second          // time for which the front learns
	downtime       = second / 2           // downtime of the front after that
	countedTime    = 10 * second          // time after the downtime whose requests are counted
	maxSnapshotAge = 5 * second           // maximum age of a snapshot when the front stops
	coldStart      = learnTime - 3*second // start of the cold node
)

// variants names the runs, in the order of the columns.
var variants = []string{"never restarted", "with what it learned", "without"}

// Result is the worth of the counted requests and, by variant, the part of it that was served in time.
type Result struct {
	Seed   uint64
	Asked  float64
	Served [3]float64
	Failed [3]int // nodes that failed by overload
}

// settings returns the scheduler's settings for a site with one front.
func settings() scheduler.Settings {
	return scheduler.Settings{
		Fronts: 1, Tick: 2000, MeanUnits: 2, MaxUnits: 8, MaxAttempts: 4, HealthChecks: true,
		RetryAfter: true, MaxRetryAfter: second / 2,
		InitialCapacity: 0.2, SlowStart: 17 * second, OverloadMultiple: 2.5, OverloadSpan: second, SlowStartUnits: 8,
		Classes: []scheduler.Class{
			{LatencyObjective: 300_000, Idempotency: scheduler.Idempotent, Priority: 2},
			{LatencyObjective: 400_000, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameShard, DedupWindow: 3 * second, Priority: 2},
			{LatencyObjective: 2 * second, Idempotency: scheduler.Idempotent, Priority: 1},
		},
		Plans: []scheduler.Plan{{Weight: 1, Limit: 24, Burst: 72}, {Reservation: 8, Weight: 1}},
	}
}

// requestKinds lists, by class: the share of the requests, the mean work per unit in microseconds and the time after which the
// client gives up.
var requestKinds = []struct {
	share, work float64
	left        scheduler.Micros
}{{0.55, 20_000, 2_500_000}, {0.30, 35_000, 2_000_000}, {0.15, 60_000, 6_000_000}}

// drawDay draws nodes and requests. 3 of 10 nodes are slow. The caller restarts one node shortly before the front.
func drawDay(seed uint64) ([]*model.Node, []world.Request) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var nodes []*model.Node
	speeds := 0.0
	for i := range 10 {
		f := model.Parameters{
			Cores: 2, Speed: 0.85 + 0.85*rng.Float64(), Room: 24, ColdFrom: 0.25, Ramp: int64(15 * second),
			OverloadMultiple: 2.5, OverloadSpan: int64(second), OverloadFreeWork: 8 * 40_000,
		}
		if i%3 == 1 {
			f.Speed *= 0.35
		}
		speeds += f.Speed * float64(f.Cores)
		nodes = append(nodes, model.New(f))
	}
	// The load is 90% of the capacity of all nodes and spread evenly, so the slow nodes are overloaded.
	var requests []world.Request
	mean := 0.0
	for _, k := range requestKinds {
		mean += k.share * k.work * 2
	}
	rate := 0.9 * speeds / mean // requests per microsecond
	for at, n := 0.0, 0; at < float64(learnTime+downtime+countedTime); n++ {
		at += rng.ExpFloat64() / rate
		class, pick := 0, rng.Float64()
		for pick > requestKinds[class].share && class < len(requestKinds)-1 {
			pick -= requestKinds[class].share
			class++
		}
		units := float64(1 + rng.IntN(3))
		project, shard := rng.IntN(40), rng.IntN(len(nodes))
		if class == 1 { // a new object, which any node accepts
			shard = -1
		}
		requests = append(requests, world.Request{
			At: scheduler.Micros(at), Work: units * requestKinds[class].work * (0.5 + rng.Float64()),
			Request: scheduler.Request{
				ID: fmt.Sprint(n), Class: class, Plan: project % 2, Volume: fmt.Sprint("project-", project),
				Units: units, Shard: shard, Fronts: 1, TimeLeft: requestKinds[class].left,
			},
		})
	}
	return nodes, requests
}

// Simulate simulates one day with each variant.
func Simulate(seed uint64) (Result, error) {
	r := Result{Seed: seed}
	set := settings()
	for v := range variants {
		nodes, requests := drawDay(seed)
		w := world.New(set, nodes, 1, 500, seed)
		s, err := scheduler.New(set, int64(seed))
		if err != nil {
			return r, err
		}
		w.StartFront(0, s)
		for _, q := range requests {
			if q.At < learnTime || q.At >= learnTime+downtime {
				w.At(q.At, func() { w.Submit(q) })
			}
		}
		w.At(coldStart, func() {
			w.Restart(w.Nodes[2])
			w.PublishNodeList(0)
		})
		var saved snapshot.Snapshot
		w.At(learnTime-maxSnapshotAge+scheduler.Micros(seed%5)*second, func() { saved = takeSnapshot(w, s) })
		if v > 0 {
			w.At(learnTime+downtime, func() {
				restarted, _ := scheduler.New(set, int64(seed)+1) // the settings were valid the first time
				w.StartFront(0, restarted)
				if v == 1 {
					restarted.ImportLearned(w.Now, restoreSnapshot(w, s, saved))
				}
			})
		}
		w.Run(learnTime + downtime + countedTime + 7*second)
		asked := 0.0
		for _, q := range requests {
			if q.At < learnTime+downtime {
				continue
			}
			worth := set.Classes[q.Class].Priority * q.Units
			asked += worth
			if w.OutcomeOf(q.ID).Verdict == world.Served {
				r.Served[v] += worth
			}
		}
		r.Asked = asked
		for _, n := range nodes {
			if n.Failed {
				r.Failed[v]++
			}
		}
	}
	return r, nil
}

// takeSnapshot returns a snapshot of the front's learned state.
func takeSnapshot(w *world.World, front *scheduler.Scheduler) snapshot.Snapshot {
	l, _ := front.ExportLearned(w.Now, 0, math.MaxInt32)
	s := snapshot.Snapshot{Front: "lab", Settings: snapshot.Fingerprint(w.Set), Saved: w.Now, VolumeUsages: l.Volumes, FlowLeads: l.Flows}
	for _, k := range l.Nodes {
		s.Nodes = append(s.Nodes, snapshot.Node{LearnedNode: k})
	}
	return s
}

// restoreSnapshot returns the part of a snapshot that is still valid.
func restoreSnapshot(w *world.World, front *scheduler.Scheduler, s snapshot.Snapshot) scheduler.Learned {
	now := decay.Current{At: w.Now, Front: "lab", Settings: snapshot.Fingerprint(w.Set), Fresh: front.NewNodeStats()}
	for _, l := range w.List().Endpoints {
		now.Nodes = append(now.Nodes, snapshot.Node{LearnedNode: scheduler.LearnedNode{Endpoint: l}})
	}
	if err := decay.Check(s, now); err != nil {
		return scheduler.Learned{}
	}
	return decay.Decay(s, now, false)
}

// Report runs the seeds from 1 and writes a table, with the medians of the worth that restarted fronts serve relative to a
// front that is not restarted.
func Report(out io.Writer, seeds int) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tworth asked\tnever\twith\twithout\twith/never\twithout/never\tpushed over\t")
	var with, without []float64
	for seed := range uint64(seeds) {
		r, err := Simulate(seed + 1)
		if err != nil {
			return err
		}
		share := func(v int) float64 { return r.Served[v] / r.Asked }
		with, without = append(with, r.Served[1]/r.Served[0]), append(without, r.Served[2]/r.Served[0])
		fmt.Fprintf(w, "%d\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d %d %d\t\n", r.Seed, r.Asked, share(0), share(1), share(2),
			with[seed], without[seed], r.Failed[0], r.Failed[1], r.Failed[2])
	}
	w.Flush()
	slices.Sort(with)
	slices.Sort(without)
	_, err := fmt.Fprintf(out, "restart: of what a front that was never restarted serves in 10 s, %.3f with what it learned "+
		"(%.3f to %.3f), %.3f without (%.3f to %.3f), medians over %d seeds\n", with[seeds/2], with[0], with[seeds-1],
		without[seeds/2], without[0], without[seeds-1], seeds)
	return err
}
