package lifecycle

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"otterturn/internal/limits"
)

// fakeClock is a clock that the test moves.
type fakeClock struct{ now time.Time }

func (c *fakeClock) read() time.Time { return c.now }

func newGuard(maxDeadline time.Duration) (*Guard, *fakeClock) {
	clock := &fakeClock{now: time.Now()}
	g := New(limits.NewStopLimits(maxDeadline), slog.New(slog.DiscardHandler))
	g.clock = clock.read
	return g, clock
}

// Checks each operation in each phase. The phase depends on the clock at the call, not at the start of the shutdown.
func TestOperationsAllowedInEachPhase(t *testing.T) {
	g, clock := newGuard(time.Second)
	stopLimits := g.Limits()
	allowed := map[Phase]map[Operation]bool{
		Serving:  {Accept: true, Take: true, Send: true, Retry: true, Stream: true, Answer: true, HandOver: true, StartBackground: true},
		Draining: {Accept: true, Take: true, Send: true, Retry: true, Stream: true, Answer: true, HandOver: true, StartBackground: true},
		Closing:  {Take: true, Send: true, Retry: true, Stream: true, Answer: true, EndIdle: true, HandOver: true, StartBackground: true},
		Ending:   {Answer: true, EndIdle: true, EndIncomplete: true},
	}
	for _, moment := range []struct {
		phase Phase
		since time.Duration
	}{{Serving, 0}, {Draining, 0}, {Closing, stopLimits.Serve}, {Ending, stopLimits.Answer}, {Ending, stopLimits.Kill}} {
		if moment.phase == Draining {
			g.BeginShutdown(clock.now)
		}
		began := clock.now
		clock.now = began.Add(moment.since)
		if got := g.Phase(); got != moment.phase {
			t.Fatalf("%v after SIGTERM: phase %v, want %v", moment.since, got, moment.phase)
		}
		for _, op := range Operations() {
			if err := g.Allow(op, time.Time{}); (err == nil) != allowed[moment.phase][op] {
				t.Errorf("operation %v in phase %v: error %v", op, moment.phase, err)
			}
		}
		clock.now = began
	}
}

// Guards against lost requests whose deadline was computed before they were sent. The deadline of a request that arrives
// late in a shutdown is at least two stalls before SIGKILL, and a request with too little time left is denied.
func TestDeadlineEndsBeforeTheKill(t *testing.T) {
	for _, deadline := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second} {
		g, clock := newGuard(deadline)
		g.BeginShutdown(clock.now)
		began, stopLimits := clock.now, g.Limits()
		for clock.now.Sub(began) < stopLimits.Kill {
			clock.now = clock.now.Add(10 * time.Millisecond)
			if left := began.Add(stopLimits.Kill).Sub(g.Deadline(deadline)); left < 2*stopLimits.MaxStall {
				t.Fatalf("longest deadline %v, %v after SIGTERM: answer due %v before SIGKILL, want two stalls", deadline, clock.now.Sub(began), left)
			}
			err := g.Allow(Take, clock.now.Add(deadline))
			if fits := began.Add(stopLimits.Answer).Sub(clock.now) >= stopLimits.MinTime; (err == nil) != fits {
				t.Errorf("longest deadline %v, %v after SIGTERM: Allow returned %v", deadline, clock.now.Sub(began), err)
			}
		}
	}
}

// Guards against a shutdown by the settings of the process's start. A reload before SIGTERM always applies, one after it only if
// it ends the process earlier.
func TestReloadChangesTheShutdownLimits(t *testing.T) {
	short, long := limits.NewStopLimits(500*time.Millisecond), limits.NewStopLimits(3*time.Second)
	g, clock := newGuard(time.Second)
	g.Reconfigure(long)
	g.BeginShutdown(clock.now)
	began := clock.now
	if by := g.Deadline(time.Minute); by != began.Add(long.Answer) {
		t.Errorf("reload before SIGTERM: answers are due %v after it, want the limit of the reload", by.Sub(began))
	}
	g.Reconfigure(short)
	g.Reconfigure(long)
	clock.now = began.Add(100 * time.Millisecond)
	g.BeginShutdown(clock.now) // a second SIGTERM
	if by := g.Deadline(time.Minute); by != began.Add(short.Answer) {
		t.Errorf("reload after SIGTERM: answers are due %v after it, want the earliest limit", by.Sub(began))
	}
}

func TestEndingIsAnnounced(t *testing.T) {
	l := limits.NewStopLimits(time.Second)
	l.Answer = 20 * time.Millisecond
	g := New(l, slog.New(slog.DiscardHandler))
	select {
	case <-g.Ending():
		t.Fatal("Ending is closed before a shutdown")
	default:
	}
	g.BeginShutdown(time.Now())
	<-g.Stopping()
	<-g.Ending()
	if g.Phase() != Ending {
		t.Errorf("phase %v, want ending", g.Phase())
	}
}

func TestDeadlinesAndViolations(t *testing.T) {
	g, clock := newGuard(time.Second)
	maxStall := g.Limits().MaxStall
	var denied *DeniedError
	if err := g.Allow(Retry, clock.now); !errors.As(err, &denied) || denied.Reason != PastDeadline {
		t.Errorf("retry at its deadline: error %v, want past its deadline", err)
	}
	g.CheckDeadline(Send, clock.now.Add(-maxStall))
	if n := g.Violations(); n != 0 {
		t.Errorf("late by the allowed stall: %d violations, want 0", n)
	}
	g.CheckDeadline(Send, clock.now.Add(-maxStall-time.Millisecond))
	g.BeginShutdown(clock.now)
	clock.now = clock.now.Add(g.Limits().Kill + time.Millisecond)
	g.CheckDeadline(Answer, time.Time{})
	g.CheckDeadline(Stream, time.Time{})
	for _, c := range g.Counts() {
		if want := map[Operation]int64{Send: 1, Answer: 1, Stream: 1}[c.Operation]; c.Violations != want {
			t.Errorf("%v: %d violations, want %d", c.Operation, c.Violations, want)
		}
	}
	if n := g.Counts()[Retry].Denied; n != 1 {
		t.Errorf("%d retries denied, want 1", n)
	}
	if wait := g.BeforeKill(time.Minute); wait != minWait {
		t.Errorf("wait of %v after the time of SIGKILL, want 50 ms", wait)
	}
}
