package decay

import (
	"errors"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

var fresh = scheduler.NodeStats{Budget: 8, Target: 150e3}

const testTime = scheduler.Micros(1_800_000_000_000_000)

func micros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }

func listedNode(name, addr string, startedAt scheduler.Micros) snapshot.Node {
	return snapshot.Node{Addr: addr, LearnedNode: scheduler.LearnedNode{Endpoint: scheduler.Endpoint{Node: name, StartedAt: startedAt}}}
}

// learnedSnapshot returns a snapshot of an age, in which the given nodes are slow and fail.
func learnedSnapshot(age time.Duration, nodes ...snapshot.Node) snapshot.Snapshot {
	s := snapshot.Snapshot{Front: "a", Settings: 1, Saved: testTime - micros(age)}
	for _, n := range nodes {
		n.NodeStats = scheduler.NodeStats{
			Budget: 3, Target: 900e3, SmoothedLatency: 700e3, PreviousLatency: 800e3, UnitTime: 90e3, ErrorRate: 0.8,
			Curve: make(curve.Curve, 16), LatencyUpdated: s.Saved, LastAnswer: s.Saved, SuspectedRestart: s.Saved,
		}
		s.Nodes = append(s.Nodes, n)
	}
	return s
}

func current(nodes ...snapshot.Node) Current {
	return Current{At: testTime, Front: "a", Settings: 1, Fresh: fresh, Nodes: nodes}
}

func TestCheckRejectsUnusableSnapshots(t *testing.T) {
	s := learnedSnapshot(time.Second)
	for want, edit := range map[error]func(*Current){
		ErrFuture:   func(n *Current) { n.At = s.Saved - 1 },
		ErrFront:    func(n *Current) { n.Front = "b" },
		ErrSettings: func(n *Current) { n.Settings = 2 },
		nil:         func(_ *Current) {},
	} {
		n := current()
		edit(&n)
		if err := Check(s, n); !errors.Is(err, want) {
			t.Errorf("Check: got %v, want %v", err, want)
		}
	}
}

func TestNodeStatsDecayTowardsFresh(t *testing.T) {
	n := listedNode("a", "x:1", 5)
	previous := math.Inf(1)
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second, time.Minute, 5 * time.Minute, maxAge - 1} {
		l := Decay(learnedSnapshot(age, n), current(n), false)
		if len(l.Nodes) != 1 {
			t.Fatalf("age %v: %d nodes, want 1", age, len(l.Nodes))
		}
		stats := l.Nodes[0].NodeStats
		distance := math.Abs(stats.Target-fresh.Target) + math.Abs(stats.Budget-fresh.Budget) + stats.SmoothedLatency +
			stats.PreviousLatency + stats.UnitTime + stats.ErrorRate + float64(len(stats.Curve))
		if distance >= previous || distance < 0 || stats.Target < fresh.Target {
			t.Errorf("age %v: %+v is not closer to a fresh node than at the previous age", age, stats)
		}
		previous = distance
		if age == 0 && (stats.SmoothedLatency != 700e3 || stats.ErrorRate != 0.8 || stats.Budget != 3 || len(stats.Curve) != 16) {
			t.Errorf("age 0: %+v has changed", stats)
		}
		if age == 10*time.Second && (math.Abs(stats.ErrorRate-0.4) > 1e-9 || len(stats.Curve) != 11) {
			t.Errorf("age 10 s: error rate %v, %d points, want 0.4 and 11 points", stats.ErrorRate, len(stats.Curve))
		}
	}
	if l := Decay(learnedSnapshot(3*time.Hour, n), current(n), false); len(l.Nodes)+len(l.Volumes)+len(l.Flows) > 0 {
		t.Errorf("age 3 h: %+v is left, want nothing", l)
	}
}

