package saver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"otterturn/internal/state/snapshot"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

// loadedScheduler returns a scheduler with learned state of the given number of nodes and ten volumes per node, all with a limit.
func loadedScheduler(tb testing.TB, nodes int) (*scheduler.Scheduler, scheduler.Micros) {
	settings := testsupport.Settings()
	settings.Plans = []scheduler.Plan{{Weight: 1, Limit: 12, Burst: 36}}
	settings.Lease, settings.RecordLifetime = 500_000, 30_000_000
	s, err := scheduler.New(settings, 1)
	if err != nil {
		tb.Fatal(err)
	}
	now := scheduler.Micros(1_800_000_000_000_000)
	list, learned := scheduler.EndpointsChanged{Full: true}, scheduler.Learned{At: now}
	for i := range nodes {
		node := scheduler.LearnedNode{Endpoint: scheduler.Endpoint{Node: fmt.Sprint("node-", i), Shard: i}}
		list.Endpoints = append(list.Endpoints, node.Endpoint)
		node.NodeStats = scheduler.NodeStats{
			Budget: 5, Target: 150e3, SmoothedLatency: 31e3, PreviousLatency: 33e3,
			UnitTime: 12e3, LastAnswer: now,
		}
		for p := range 16 {
			node.Curve = append(node.Curve, curve.Point{Throughput: float64(100 + p), Latency: 30e3, Low: 20e3})
		}
		learned.Nodes = append(learned.Nodes, node)
	}
	for i := range 10 * nodes {
		learned.Volumes = append(learned.Volumes, scheduler.VolumeUsage{
			Volume: fmt.Sprint("project-", i), Fronts: 1,
			Bucket: tokenbucket.Bucket[scheduler.Micros]{Level: 3, At: now, BoundUntil: now + 6_000_000},
		})
	}
	s.Step(now, []scheduler.Event{list})
	s.ImportLearned(now, learned)
	return s, now
}

// BenchmarkSave measures the cost of a save, for a number of nodes and ten volumes per node: the time for which each part blocks
// the scheduler (median and 99th percentile), and the encoding time and size of the file.
func BenchmarkSave(b *testing.B) {
	for _, nodes := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			s, now := loadedScheduler(b, nodes)
			var pauses []time.Duration
			var encode time.Duration
			bytes := 0
			for b.Loop() {
				snap := snapshot.Snapshot{Front: "a", Saved: now}
				for from := 0; ; {
					startedAt := time.Now()
					learned, next := s.ExportLearned(now, from, exportBatch)
					pauses = append(pauses, time.Since(startedAt))
					for _, node := range learned.Nodes {
						snap.Nodes = append(snap.Nodes, snapshot.Node{LearnedNode: node})
					}
					snap.VolumeUsages = append(snap.VolumeUsages, learned.Volumes...)
					if from = next; from == 0 {
						break
					}
				}
				startedAt := time.Now()
				file, err := snapshot.Encode(snap)
				if err != nil {
					b.Fatal(err)
				}
				encode, bytes = encode+time.Since(startedAt), len(file)
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
func TestExportBatchIsBounded(t *testing.T) {
	for _, nodes := range []int{10, 1000} {
		s, now := loadedScheduler(t, nodes)
		entries, parts := 0, 0
		for from := 0; ; parts++ {
			learned, next := s.ExportLearned(now, from, exportBatch)
			n := len(learned.Nodes) + len(learned.Volumes) + len(learned.Flows)
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
