package scheduler

import (
	"math"
	"reflect"
	"testing"
)

// newHarnessWithLearned returns a front that starts with the state that another one learned and with the given endpoint
// list.
func newHarnessWithLearned(t *testing.T, l Learned, list ...Endpoint) *harness {
	h := newHarness(t, testSettings())
	h.s.now, h.now = l.At, l.At
	h.s.endpointsChanged(EndpointsChanged{Full: true, Endpoints: list})
	h.s.ImportLearned(l.At, l)
	return h
}

// Exported state that is imported and exported again is unchanged, in parts of any size.
func TestExportedStateIsImportedUnchanged(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 60 {
		id := string(rune('A'+i%26)) + string(rune('a'+i/26))
		h.step(req(id, func(r *Request) { r.Volume, r.Plan = id, i%4 }))
		h.after(20*ms, h.end(id, OK, 20*ms))
	}
	whole, next := h.s.ExportLearned(h.now, 0, math.MaxInt32)
	if next != 0 || len(whole.Nodes) < 2 || len(whole.Volumes) < 10 || len(whole.Flows) == 0 {
		t.Fatalf("%d nodes, %d volumes, %d flows, next index %d", len(whole.Nodes), len(whole.Volumes), len(whole.Flows), next)
	}
	var list []Endpoint
	for _, k := range whole.Nodes {
		list = append(list, k.Endpoint)
	}
	imported := newHarnessWithLearned(t, whole, list...)
	var parts Learned
	for from := 0; ; {
		l, next := imported.s.ExportLearned(h.now, from, 1)
		parts.Nodes, parts.Volumes = append(parts.Nodes, l.Nodes...), append(parts.Volumes, l.Volumes...)
		parts.Flows = append(parts.Flows, l.Flows...)
		if from = next; from == 0 {
			break
		}
	}
	if !reflect.DeepEqual(parts.Nodes, whole.Nodes) {
		t.Errorf("nodes %+v\nwant %+v", parts.Nodes, whole.Nodes)
	}
	for i, a := range parts.Volumes {
		if w := whole.Volumes[i]; a.Volume != w.Volume || a.Plan != w.Plan || a.ReservationTag != w.ReservationTag || a.Fronts != w.Fronts {
			t.Errorf("volume %+v, want %+v", a, w)
		}
	}
	whole.Nodes[0].Curve = append(whole.Nodes[0].Curve[:0], whole.Nodes[0].Curve...)
	if n := imported.s.nodesByName[whole.Nodes[0].Node]; len(n.Curve) > 0 && &n.Curve[0] == &whole.Nodes[0].Curve[0] {
		t.Error("the scheduler shares memory with the imported state")
	}
}

// A front restarts during a deployment of the nodes: one node has restarted meanwhile, one was removed and one is new.
// What was learned of the restarted node must not admit more requests than slow start does.
func TestImportDuringDeployment(t *testing.T) {
	now := Micros(1_000_000_000)
	l := Learned{At: now}
	for _, name := range []string{"a", "b", "gone"} {
		l.Nodes = append(l.Nodes, LearnedNode{Endpoint{Node: name, Shard: len(l.Nodes)}, NodeStats{Budget: 8, Target: 90e3, SmoothedLatency: 9e3, UnitTime: 3e3}})
	}
	l.Flows = []FlowLead{{Volume: "v", Plan: 99, Shard: 0, Units: 5}} // this plan does not exist any more
	l.Volumes = []VolumeUsage{{Volume: "v", Plan: -1}}
	h := newHarnessWithLearned(t, l, Endpoint{Node: "a"}, Endpoint{Node: "b", Shard: 1, StartedAt: now - 1000*ms}, Endpoint{Node: "new", Shard: 2, StartedAt: now})
	if n := h.s.nodesByName["a"]; n.SmoothedLatency != 9e3 || h.s.inSlowStart(n) {
		t.Errorf("state of the node that did not restart: %+v", n.NodeStats)
	}
	for _, name := range []string{"b", "new"} {
		if n := h.s.nodesByName[name]; n.SmoothedLatency != 0 || !h.s.inSlowStart(n) {
			t.Errorf("%s: smoothed latency %v, in slow start %v; want 0 and true", name, n.SmoothedLatency, h.s.inSlowStart(n))
		}
	}
	var sent int
	for i := range 40 {
		id := "r" + string(rune('A'+i))
		sent += len(startedIDs(h.step(req(id, func(r *Request) { r.Shard, r.Units = 1, 2 }))))
	}
	if maxRequests := int(h.s.settings.SlowStartUnits) / 2; sent > maxRequests {
		t.Errorf("%d requests of 2 units sent at once to the restarted node, want at most %d", sent, maxRequests)
	}
	if h.s.volumes.Len() > 41 || h.s.nodesByName["gone"] != nil {
		t.Error("state of a removed node, or of a volume whose plan is missing, was imported")
	}
}

