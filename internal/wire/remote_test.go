package wire

import (
	"io"
	"math/rand/v2"
	"reflect"
	"strconv"
	"testing"

	"otterturn/scheduler"
	"otterturn/scheduler/slowstart"
)

// A remote scheduler returns the same actions for the same events as a local one.
func TestRemoteSchedulerEqualsLocalScheduler(t *testing.T) {
	set := scheduler.Settings{
		Fronts: 2, PeerMessages: true, Tick: 2000, MeanUnits: 2, MaxUnits: 8, MaxAttempts: 3, HealthChecks: true, CancelAttempts: true,
		RetryAfter: true, MaxRetryAfter: 500_000, InitialCapacity: 0.25, SlowStart: 15_000_000,
		OverloadMultiple: 2.5, OverloadSpan: 1_000_000, SlowStartUnits: 8,
		KeyPause: 100, RetryBudgetSpan: 10_000_000, RetryBudgetMin: 5, RetryBudgetShare: 0.2,
		Classes: []scheduler.Class{
			{LatencyObjective: 300_000, Priority: 2},
			{
				LatencyObjective: 400_000, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameShard, DedupWindow: 3_000_000,
				InOrder: true, Priority: 1,
			},
			{LatencyObjective: 1_000_000, Idempotency: scheduler.NotIdempotent, Priority: 1},
		},
		Plans: []scheduler.Plan{{Reservation: 8, Weight: 1}, {Weight: 2, Limit: 24, Burst: 72}},
	}
	serverIn, clientOut := io.Pipe()
	clientIn, serverOut := io.Pipe()
	go func() { Serve(serverIn, serverOut, io.Discard) }()
	defer clientOut.Close()
	local, err := scheduler.New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	remote, err := NewRemote(clientIn, clientOut).Launch("0", set, 7)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	now := scheduler.Micros(1_800_000_000_000_000)
	attempts, pending := map[string]int{}, []string{}
	actions := 0
	for step := range 3000 {
		now += scheduler.Micros(2000 + rng.IntN(5000))
		var events []scheduler.Event
		if step%500 == 0 {
			list := scheduler.EndpointsChanged{Full: true}
			for i := range 4 {
				list.Endpoints = append(list.Endpoints, scheduler.Endpoint{
					Node: "n" + strconv.Itoa(i), Zone: i % 2, Shard: i, StartedAt: now - 5_000_000,
					State: scheduler.NodeState(rng.IntN(2)),
				})
			}
			events = append(events, list)
		}
		events = append(events, scheduler.Request{
			ID: strconv.Itoa(step), Class: rng.IntN(3), Plan: rng.IntN(2), Volume: strconv.Itoa(rng.IntN(9)),
			Key: strconv.Itoa(rng.IntN(20)), Units: 1 + rng.Float64()*7, Shard: rng.IntN(5) - 1, Fronts: 2, TimeLeft: 2_000_000,
		})
		for len(pending) > 0 && rng.IntN(3) > 0 {
			result := scheduler.Result(rng.IntN(8))
			events = append(events, scheduler.AttemptEnded{
				ID: pending[0], Attempt: attempts[pending[0]] - 1, Result: result,
				Latency: scheduler.Micros(rng.IntN(500_000)), Final: result == scheduler.OK,
			})
			pending = pending[1:]
		}
		events = append(events, scheduler.TimerFired{}, scheduler.HealthChecked{Node: "n0", OK: step%3 > 0, Queue: float64(step % 5)},
			scheduler.ClientLeft{ID: strconv.Itoa(step - 900)},
			scheduler.CapacityRequested{From: 1, Node: "n" + strconv.Itoa(step%4), CapacityRequest: slowstart.CapacityRequest{
				Units: 2, MinUnits: 1, Report: slowstart.LoadReport{Units: 8, Time: 0.125},
			}})
		a, b := local.Step(now, events), remote.Step(now, events)
		for i, x := range a { // the protocol does not transmit reasons
			switch x := x.(type) {
			case scheduler.Reject:
				x.Reason = ""
				a[i] = x
			case scheduler.Fail:
				x.Reason = ""
				a[i] = x
			case scheduler.StartAttempt:
				attempts[x.ID]++
				pending = append(pending, x.ID)
			}
		}
		if remote.Err() != nil || len(a)+len(b) > 0 && !reflect.DeepEqual(a, b) {
			t.Fatalf("step %d: local actions %v, remote actions %v, error %v", step, a, b, remote.Err())
		}
		actions += len(a)
	}
	if actions < 3000 {
		t.Errorf("%d actions in 3000 steps, want at least 3000", actions)
	}
}
