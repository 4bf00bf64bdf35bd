package health

import (
	"slices"
	"testing"

	"otterturn/scheduler"
)

// A requested probe of a node that no front suspects, or that is not on the endpoint list, starts immediately, and its
// result is the answer.
func TestRequestedProbesOfHealthyNodesStartImmediately(t *testing.T) {
	const now = 10 * second
	m := newTestMonitor(t, 0, zonesOf(1, 4), now)
	for _, node := range []string{"a", "unknown"} {
		for _, ok := range []bool{true, false} {
			if started := actionsOf[StartProbe](m.Step(now, []Event{ProbeRequested{node}})); len(started) != 1 || started[0].Node != node {
				t.Fatalf("%s: started probes %v", node, started)
			}
			result := scheduler.HealthChecked{Node: node, OK: ok, Queue: 3}
			if answers := actionsOf[AnswerProbe](m.Step(now+1000, []Event{ProbeEnded{result}})); len(answers) != 1 ||
				answers[0].HealthChecked != result {
				t.Errorf("%s: answers %v, want the result of the probe", node, answers)
			}
		}
	}
}

// Fronts resume sending to a returned node at different times, spread over one second, so that it is not overloaded.
func TestReturnToNodeIsSpreadOverFronts(t *testing.T) {
	const now = 10 * second
	const fronts = 50
	var returnTimes []scheduler.Micros
	for self := 5; self < fronts; self++ {
		m := newTestMonitor(t, self, zonesOf(1, fronts), now)
		m.Step(now, []Event{
			MessageReceived{1, messageAboutA(1, now, Silent, 0)}, MessageReceived{2, messageAboutA(1, now, Silent, 0)}, ProbeRequested{"a"},
		})
		if !m.avoids("a") {
			t.Fatal("node not avoided")
		}
		timers := actionsOf[SetTimer](m.Step(now+second, []Event{MessageReceived{1, messageAboutA(2, now+second, Reachable, 0)}}))
		for len(timers) > 0 {
			next := timers[len(timers)-1].At
			actions := m.Step(next, []Event{TimerFired{}})
			if answers := actionsOf[AnswerProbe](actions); len(answers) > 0 {
				if !answers[0].OK {
					t.Error("probe answered as failed")
				}
				returnTimes = append(returnTimes, next-now-second)
				break
			}
			timers = actionsOf[SetTimer](actions)
		}
	}
	slices.Sort(returnTimes)
	if len(returnTimes) != fronts-5 || returnTimes[0] > second/5 ||
		returnTimes[len(returnTimes)-1] < second*4/5 || returnTimes[len(returnTimes)-1] > second+10 {
		t.Errorf("fronts return at %v, want times spread over one second", returnTimes)
	}
	if maxReturns := maxWithin(returnTimes, second/10); maxReturns > fronts/3 {
		t.Errorf("%d of %d fronts return within 0.1 s", maxReturns, fronts)
	}
}

// Evidence of other fronts that a node has returned answers the scheduler's probe requests. The answer reports an empty
// queue, because the scheduler counted the silence as latency. No own probe starts while the evidence is valid.
func TestEvidenceOfReturnAnswersProbeRequest(t *testing.T) {
	const now = 10 * second
	m := newTestMonitor(t, 5, zonesOf(1, 50), now)
	m.Step(now, []Event{
		MessageReceived{1, messageAboutA(1, now, Silent, 0)}, MessageReceived{2, messageAboutA(1, now, Silent, 0)}, ProbeRequested{"a"},
	})
	back := now + second
	m.Step(back, []Event{MessageReceived{1, messageAboutA(2, back, Reachable, 0)}, MessageReceived{2, messageAboutA(2, back, Reachable, 0)}})
	spread := back + returnSpread + 1000
	answers := actionsOf[AnswerProbe](m.Step(spread, []Event{TimerFired{}}))
	if want := (scheduler.HealthChecked{Node: "a", OK: true, Queue: returnedQueue}); len(answers) != 1 || answers[0].HealthChecked != want {
		t.Fatalf("answers %v, want %v", answers, want)
	}
	actions := m.Step(spread+second, []Event{ProbeRequested{"a"}})
	if started, answers := actionsOf[StartProbe](actions), actionsOf[AnswerProbe](actions); len(started) != 0 ||
		len(answers) != 1 || !answers[0].OK {
		t.Errorf("before the evidence expires: %d probes, answers %v; want the answer without a probe", len(started), answers)
	}
	afterExpiry := spread + m.config.EvidenceLifetime
	if started := actionsOf[StartProbe](m.Step(afterExpiry, []Event{ProbeRequested{"a"}})); len(started) != 1 {
		t.Errorf("after the evidence has expired: %d probes, want one of this front", len(started))
	}
}
