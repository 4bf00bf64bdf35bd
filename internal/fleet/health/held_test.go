package health

import (
	"slices"
	"testing"

	"otterturn/scheduler"
)

// Wanted probes of nodes that nobody suspects, or that aren't on the list, go out at once and are answered by their end.
func TestProbesOfHealthyNodesPass(t *testing.T) {
	const now = 10 * second
	m := front(t, 0, zonesOf(1, 4), now)
	for _, node := range []string{"a", "unknown"} {
		for _, ok := range []bool{true, false} {
			if started := of[StartProbe](m.Step(now, []Event{ProbeRequested{node}})); len(started) != 1 || started[0].Node != node {
				t.Fatalf("%s: %v", node, started)
			}
			result := scheduler.HealthChecked{Node: node, OK: ok, Queue: 3}
			if answers := of[AnswerProbe](m.Step(now+1000, []Event{ProbeEnded{result}})); len(answers) != 1 || answers[0].HealthChecked != result {
				t.Errorf("%s: %v", node, answers)
			}
		}
	}
}

// Fronts come back to a node over a second, each at a time of its own.
func TestFrontsReturnOneByOne(t *testing.T) {
	const now = 10 * second
	const fronts = 50
	var at []scheduler.Micros
	for self := 5; self < fronts; self++ {
		m := front(t, self, zonesOf(1, fronts), now)
		m.Step(now, []Event{MessageReceived{1, tells(1, now, Silent, 0)}, MessageReceived{2, tells(1, now, Silent, 0)}, ProbeRequested{"a"}})
		if !m.avoids("a") {
			t.Fatal("not avoided")
		}
		alarms := of[SetTimer](m.Step(now+second, []Event{MessageReceived{1, tells(2, now+second, Reachable, 0)}}))
		for len(alarms) > 0 {
			next := alarms[len(alarms)-1].At
			actions := m.Step(next, []Event{TimerFired{}})
			if answers := of[AnswerProbe](actions); len(answers) > 0 {
				if !answers[0].OK {
					t.Error("answered as silent")
				}
				at = append(at, next-now-second)
				break
			}
			alarms = of[SetTimer](actions)
		}
	}
	slices.Sort(at)
	if len(at) != fronts-5 || at[0] > second/5 || at[len(at)-1] < second*4/5 || at[len(at)-1] > second+10 {
		t.Errorf("%v", at)
	}
	if worst := most(at, second/10); worst > fronts/3 {
		t.Errorf("%d of %d within a tenth of a second", worst, fronts)
	}
}

// What the zone found of a node that is back answers a front's probes too: it comes with an empty queue, as the
// scheduler has taken the silence for latency, and no further probe is sent while the evidence lives.
func TestZonesWordOnAReturnAnswersProbes(t *testing.T) {
	const now = 10 * second
	m := front(t, 5, zonesOf(1, 50), now)
	m.Step(now, []Event{MessageReceived{1, tells(1, now, Silent, 0)}, MessageReceived{2, tells(1, now, Silent, 0)}, ProbeRequested{"a"}})
	back := now + second
	m.Step(back, []Event{MessageReceived{1, tells(2, back, Reachable, 0)}, MessageReceived{2, tells(2, back, Reachable, 0)}})
	spread := back + returnSpread + 1000
	answers := of[AnswerProbe](m.Step(spread, []Event{TimerFired{}}))
	if want := (scheduler.HealthChecked{Node: "a", OK: true, Queue: returnedQueue}); len(answers) != 1 || answers[0].HealthChecked != want {
		t.Fatalf("%v, want %v", answers, want)
	}
	actions := m.Step(spread+second, []Event{ProbeRequested{"a"}})
	if started, answers := of[StartProbe](actions), of[AnswerProbe](actions); len(started) != 0 || len(answers) != 1 || !answers[0].OK {
		t.Errorf("within the evidence's life: %d probes, answers %v", len(started), answers)
	}
	old := spread + m.config.EvidenceLifetime
	if started := of[StartProbe](m.Step(old, []Event{ProbeRequested{"a"}})); len(started) != 1 {
		t.Errorf("behind the evidence's life: %d probes, want one of this front's own", len(started))
	}
}
