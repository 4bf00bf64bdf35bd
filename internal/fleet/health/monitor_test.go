package health

import (
	"fmt"
	"slices"
	"testing"

	"otterturn/scheduler"
)

// newTestMonitor returns a Monitor with the running nodes a and b, which started at 1 s and 2 s.
func newTestMonitor(t testing.TB, self int, zones []int, now scheduler.Micros) *Monitor {
	t.Helper()
	m, err := New(Defaults(self, 1, zones))
	if err != nil {
		t.Fatal(err)
	}
	m.Step(now, []Event{EndpointsChanged{Full: true, Nodes: []scheduler.Endpoint{
		{Node: "a", StartedAt: second}, {Node: "b", StartedAt: 2 * second},
	}}})
	return m
}

func sprint(v any) string { return fmt.Sprintf("%v", v) }

// messageAboutA returns a message with one entry about node a.
func messageAboutA(sequence uint32, sent scheduler.Micros, state State, age scheduler.Micros) Message {
	return Message{Incarnation: 1, Sequence: sequence, Sent: sent, Entries: []Entry{{NodeKey("a"), encodeStart(second), state, age}}}
}

func (m *Monitor) avoids(node string) bool {
	n := m.byName[node]
	return n != nil && n.investigation != nil && n.avoided
}

