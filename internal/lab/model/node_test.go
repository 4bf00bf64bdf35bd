package model

import "testing"

func TestNodeServesInOrderAndRejectsWhenFull(t *testing.T) {
	n := New(Parameters{Cores: 1, Speed: 2, Room: 1, ColdFrom: 1})
	for i, want := range []bool{true, true, false} { // the first runs, the second is queued
		if got := n.Arrive(0, Job{Tag: i, Work: 200}); got != want {
			t.Errorf("job %d: accepted is %v", i, got)
		}
	}
	at, _ := n.Next()
	if done := n.Finish(at); at < 100 || at > 102 || len(done) != 1 || done[0].Tag != 0 {
		t.Errorf("first job: ended at %d us, finished %+v", at, done)
	}
	if at, ok := n.Next(); !ok || at < 200 || n.Queue() != 0 {
		t.Errorf("second job: ends at %d us, running %v", at, ok)
	}
}

func TestColdNodeWarmsUpAndFailsWhenOverloaded(t *testing.T) {
	f := Parameters{Cores: 1, Speed: 1, Room: 1000, ColdFrom: 0.2, Ramp: 10_000_000, OverloadMultiple: 2.5, OverloadSpan: 1_000_000}
	n := New(f)
	n.Restart(1)
	n.Arrive(1, Job{Work: 100_000}) // takes five times as long as on a warm node
	if at, _ := n.Next(); at < 490_000 || at > 510_000 {
		t.Errorf("job at a cold node ends at %d us, want about 500000", at)
	}
	for at := int64(2); n.StartedAt > 0 && !n.Failed && at < 10; at++ {
		n.Arrive(at, Job{Work: 100_000})
	}
	if !n.Failed || !n.Arrive(20, Job{Work: 1}) {
		t.Errorf("failed is %v after 0.9 s of work within 1 s at a fifth of the speed, or it rejects a job", n.Failed)
	}
	if _, ok := n.Next(); ok {
		t.Error("a failed node still runs a job")
	}
	warm := New(f)
	for range 100 {
		warm.Arrive(1, Job{Work: 100_000})
	}
	if warm.Failed {
		t.Error("a warm node failed by overload")
	}
}

// work returns how long a job takes at a node without other client jobs.
func work(t *testing.T, n *Node, now int64, j Job) int64 {
	t.Helper()
	own := new(int)
	j.Tag = own
	if !n.Arrive(now, j) {
		t.Fatal("job was rejected")
	}
	for {
		at, ok := n.Next()
		if !ok {
			t.Fatal("job was not finished")
		}
		for _, d := range n.Finish(at) {
			if d.Tag == own {
				return at - now
			}
		}
	}
}

func TestObjectsKeysAndDeferredWork(t *testing.T) {
	n := New(Parameters{
		Cores: 1, Speed: 1, Room: 8, ColdFrom: 1, Near: 0.25, NearSpan: 1000, KeyWindow: 2000,
		DeferredShare: 0.5, DeferredFor: 5000, ProbeWork: 300, MaxRemembered: 8,
	})
	for _, c := range []struct {
		what string
		at   int64
		job  Job
		want int64
	}{
		{"first job for an object", 10_000, Job{Work: 400, Object: "a"}, 400},
		{"second job for the object", 10_500, Job{Work: 400, Object: "a"}, 100},
		{"job for the object after NearSpan", 20_000, Job{Work: 400, Object: "a"}, 400},
		{"write with half of its work deferred", 30_000, Job{Work: 800, Write: true, Key: "k"}, 400},
		{"duplicate of the write", 30_500, Job{Work: 800, Write: true, Key: "k"}, 0},
		{"deferred work runs before the job", 36_000, Job{Work: 100}, 500},
		{"deferred work runs once", 36_700, Job{Work: 100}, 100},
	} {
		if got := work(t, n, c.at, c.job); got < c.want || got > c.want+2 {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
	n.Probe(44_000)
	if got := work(t, n, 50_000, Job{Work: 100}); got < 400 {
		t.Errorf("job after a health check took %d us, want at least 400", got)
	}
	n.Arrive(60_000, Job{Tag: 1, Work: 100})
	n.Pause(60_000, 61_000)
	if at, _ := n.Next(); at < 61_100 {
		t.Errorf("job at a stalled node ends at %d us, want at least 61100", at)
	}
	if n.MaxConns = 1; !n.Connect(0) || n.Connect(0) {
		t.Error("limit of one connection: the first one was refused or the second one was accepted")
	}
	n.Disconnect()
	if !n.Connect(0) {
		t.Error("a closed connection still counts against the limit")
	}
}
