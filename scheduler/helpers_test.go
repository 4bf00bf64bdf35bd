package scheduler

import (
	"reflect"
	"testing"
)

const ms Micros = 1000

// testSettings returns settings for tests. Their values are round numbers that no deployment uses.
func testSettings() Settings {
	return Settings{
		Fronts: 2, Tick: ms,
		Classes: []Class{
			{LatencyObjective: 400 * ms, Idempotency: Idempotent, Priority: 1},
			{LatencyObjective: 400 * ms, Idempotency: IdempotentByKey, DedupScope: SameShard, DedupWindow: 1000 * ms, Priority: 1},
			{LatencyObjective: 400 * ms, Idempotency: NotIdempotent, Priority: 1},
			{LatencyObjective: 400 * ms, Idempotency: Idempotent, InOrder: true, Priority: 1},
			{LatencyObjective: 400 * ms, Idempotency: IdempotentByKey, DedupScope: AllNodes, DedupWindow: 1000 * ms, Priority: 1},
		},
		Plans: []Plan{
			{Weight: 1},
			{Weight: 3},
			{Weight: 1, Reservation: 100},
			{Weight: 1, Limit: 10, Burst: 20},
		},
		MeanUnits: 2, MaxUnits: 8, MaxAttempts: 3, HealthChecks: true,
		InitialCapacity: 0.25, SlowStart: 10000 * ms, OverloadMultiple: 3, OverloadSpan: 1000 * ms,
		SlowStartUnits: 8, KeyPause: 200 * ms,
	}
}

// harness drives a Scheduler with scripted events.
type harness struct {
	t   *testing.T
	s   *Scheduler
	now Micros
	// number of started attempts by request
	attempts    map[string]int
	lastActions []Action
}

func newHarness(t *testing.T, settings Settings) *harness {
	t.Helper()
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, s: s, now: 1000 * second, attempts: map[string]int{}}
	h.step(EndpointsChanged{Full: true, Endpoints: []Endpoint{runningAt("a", 0), runningAt("b", 1)}})
	return h
}

func runningAt(name string, shard int) Endpoint { return Endpoint{Node: name, Shard: shard} }

func (h *harness) step(events ...Event) []Action {
	h.lastActions = h.s.Step(h.now, events)
	for _, a := range h.lastActions {
		if a, ok := a.(StartAttempt); ok {
			h.attempts[a.ID]++
		}
	}
	return h.lastActions
}

func (h *harness) after(d Micros, events ...Event) []Action {
	h.now += d
	return h.step(events...)
}

// advance lets time pass, fires the timer every 5 ms and returns all actions.
func (h *harness) advance(d Micros) (all []Action) {
	for end := h.now + d; h.now < end; {
		all = append(all, h.after(5*ms, TimerFired{})...)
	}
	return all
}

func (h *harness) end(id string, result Result, latency Micros) AttemptEnded {
	return AttemptEnded{ID: id, Attempt: h.attempts[id] - 1, Result: result, Latency: latency, Final: result == OK}
}

func req(id string, edit func(*Request)) Request {
	r := Request{ID: id, Volume: "v" + id, Units: 2, Fronts: 1, TimeLeft: 2000 * ms}
	if edit != nil {
		edit(&r)
	}
	return r
}

func startedIDs(actions []Action) (ids []string) {
	for _, a := range actions {
		if a, ok := a.(StartAttempt); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func finalAnswers(actions []Action) (rejected, failed []string) {
	for _, a := range actions {
		switch a := a.(type) {
		case Reject:
			rejected = append(rejected, a.ID)
		case Fail:
			failed = append(failed, a.ID)
		}
	}
	return rejected, failed
}

func (h *harness) wantStarted(actions []Action, want ...string) {
	h.t.Helper()
	if got := startedIDs(actions); !reflect.DeepEqual(got, want) {
		h.t.Errorf("started %v, want %v", got, want)
	}
}
