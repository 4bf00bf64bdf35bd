package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Two processes of a front together send no more requests of a limited volume than one process could have sent: at any
// time of the handover, with any queued requests, and if the successor ends again before or after it has sent something.
func TestTwoProcessesDrawNoMoreThanOne(t *testing.T) {
	const rate, burst, slack, units = 10.0, 36.0, 6.0, 2.0
	settings := Settings{
		Fronts: 1, Tick: 1000, MeanUnits: units, MaxUnits: 6, Classes: []Class{{LatencyObjective: 300_000, Priority: 1}},
		Plans: []Plan{{Weight: 1, Limit: rate, Burst: burst, Slack: slack}},
	}
	rapid.Check(t, func(t *rapid.T) {
		newProcess := func() *Scheduler {
			s, err := New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		now := Micros(1_000_000)
		list := EndpointsChanged{Full: true, Endpoints: []Endpoint{{Node: "n"}}}
		sent, n := 0.0, 0
		level, at := slack/2, now // level of the common bucket of both processes; half the slack is the allowed initial level
		step := func(s *Scheduler, events ...Event) {
			for _, a := range s.Step(now, events) {
				if send, ok := a.(StartAttempt); ok {
					sent += units
					level = min(burst, level+rate*float64(now-at)/float64(second)) - units
					at = now
					if level < -slack {
						t.Fatalf("after %v units at %d the level of the bucket is %v", sent, now, level)
					}
					s.Step(now, []Event{AttemptEnded{ID: send.ID, Result: OK, Final: true, Latency: 1000}})
				}
			}
		}
		submit := func(s *Scheduler, count int) {
			for range count {
				n++
				step(s, Request{ID: fmt.Sprint(n), Volume: "v", Units: units, Fronts: 1, TimeLeft: 2_000_000})
			}
		}
		predecessor := newProcess()
		step(predecessor, list)
		var successor *Scheduler
		var yielded Learned
		successorActed := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += Micros(rapid.IntRange(1, 400_000).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				submit(predecessor, rapid.IntRange(1, 10).Draw(t, "requests to the predecessor"))
			case 2:
				if successor != nil {
					submit(successor, rapid.IntRange(1, 10).Draw(t, "requests to the successor"))
					successorActed = true
				}
			case 3:
				if successor == nil {
					var startedAt Micros
					yielded, startedAt = predecessor.Yield(now)
					successor, successorActed = newProcess(), false
					step(successor, list)
					successor.TakeOver(now, yielded, startedAt)
				}
			case 4:
				if successor != nil {
					if successorActed {
						yielded = Learned{}
					}
					predecessor.Resume(now, yielded, false)
					successor = nil
				}
			}
			step(predecessor, TimerFired{})
			if successor != nil {
				step(successor, TimerFired{})
			}
		}
	})
}

// An open request keeps the maximum number of attempts that applied when it arrived. A later request has that of the new
// settings.
func TestOpenRequestsKeepMaxAttempts(t *testing.T) {
	settings := Settings{
		Fronts: 1, Tick: 1000, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 2, Classes: []Class{{LatencyObjective: 300_000, Priority: 1}},
		Plans: []Plan{{Weight: 1}},
	}
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := Micros(1_000_000)
	s.Step(now, []Event{EndpointsChanged{Full: true, Endpoints: []Endpoint{{Node: "n"}}}})
	countAttempts := func(id string, afterAttempt func()) (attempts int) {
		actions := s.Step(now, []Event{Request{ID: id, Volume: "v", TimeLeft: 9_000_000}})
		for sent := true; sent; {
			sent = false
			for _, a := range actions {
				if _, ok := a.(StartAttempt); ok {
					attempts, sent = attempts+1, true
				}
			}
			afterAttempt()
			now += 1_000_000
			actions = s.Step(now, []Event{AttemptEnded{ID: id, Attempt: attempts - 1, Result: Errored, Latency: 1000}, TimerFired{}})
		}
		return attempts
	}
	settings.MaxAttempts = 1
	if got := countAttempts("old", func() { s.Reconfigure(settings) }); got != 2 {
		t.Errorf("an open request had %d attempts, want 2", got)
	}
	if got := countAttempts("new", func() {}); got != 1 {
		t.Errorf("a later request had %d attempts, want 1", got)
	}
	if err := s.Reconfigure(Settings{}); err == nil {
		t.Error("empty settings were accepted")
	}
}
