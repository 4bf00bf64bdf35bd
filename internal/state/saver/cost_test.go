package saver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"otterturn/internal/standin"
	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

// large returns a scheduler with learned state of the given number of nodes and ten volumes per node, all with a limit.
func large(tb testing.TB, nodes int) (*scheduler.Scheduler, scheduler.Micros) {
	set := standin.Settings()
	set.Plans = []scheduler.Plan{{Weight: 1, Limit: 12, Burst: 36}}
	set.Lease, set.RecordLifetime = 500_000, 30_000_000
	s, err := scheduler.New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now := scheduler.Micros(1_800_000_000_000_000)
	list, l := scheduler.EndpointsChanged{Full: true}, scheduler.Learned{At: now}
	for i := range nodes {
		k := scheduler.LearnedNode{Endpoint: scheduler.Endpoint{Node: fmt.Sprint("node-", i), Shard: i}}
		list.Endpoints = append(list.Endpoints, k.Endpoint)
		k.NodeStats = scheduler.NodeStats{Budget: 5, Target: 150e3, SmoothedLatency: 31e3, PreviousLatency: 33e3, UnitTime: 12e3, LastAnswer: now}
		for p := range 16 {
			k.Curve = append(k.Curve, curve.Point{Throughput: float64(100 + p), Latency: 30e3, Low: 20e3})
		}
		l.Nodes = append(l.Nodes, k)
	}
	for i := range 10 * nodes {
		l.Volumes = append(l.Volumes, scheduler.VolumeUsage{
			Volume: fmt.Sprint("project-", i), Fronts: 1,
			Bucket: tokenbucket.Bucket[scheduler.Micros]{Level: 3, At: now, BoundUntil: now + 6_000_000},
		})
	}
	s.Step(now, []scheduler.Event{list})
	s.ImportLearned(now, l)
	return s, now
}

// BenchmarkSave measures the cost of a save, for a number of nodes and ten volumes per node: the time for which each part blocks
// the scheduler (median and 99th percentile), and the encoding time and size of the file.
func BenchmarkSave(b *testing.B) {
	for _, nodes := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			s, now := large(b, nodes)
			var pauses []time.Duration
			var encode time.Duration
			bytes := 0
			for b.Loop() {
				snap := snapshot.Snapshot{Front: "a", Saved: now}
				for from := 0; ; {
					began := time.Now()
					l, next := s.ExportLearned(now, from, exportBatch)
					pauses = append(pauses, time.Since(began))
					for _, k := range l.Nodes {
						snap.Nodes = append(snap.Nodes, snapshot.Node{LearnedNode: k})
					}
					snap.Accounts = append(snap.Accounts, l.Volumes...)
					if from = next; from == 0 {
						break
					}
				}
				began := time.Now()
				file, err := snapshot.Encode(snap)
				if err != nil {
					b.Fatal(err)
				}
				encode, bytes = encode+time.Since(began), len(file)
			}
			slices.Sort(pauses)
			b.ReportMetric(float64(pauses[len(pauses)/2].Nanoseconds())/1e3, "µs/pause")
			b.ReportMetric(float64(pauses[len(pauses)*99/100].Nanoseconds())/1e3, "µs-p99-pause")
			b.ReportMetric(float64(encode.Microseconds())/float64(b.N), "µs-encoding/save")
			b.ReportMetric(float64(bytes), "bytes/save")
		})
	}
}

// The time for which a save blocks the scheduler must not grow with the amount of learned state.
func TestPauseDoesNotGrow(t *testing.T) {
	for _, nodes := range []int{10, 1000} {
		s, now := large(t, nodes)
		entries, parts := 0, 0
		for from := 0; ; parts++ {
			l, next := s.ExportLearned(now, from, exportBatch)
			n := len(l.Nodes) + len(l.Volumes) + len(l.Flows)
			if entries += n; n > exportBatch {
				t.Errorf("%d entries in a part, want at most %d", n, exportBatch)
			}
			if from = next; from == 0 {
				break
			}
		}
		if entries != 11*nodes || parts > entries/exportBatch+nodes/exportBatch+1 {
			t.Errorf("%d entries in %d parts for %d nodes", entries, parts+1, nodes)
		}
	}
}
