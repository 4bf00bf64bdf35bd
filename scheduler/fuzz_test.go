package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"otterturn/scheduler/slowstart"
)

// checkGuarantees checks that any valid sequence of events keeps the guarantees of the interface, and that no state
// remains in the end.
func checkGuarantees(t *rapid.T) {
	settings := testSettings()
	settings.PeerMessages, settings.Fronts = rapid.Bool().Draw(t, "peer messages"), rapid.SampledFrom([]int{1, 2, 5}).Draw(t, "fronts")
	settings.CancelAttempts, settings.MaxOpen = rapid.Bool().Draw(t, "cancel"), rapid.SampledFrom([]int{0, 8, 40}).Draw(t, "max open")
	if rapid.Bool().Draw(t, "retry budget") {
		settings.RetryBudgetSpan, settings.RetryBudgetMin, settings.RetryBudgetShare = 5_000_000, 2, 0.2
	}
	s, err := New(settings, rapid.Int64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	env := &environment{t: t, s: s, now: 1_800_000_000_000_000, open: map[string]*clientRequest{}, drawnUnits: map[string]float64{}}
	env.startedAt = env.now
	list := func(t *rapid.T) {
		env.endpoints = nil
		for i := range rapid.IntRange(0, 5).Draw(t, "nodes") {
			endpoint := Endpoint{Node: fmt.Sprint("n", i), Shard: i % 4, Zone: i % 2, State: rapid.SampledFrom([]NodeState{Running, Running, Draining}).Draw(t, "state")}
			if rapid.IntRange(0, 3).Draw(t, "started") == 0 {
				endpoint.StartedAt = env.now
			}
			env.endpoints = append(env.endpoints, endpoint)
		}
		env.step(EndpointsChanged{Full: true, Endpoints: append([]Endpoint{}, env.endpoints...)})
	}
	list(t)
	t.Repeat(map[string]func(*rapid.T){
		"endpoint list": list,
		"request": func(t *rapid.T) {
			env.created++
			r := &clientRequest{Request: Request{
				ID: fmt.Sprint("r", env.created), Class: rapid.IntRange(0, len(settings.Classes)-1).Draw(t, "class"),
				Plan:  rapid.IntRange(0, len(settings.Plans)-1).Draw(t, "plan"),
				Key:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key"),
				Units: float64(rapid.IntRange(1, int(settings.MaxUnits)).Draw(t, "units")), Shard: rapid.IntRange(-1, 4).Draw(t, "shard"),
				Fronts: 1, TimeLeft: Micros(rapid.IntRange(1000, 3_000_000).Draw(t, "time left")),
			}}
			r.Volume = fmt.Sprint("v", r.Plan, rapid.IntRange(0, 2).Draw(t, "volume"))
			r.deadline = env.now + r.TimeLeft
			env.open[r.ID], env.ids = r, append(env.ids, r.ID)
			env.step(r.Request)
		},
		"attempt ends": func(t *rapid.T) {
			if outstandingIDs := env.outstandingIDs(); len(outstandingIDs) > 0 {
				env.endAttempt(rapid.SampledFrom(outstandingIDs).Draw(t, "which"), Result(rapid.IntRange(0, 7).Draw(t, "result")))
			}
		},
		"client leaves": func(t *rapid.T) {
			if len(env.ids) > 0 {
				id := rapid.SampledFrom(env.ids).Draw(t, "which")
				env.remove(id)
				env.step(ClientLeft{ID: id})
			}
		},
		"health check ends": func(t *rapid.T) {
			if len(env.healthChecks) > 0 {
				node := env.healthChecks[0]
				env.healthChecks = env.healthChecks[1:]
				env.step(HealthChecked{Node: node, OK: rapid.Bool().Draw(t, "ok"), Queue: float64(rapid.IntRange(-1, 9).Draw(t, "queue"))})
			}
		},
		"capacity requested": func(t *rapid.T) {
			env.step(CapacityRequested{
				From: rapid.IntRange(-1, 9).Draw(t, "from"), Node: fmt.Sprint("n", rapid.IntRange(0, 6).Draw(t, "node")),
				CapacityRequest: slowstart.CapacityRequest{
					Units: float64(rapid.IntRange(0, 9).Draw(t, "units")), MinUnits: 1,
					Report: slowstart.LoadReport{Units: 5, Time: 1},
				},
			})
		},
		"capacity granted": func(t *rapid.T) {
			env.step(CapacityGranted{
				From: rapid.IntRange(0, 4).Draw(t, "from"), Node: fmt.Sprint("n", rapid.IntRange(0, 6).Draw(t, "node")),
				Units: rapid.Float64Range(0, 9).Draw(t, "units"), ValidUntil: env.now + Micros(rapid.IntRange(-1000, 200_000).Draw(t, "validity")),
			})
		},
		"time passes": func(t *rapid.T) { env.advance(Micros(rapid.IntRange(1, 700_000).Draw(t, "wait"))) },
	})
	for _, id := range env.outstandingIDs() {
		env.endAttempt(id, NotStarted)
	}
	env.advance(4_000_000)
	if len(env.open) > 0 {
		t.Fatalf("%d requests have no final answer", len(env.open))
	}
	for range 40 {
		env.advance(2_000_000)
	}
	if count := len(s.requests) + s.volumes.Len() + s.flows.Len() + s.rejected.Len() + s.busyShards.Len() + len(s.allocators); count > 0 {
		t.Fatalf("%d requests, %d volumes, %d flows, %d rejected requests, %d shards with queued requests and %d allocators remain", len(s.requests), s.volumes.Len(),
			s.flows.Len(), s.rejected.Len(), s.busyShards.Len(), len(s.allocators))
	}
	for _, n := range s.nodes {
		if len(n.pending) > 0 || n.outstandingUnits != 0 {
			t.Fatalf("%s: %d requests and %v units remain outstanding", n.Node, len(n.pending), n.outstandingUnits)
		}
	}
}

func TestStepKeepsGuarantees(t *testing.T) { rapid.Check(t, checkGuarantees) }

// FuzzStep searches for sequences of events that violate a guarantee: go test -fuzz FuzzStep ./scheduler
func FuzzStep(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkGuarantees)) }