// What was learned about a node is dropped if the node has restarted or has another address.
func TestRestartedOrMovedNodeIsFresh(t *testing.T) {
	old := listedNode("a", "x:1", 5)
	moved, restarted := listedNode("a", "x:2", 5), listedNode("a", "x:1", 6)
	if got := Decay(learnedSnapshot(time.Second, old), current(moved), false).Nodes[0].NodeStats; got.SuspectedRestart != testTime ||
		got.SmoothedLatency != 0 || got.Budget != fresh.Budget || got.ErrorRate != 0 {
		t.Errorf("other address: %+v, want a fresh node that may be cold", got)
	}
	if got := Decay(learnedSnapshot(time.Second, old), current(restarted), false).Nodes[0]; got.StartedAt != 6 || got.SmoothedLatency != 0 ||
		got.SuspectedRestart != 0 || got.Budget != fresh.Budget {
		t.Errorf("restarted: %+v, want a fresh node with the new start time", got)
	}
	if got := Decay(learnedSnapshot(time.Second, old), current(listedNode("b", "x:1", 5)), false).Nodes; len(got) > 0 {
		t.Errorf("unknown name: %+v, want no nodes", got)
	}
}

// Whatever was learned, no node gets a larger budget than a fresh one, and no time is after now.
func TestDecayNeverExceedsFreshBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := listedNode("a", "x:1", 5)
		s := learnedSnapshot(time.Duration(rapid.Int64Range(0, int64(2*maxAge)).Draw(t, "age")), n)
		value := rapid.Float64Range(0, 1e7)
		time := rapid.Int64Range(0, 2*int64(testTime))
		stats := &s.Nodes[0].NodeStats
		stats.Budget, stats.Target, stats.SmoothedLatency = value.Draw(t, "budget"), value.Draw(t, "target"), value.Draw(t, "usual")
		stats.LastAnswer, stats.LatencyUpdated = scheduler.Micros(time.Draw(t, "answered")), scheduler.Micros(time.Draw(t, "judged"))
		for _, node := range Decay(s, current(n), rapid.Bool().Draw(t, "older")).Nodes {
			if node.Budget > fresh.Budget || node.LastAnswer > testTime || node.LatencyUpdated > testTime ||
				node.SuspectedRestart > testTime || node.SmoothedLatency < 0 {
				t.Fatalf("%+v", node)
			}
		}
	})
}

func TestVolumeUsageIsRestored(t *testing.T) {
	s := learnedSnapshot(time.Second)
	bucket := tokenbucket.Bucket[scheduler.Micros]{Level: 20, At: s.Saved, Lease: 5, BoundUntil: testTime + 1}
	s.VolumeUsages = []scheduler.VolumeUsage{{Volume: "v", Fronts: 1, ReservationTag: float64(testTime) + 1e9, Bucket: bucket}}
	got := Decay(s, current(), false).Volumes
	if len(got) != 1 || got[0].Bucket != bucket || got[0].ReservationTag != float64(testTime)+1e6 {
		t.Errorf("usage of volumes: %+v, want the bucket as recorded and a reservation tag at most 1 s ahead", got)
	}
	// After BoundUntil, or after a later record, the front may have drawn units that this record does not cover.
	empty := tokenbucket.Bucket[scheduler.Micros]{At: testTime}
	if got := Decay(s, current(), true).Volumes[0].Bucket; got != empty {
		t.Errorf("older snapshot: bucket %+v, want an empty one", got)
	}
	s.VolumeUsages[0].Bucket.BoundUntil = testTime - 1
	if got := Decay(s, current(), false).Volumes[0].Bucket; got != empty {
		t.Errorf("after BoundUntil: bucket %+v, want an empty one", got)
	}
}

func TestFlowLeadsDecayAndExpire(t *testing.T) {
	s := learnedSnapshot(8 * time.Second)
	s.FlowLeads = []scheduler.FlowLead{
		{Volume: "v", Units: 10, LastSend: s.Saved},
		{Volume: "w", Units: 10, LastSend: s.Saved - micros(leadLifetime)},
	}
	got := Decay(s, current(), false).Flows
	if len(got) != 1 || got[0].Volume != "v" || got[0].Units != 5 {
		t.Errorf("flows %+v, want that of volume v with 5 units", got)
	}
}
