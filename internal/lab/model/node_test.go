package model

import "testing"

func TestNodeServesInTurnAndTurnsAwayWhenFull(t *testing.T) {
	n := New(Figures{Cores: 1, Speed: 2, Room: 1, ColdFrom: 1})
	for i, want := range []bool{true, true, false} { // one in work, one that waits
		if got := n.Arrive(0, Job{Tag: i, Work: 200}); got != want {
			t.Errorf("job %d: taken %v", i, got)
		}
	}
	at, _ := n.Next()
	if done := n.Finish(at); at < 100 || at > 102 || len(done) != 1 || done[0].Tag != 0 {
		t.Errorf("at %d: %+v", at, done)
	}
	if at, ok := n.Next(); !ok || at < 200 || n.Queue() != 0 {
		t.Errorf("the next one ends at %d, %v", at, ok)
	}
}

func TestColdNodeWarmsAndFallsWhenPushed(t *testing.T) {
	f := Figures{Cores: 1, Speed: 1, Room: 1000, ColdFrom: 0.2, Ramp: 10_000_000, FallTimes: 2.5, FallSpan: 1_000_000}
	n := New(f)
	n.Restart(1)
	n.Arrive(1, Job{Work: 100_000}) // five times as long as warm
	if at, _ := n.Next(); at < 490_000 || at > 510_000 {
		t.Errorf("cold, it ends at %d", at)
	}
	for at := int64(2); n.Up > 0 && !n.Fallen && at < 10; at++ {
		n.Arrive(at, Job{Work: 100_000})
	}
	if !n.Fallen || !n.Arrive(20, Job{Work: 1}) {
		t.Errorf("fallen %v after 0.9 s of work in a second, at a fifth of its speed", n.Fallen)
	}
	if _, ok := n.Next(); ok {
		t.Error("a fallen node answers")
	}
	warm := New(f)
	for range 100 {
		warm.Arrive(1, Job{Work: 100_000})
	}
	if warm.Fallen {
		t.Error("a warm node fell")
	}
}

// work is how long a job that begins at once takes.
func work(t *testing.T, n *Node, now int64, j Job) int64 {
	t.Helper()
	own := new(int)
	j.Tag = own
	if !n.Arrive(now, j) {
		t.Fatal("there was no room")
	}
	for {
		at, ok := n.Next()
		if !ok {
			t.Fatal("it was not done")
		}
		for _, d := range n.Finish(at) {
			if d.Tag == own {
				return at - now
			}
		}
	}
}

func TestPiecesKeysAndWorkPutOff(t *testing.T) {
	n := New(Figures{
		Cores: 1, Speed: 1, Room: 8, ColdFrom: 1, Near: 0.25, NearSpan: 1000, KeyWindow: 2000,
		PutOff: 0.5, PutOffFor: 5000, ProbeWork: 300, MostMemory: 8,
	})
	for _, c := range []struct {
		what string
		at   int64
		job  Job
		want int64
	}{
		{"a piece", 10_000, Job{Work: 400, Piece: "a"}, 400},
		{"the piece again", 10_500, Job{Work: 400, Piece: "a"}, 100},
		{"the piece much later", 20_000, Job{Work: 400, Piece: "a"}, 400},
		{"a write, half of it put off", 30_000, Job{Work: 800, Write: true, Key: "k"}, 400},
		{"its repeat", 30_500, Job{Work: 800, Write: true, Key: "k"}, 0},
		{"what was put off goes ahead of another", 36_000, Job{Work: 100}, 500},
		{"and is done", 36_700, Job{Work: 100}, 100},
	} {
		if got := work(t, n, c.at, c.job); got < c.want || got > c.want+2 {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
	n.Probe(44_000)
	if got := work(t, n, 50_000, Job{Work: 100}); got < 400 {
		t.Errorf("behind a probe: %d", got)
	}
	n.Arrive(60_000, Job{Tag: 1, Work: 100})
	n.Pause(60_000, 61_000)
	if at, _ := n.Next(); at < 61_100 {
		t.Errorf("paused, it ends at %d", at)
	}
	if n.MostConns = 1; !n.Connect(0) || n.Connect(0) {
		t.Error("one connection is allowed")
	}
	n.Disconnect()
	if !n.Connect(0) {
		t.Error("a connection that ended counts")
	}
}