// actionsOf returns the actions of type A.
func actionsOf[A Action](actions []Action) (out []A) {
	for _, a := range actions {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func TestQuorumOfOwnZoneIsRequired(t *testing.T) {
	const now = 10 * second
	zones := []int{0, 0, 0, 0, 1, 1, 1}
	m := newTestMonitor(t, 0, zones, now)
	for front := 4; front < 7; front++ {
		m.Step(now, []Event{MessageReceived{front, messageAboutA(1, now, Silent, 0)}})
	}
	if m.avoids("a") || m.Counters().Dropped[DropForeign] != 3 {
		t.Errorf("evidence from another zone counts: %+v", m.Counters())
	}
	for sequence := range uint32(5) {
		m.Step(now+scheduler.Micros(sequence), []Event{MessageReceived{1, messageAboutA(sequence+1, now, Silent, 0)}})
	}
	if m.avoids("a") {
		t.Error("node avoided on the evidence of one front")
	}
	actions := m.Step(now+10, []Event{MessageReceived{2, messageAboutA(1, now+10, Silent, 0)}})
	reports := actionsOf[ReportSilent](actions)
	if !m.avoids("a") || len(reports) != 1 || reports[0].StartedAt != second || reports[0].Node != "a" {
		t.Errorf("evidence of two fronts leads to %v, want one silent report", actions)
	}
	if m.Step(now+20, []Event{MessageReceived{3, messageAboutA(1, now+20, Silent, 0)}}); m.Counters().Avoided != 1 {
		t.Errorf("counters %+v, want 1 avoided node", m.Counters())
	}
}

func TestOwnSuccessOverridesOlderEvidence(t *testing.T) {
	const now = 10 * second
	m := newTestMonitor(t, 0, zonesOf(1, 4), now)
	m.Step(now, []Event{MessageReceived{1, messageAboutA(1, now, Silent, 0)}, MessageReceived{2, messageAboutA(1, now, Silent, 0)}})
	if !m.avoids("a") {
		t.Fatal("node not avoided")
	}
	m.Step(now+second, []Event{AttemptEnded{Node: "a", ID: "x", Result: scheduler.OK}})
	if m.avoids("a") {
		t.Error("node avoided right after it answered")
	}
	for front := 1; front < 3; front++ { // older than the success
		m.Step(now+second+1, []Event{MessageReceived{front, messageAboutA(2, now+second, Silent, second/2)}})
	}
	if m.avoids("a") {
		t.Error("node avoided because of evidence older than its answer")
	}
	for front := 1; front < 3; front++ {
		m.Step(now+3*second, []Event{MessageReceived{front, messageAboutA(3, now+3*second, Silent, second)}})
	}
	if !m.avoids("a") {
		t.Error("node not avoided despite evidence newer than its answer")
	}
}

func TestEndpointListOverridesEvidence(t *testing.T) {
	const now = 10 * second
	for name, l := range map[string]scheduler.Endpoint{
		"drain": {Node: "a", StartedAt: second, State: scheduler.Draining},
		"start": {Node: "a", StartedAt: 9 * second},
		"gone":  {Node: "a", State: scheduler.Removed},
	} {
		m := newTestMonitor(t, 0, zonesOf(1, 4), now)
		m.Step(now, []Event{
			MessageReceived{1, messageAboutA(1, now, Silent, 0)}, MessageReceived{2, messageAboutA(1, now, Silent, 0)}, ProbeRequested{"a"},
		})
		actions := m.Step(now+1, []Event{EndpointsChanged{Nodes: []scheduler.Endpoint{l}}})
		if answers := actionsOf[AnswerProbe](actions); m.avoids("a") || m.Counters().Avoided != 0 || len(answers) != 1 || answers[0].OK {
			t.Errorf("%s: avoided %v, actions %v, want one failed answer", name, m.avoids("a"), actions)
		}
		m.Step(now+2, []Event{MessageReceived{3, messageAboutA(1, now, Silent, 0)}})
		if m.avoids("a") {
			t.Errorf("%s: node avoided again", name)
		}
	}
}

func TestInvalidMessagesAreDroppedAndCounted(t *testing.T) {
	const now = 10 * second
	m := newTestMonitor(t, 0, []int{0, 0, 0, 0, 1, 1, 1}, now)
	entry := func(e Entry) Message { return Message{Incarnation: 5, Sent: now, Entries: []Entry{e}} }
	good := Entry{NodeKey("a"), encodeStart(second), Silent, 0}
	sequence := uint32(0)
	receive := func(from int, message Message) {
		sequence++
		message.Sequence = sequence
		m.Step(now, []Event{MessageReceived{from, message}})
	}
	change := func(f func(e *Entry)) Entry {
		e := good
		f(&e)
		return e
	}
	receive(1, entry(change(func(e *Entry) { e.Age = -1 })))
	receive(1, entry(change(func(e *Entry) { e.StartedAt = encodeStart(2 * second) })))
	receive(1, entry(change(func(e *Entry) { e.StartedAt = encodeStart(0) })))
	receive(1, entry(change(func(e *Entry) { e.Node = NodeKey("c") })))
	receive(1, entry(change(func(e *Entry) { e.State = 7 })))
	receive(1, entry(change(func(e *Entry) { e.Age = 7 * second })))
	for _, from := range []int{-1, 0, 4, 7, 1 << 40} {
		receive(from, entry(good))
	}
	sequence--
	receive(1, entry(good)) // number 11 was received only from front 1<<40 before, so it is not repeated
	sequence--
	receive(1, entry(good))
	receive(1, Message{Incarnation: 4, Sent: now, Entries: []Entry{good}})
	receive(1, Message{Incarnation: 5, Sent: now - 20*second, Entries: []Entry{good}})
	m.CountUnreadable()
	want := map[Drop]int64{DropFuture: 2, DropOutdated: 1, DropUnknown: 1, DropUnreadable: 2, DropExpired: 2, DropForeign: 5, DropRepeated: 2}
	if got := m.Counters().Dropped; sprint(got) != sprint(want) {
		t.Errorf("dropped %v, want %v", got, want)
	}
	if n := m.byName["a"]; n.investigation == nil || len(n.evidence) != 1 {
		t.Error("the evidence is not exactly the one valid entry")
	}
}

// The transit time of a delayed message counts as age of its evidence, whatever the offset between both clocks.
func TestDelayCountsAsAge(t *testing.T) {
	const now = 100 * second
	m := newTestMonitor(t, 0, zonesOf(1, 4), now)
	const ahead = 37 * second // offset of the sender's clock
	m.Step(now, []Event{MessageReceived{1, Message{Incarnation: 1, Sequence: 1, Sent: now + ahead - 400}}})
	m.Step(now+5*second, []Event{MessageReceived{1, messageAboutA(2, now+ahead+2*second, Silent, second)}})
	own, ok := m.byName["a"].evidence.observationOf(1)
	if want := now + 1*second; !ok || own.at < want || own.at > want+3000 {
		t.Errorf("observation %v, want its time at %d", own, want)
	}
}

// A front whose requests stall at a node requests evidence from the node's probers and does not avoid the node yet.
func TestStalledAttemptRequestsEvidence(t *testing.T) {
	const now = 10 * second
	m := newTestMonitor(t, 0, zonesOf(1, 8), now)
	probers := rankFronts(m.zone, NodeKey("a"))[:DefaultProbers]
	timers := actionsOf[SetTimer](m.Step(now, []Event{AttemptStarted{Node: "a", ID: "x"}, AttemptStarted{Node: "b", ID: "y"}}))
	if len(timers) != 1 || timers[0].At != now+DefaultSuspectAfter {
		t.Fatalf("timers %v, want one after DefaultSuspectAfter", timers)
	}
	m.Step(now+5000, []Event{AttemptEnded{Node: "b", ID: "y", Result: scheduler.OK}})
	var to []int
	for _, s := range actionsOf[SendMessage](m.Step(timers[0].At, []Event{TimerFired{}})) {
		if len(s.Message.Entries) != 1 || s.Message.Entries[0].State != Suspected || s.Message.Entries[0].Node != NodeKey("a") {
			t.Errorf("sent %v, want one suspected entry about node a", s)
		}
		to = append(to, s.To)
	}
	probers = slices.DeleteFunc(probers, func(front int) bool { return front == 0 })
	if slices.Sort(to); sprint(to) != sprint(slices.Sorted(slices.Values(probers))) {
		t.Errorf("sent to %v, want %v", to, probers)
	}
	if m.avoids("a") || m.avoids("b") {
		t.Error("node avoided without evidence of a quorum")
	}
}

// A prober that the node has just answered replies to a request immediately, without a probe. A request for newer
// evidence makes it probe.
func TestProberAnswersFromItsOwnSuccess(t *testing.T) {
	const now = 10 * second
	prober := rankFronts(frontNumbers(4), NodeKey("a"))[0]
	m := newTestMonitor(t, prober, zonesOf(1, 4), now)
	m.Step(now, []Event{AttemptStarted{Node: "a", ID: "x"}})
	m.Step(now+3000, []Event{AttemptEnded{Node: "a", ID: "x", Result: scheduler.OK}})
	other := (prober + 1) % 4
	actions := m.Step(now+4000, []Event{MessageReceived{other, messageAboutA(1, now, Suspected, second)}})
	sends := actionsOf[SendMessage](actions)
	if len(sends) != 1 || sends[0].To != other || sends[0].Message.Entries[0].State != Reachable || len(actionsOf[StartProbe](actions)) > 0 {
		t.Errorf("actions %v, want one reachable entry and no probe", actions)
	}
	actions = m.Step(now+second, []Event{MessageReceived{other, messageAboutA(2, now+second, Suspected, second/2)}})
	if len(actionsOf[StartProbe](actions)) != 1 || len(actionsOf[SendMessage](actions)) > 0 {
		t.Errorf("actions after a request for newer evidence: %v, want one probe", actions)
	}
}

func frontNumbers(fronts int) (out []int) {
	for front := range fronts {
		out = append(out, front)
	}
	return out
}