func TestForgetKeepsSlowStartAndEmptiesBucket(t *testing.T) {
	now := Micros(1_000_000_000)
	l := Learned{At: now, Nodes: []LearnedNode{{
		Endpoint{Node: "a"},
		NodeStats{Budget: 2, Target: 90e3, SmoothedLatency: 9e3, ErrorRate: 0.9, SuspectedRestart: now},
	}}}
	h := newHarnessWithLearned(t, l, Endpoint{Node: "a"})
	v := h.s.volumeFor(Request{Volume: "v", Plan: 3, Fronts: 1})
	v.bucket.Level, v.reservationTag = 15, 1
	h.s.Forget("a", "")
	h.s.Forget("", "v")
	h.s.Forget("nobody", "nothing")
	if n := h.s.nodesByName["a"]; n.isOutlier() || n.SmoothedLatency != 0 || !h.s.inSlowStart(n) {
		t.Errorf("state of the forgotten node: %+v", n.NodeStats)
	}
	if v.bucket.Level != 0 || v.reservationTag != 0 {
		t.Errorf("forgotten volume: %+v, want an empty bucket", v)
	}
}

// Nothing is drawn from an imported bucket until its next record is on disk, and then no more than the lease.
func TestImportedBucketWaitsForItsRecord(t *testing.T) {
	settings := testSettings()
	settings.Lease, settings.RecordLifetime = 200*ms, 60_000*ms
	h := newHarness(t, settings)
	h.s.ImportLearned(h.now, Learned{At: h.now, Volumes: []VolumeUsage{{Volume: "v", Plan: 3, Fronts: 1}}})
	v, _ := h.s.volumes.Get("v")
	v.bucket.Level, v.bucket.BoundUntil = 18, h.now+60_000*ms
	submit := func(id string) []Action {
		return h.step(req(id, func(r *Request) { r.Volume, r.Plan, r.Units, r.Fronts = "v", 3, 5, 1 }))
	}
	h.wantStarted(submit("early"))
	l, _ := h.s.ExportLearned(h.now, 0, math.MaxInt32)
	var record VolumeUsage
	for _, a := range l.Volumes {
		if a.Volume == "v" {
			record = a
		}
	}
	if record.Bucket.Lease != 10 || record.Bucket.Level < 18 { // 200 ms at 10 units per second, and one request of maximum size
		t.Fatalf("record %+v, want a lease of 10 and a level of at least 18", record)
	}
	h.wantStarted(h.after(ms, StateSaved{Readable: true, Latest: true}), "early")
	h.step(h.end("early", OK, 5*ms))
	actions := submit("next")
	h.wantStarted(actions, "next")
	saveRequested := false
	for _, a := range actions {
		_, is := a.(SaveState)
		saveRequested = saveRequested || is
	}
	if !saveRequested {
		t.Error("the lease runs low, but SaveState is missing")
	}
	h.step(h.end("next", OK, 5*ms))
	h.wantStarted(submit("beyond"))
}
