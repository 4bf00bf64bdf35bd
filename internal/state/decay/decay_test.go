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

const at = scheduler.Micros(1_800_000_000_000_000)

func micros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }

func listed(name, addr string, since scheduler.Micros) snapshot.Node {
	return snapshot.Node{Addr: addr, LearnedNode: scheduler.LearnedNode{Endpoint: scheduler.Endpoint{Node: name, StartedAt: since}}}
}

// learned returns a snapshot of an age, in which the given nodes are slow and fail.
func learned(age time.Duration, nodes ...snapshot.Node) snapshot.Snapshot {
	s := snapshot.Snapshot{Front: "a", Settings: 1, Saved: at - micros(age)}
	for _, n := range nodes {
		n.NodeStats = scheduler.NodeStats{
			Budget: 3, Target: 900e3, SmoothedLatency: 700e3, PreviousLatency: 800e3, UnitTime: 90e3, ErrorRate: 0.8,
			Curve: make(curve.Curve, 16), LatencyUpdated: s.Saved, LastAnswer: s.Saved, SuspectedRestart: s.Saved,
		}
		s.Nodes = append(s.Nodes, n)
	}
	return s
}

func now(nodes ...snapshot.Node) Current {
	return Current{At: at, Front: "a", Settings: 1, Fresh: fresh, Nodes: nodes}
}

func TestSnapshotsThatMustNotBeUsed(t *testing.T) {
	s := learned(time.Second)
	for want, edit := range map[error]func(*Current){
		ErrFuture:   func(n *Current) { n.At = s.Saved - 1 },
		ErrFront:    func(n *Current) { n.Front = "b" },
		ErrSettings: func(n *Current) { n.Settings = 2 },
		nil:         func(_ *Current) {},
	} {
		n := now()
		edit(&n)
		if err := Check(s, n); !errors.Is(err, want) {
			t.Errorf("Check: got %v, want %v", err, want)
		}
	}
}

func TestNodesFadeTowardsFreshOnes(t *testing.T) {
	n := listed("a", "x:1", 5)
	last := math.Inf(1)
	for _, age := range []time.Duration{0, time.Second, 10 * time.Second, time.Minute, 5 * time.Minute, horizon - 1} {
		l := Decay(learned(age, n), now(n), false)
		if len(l.Nodes) != 1 {
			t.Fatalf("age %v: %d nodes, want 1", age, len(l.Nodes))
		}
		h := l.Nodes[0].NodeStats
		off := math.Abs(h.Target-fresh.Target) + math.Abs(h.Budget-fresh.Budget) + h.SmoothedLatency + h.PreviousLatency + h.UnitTime + h.ErrorRate +
			float64(len(h.Curve))
		if off >= last || off < 0 || h.Target < fresh.Target {
			t.Errorf("age %v: %+v is not closer to a fresh node than at the previous age", age, h)
		}
		last = off
		if age == 0 && (h.SmoothedLatency != 700e3 || h.ErrorRate != 0.8 || h.Budget != 3 || len(h.Curve) != 16) {
			t.Errorf("age 0: %+v has changed", h)
		}
		if age == 10*time.Second && (math.Abs(h.ErrorRate-0.4) > 1e-9 || len(h.Curve) != 11) {
			t.Errorf("age 10 s: error rate %v, %d points, want 0.4 and 11 points", h.ErrorRate, len(h.Curve))
		}
	}
	if l := Decay(learned(3*time.Hour, n), now(n), false); len(l.Nodes)+len(l.Volumes)+len(l.Flows) > 0 {
		t.Errorf("age 3 h: %+v is left, want nothing", l)
	}
}

// What was learned about a node is dropped if the node has restarted or has another address.
func TestAnotherNodeUnderTheName(t *testing.T) {
	old := listed("a", "x:1", 5)
	moved, restarted := listed("a", "x:2", 5), listed("a", "x:1", 6)
	if got := Decay(learned(time.Second, old), now(moved), false).Nodes[0].NodeStats; got.SuspectedRestart != at || got.SmoothedLatency != 0 ||
		got.Budget != fresh.Budget || got.ErrorRate != 0 {
		t.Errorf("other address: %+v, want a fresh node that may be cold", got)
	}
	if got := Decay(learned(time.Second, old), now(restarted), false).Nodes[0]; got.StartedAt != 6 || got.SmoothedLatency != 0 ||
		got.SuspectedRestart != 0 || got.Budget != fresh.Budget {
		t.Errorf("restarted: %+v, want a fresh node with the new start time", got)
	}
	if got := Decay(learned(time.Second, old), now(listed("b", "x:1", 5)), false).Nodes; len(got) > 0 {
		t.Errorf("unknown name: %+v, want no nodes", got)
	}
}

// Whatever was learned, no node gets a larger budget than a fresh one, and no time is after now.
func TestNothingOpensWider(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := listed("a", "x:1", 5)
		s := learned(time.Duration(rapid.Int64Range(0, int64(2*horizon)).Draw(t, "age")), n)
		value := rapid.Float64Range(0, 1e7)
		time := rapid.Int64Range(0, 2*int64(at))
		h := &s.Nodes[0].NodeStats
		h.Budget, h.Target, h.SmoothedLatency = value.Draw(t, "budget"), value.Draw(t, "target"), value.Draw(t, "usual")
		h.LastAnswer, h.LatencyUpdated = scheduler.Micros(time.Draw(t, "answered")), scheduler.Micros(time.Draw(t, "judged"))
		for _, k := range Decay(s, now(n), rapid.Bool().Draw(t, "older")).Nodes {
			if k.Budget > fresh.Budget || k.LastAnswer > at || k.LatencyUpdated > at || k.SuspectedRestart > at || k.SmoothedLatency < 0 {
				t.Fatalf("%+v", k)
			}
		}
	})
}

func TestAccounts(t *testing.T) {
	s := learned(time.Second)
	record := tokenbucket.Bucket[scheduler.Micros]{Level: 20, At: s.Saved, Lease: 5, BoundUntil: at + 1}
	s.Accounts = []scheduler.VolumeUsage{{Volume: "v", Fronts: 1, ReservationTag: float64(at) + 1e9, Bucket: record}}
	got := Decay(s, now(), false).Volumes
	if len(got) != 1 || got[0].Bucket != record || got[0].ReservationTag != float64(at)+1e6 {
		t.Errorf("usage of volumes: %+v, want the bucket as recorded and a reservation tag at most 1 s ahead", got)
	}
	// After BoundUntil, or after a later record, the front may have drawn units that this record does not cover.
	empty := tokenbucket.Bucket[scheduler.Micros]{At: at}
	if got := Decay(s, now(), true).Volumes[0].Bucket; got != empty {
		t.Errorf("older snapshot: bucket %+v, want an empty one", got)
	}
	s.Accounts[0].Bucket.BoundUntil = at - 1
	if got := Decay(s, now(), false).Volumes[0].Bucket; got != empty {
		t.Errorf("after BoundUntil: bucket %+v, want an empty one", got)
	}
}

func TestLeadsAreForgottenWithTheirFlows(t *testing.T) {
	s := learned(8 * time.Second)
	s.Leads = []scheduler.FlowLead{{Volume: "v", Units: 10, LastSend: s.Saved}, {Volume: "w", Units: 10, LastSend: s.Saved - micros(leadLife)}}
	got := Decay(s, now(), false).Flows
	if len(got) != 1 || got[0].Volume != "v" || got[0].Units != 5 {
		t.Errorf("flows %+v, want that of volume v with 5 units", got)
	}
}
