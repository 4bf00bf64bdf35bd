package scheduler

import (
	"reflect"
	"testing"
)

const ms Micros = 1000

// testSettings are round figures of no deployment.
func testSettings() Settings {
	return Settings{
		Hosts: 2, Tick: ms,
		Classes: []Class{
			{Aim: 400 * ms, Repeat: Safe, Worth: 1},
			{Aim: 400 * ms, Repeat: Keyed, Group: SameShard, Window: 1000 * ms, Worth: 1},
			{Aim: 400 * ms, Repeat: Unsafe, Worth: 1},
			{Aim: 400 * ms, Repeat: Safe, InOrder: true, Worth: 1},
			{Aim: 400 * ms, Repeat: Keyed, Group: AllNodes, Window: 1000 * ms, Worth: 1},
		},
		Plans: []Plan{
			{Weight: 1},
			{Weight: 3},
			{Weight: 1, Reservation: 100},
			{Weight: 1, Limit: 10, Burst: 20},
		},
		MeanUnits: 2, MostUnits: 8, MaxTries: 3, Probing: true,
		ColdFrom: 0.25, Ramp: 10000 * ms, FallMultiple: 3, FallSpan: 1000 * ms,
		ColdUnits: 8, KeyRest: 200 * ms,
	}
}

// host drives a Scheduler with scripted events.
type host struct {
	t   *testing.T
	s   *Scheduler
	now Micros
	// tries counts the sends of each request, at each node the sends still out.
	tries map[string]int
	last  []Action
}

func newHost(t *testing.T, set Settings) *host {
	t.Helper()
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{t: t, s: s, now: 1000 * second, tries: map[string]int{}}
	h.step(Nodes{Full: true, List: []Listing{running("a", 0), running("b", 1)}})
	return h
}

func running(name string, shard int) Listing { return Listing{Node: name, Shard: shard} }

func (h *host) step(events ...Event) []Action {
	h.last = h.s.Step(h.now, events)
	for _, a := range h.last {
		if a, ok := a.(Send); ok {
			h.tries[a.ID]++
		}
	}
	return h.last
}

func (h *host) after(d Micros, events ...Event) []Action {
	h.now += d
	return h.step(events...)
}

// idle lets time pass with a wake-up every few milliseconds and gathers the actions.
func (h *host) idle(d Micros) (all []Action) {
	for end := h.now + d; h.now < end; {
		all = append(all, h.after(5*ms, Alarm{})...)
	}
	return all
}

func (h *host) end(id string, result Result, latency Micros) Outcome {
	return Outcome{ID: id, Attempt: h.tries[id] - 1, Result: result, Latency: latency, Final: result == OK}
}

func req(id string, edit func(*Request)) Request {
	r := Request{ID: id, Volume: "v" + id, Units: 2, Hosts: 1, Left: 2000 * ms}
	if edit != nil {
		edit(&r)
	}
	return r
}

func sends(actions []Action) (ids []string) {
	for _, a := range actions {
		if a, ok := a.(Send); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func finals(actions []Action) (refused, failed []string) {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			refused = append(refused, a.ID)
		case Fail:
			failed = append(failed, a.ID)
		}
	}
	return refused, failed
}

func (h *host) wantSends(actions []Action, want ...string) {
	h.t.Helper()
	if got := sends(actions); !reflect.DeepEqual(got, want) {
		h.t.Errorf("sends %v, want %v", got, want)
	}
}
