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

// A scheduler behind the pipe decides as one that is called: the same events have the same actions.
func TestRemoteDecidesAsCalled(t *testing.T) {
	set := scheduler.Settings{Hosts: 2, Peers: true, Tick: 2000, MeanUnits: 2, MostUnits: 8, MaxTries: 3, Probing: true, Cancel: true,
		RetryAfter: true, MaxRetryAfter: 500_000, ColdFrom: 0.25, Ramp: 15_000_000, FallMultiple: 2.5, FallSpan: 1_000_000, ColdUnits: 8,
		KeyRest: 100, RetrySpan: 10_000_000, RetrySpare: 5, RetryShare: 0.2,
		Classes: []scheduler.Class{{Aim: 300_000, Worth: 2}, {Aim: 400_000, Repeat: scheduler.Keyed, Group: scheduler.SameShard, Window: 3_000_000, InOrder: true, Worth: 1},
			{Aim: 1_000_000, Repeat: scheduler.Unsafe, Worth: 1}},
		Plans: []scheduler.Plan{{Reservation: 8, Weight: 1}, {Weight: 2, Limit: 24, Burst: 72}}}
	theirs, out := io.Pipe()
	in, ours := io.Pipe()
	go func() { Serve(theirs, ours, io.Discard) }()
	defer out.Close()
	called, err := scheduler.New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	far, err := NewRemote(in, out).Launch("0", set, 7)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	now := scheduler.Micros(1_800_000_000_000_000)
	tries, pending := map[string]int{}, []string{}
	actions := 0
	for step := range 3000 {
		now += scheduler.Micros(2000 + rng.IntN(5000))
		var events []scheduler.Event
		if step%500 == 0 {
			list := scheduler.Nodes{Full: true}
			for i := range 4 {
				list.List = append(list.List, scheduler.Listing{Node: "n" + strconv.Itoa(i), Zone: i % 2, Shard: i, Since: now - 5_000_000,
					State: scheduler.NodeState(rng.IntN(2))})
			}
			events = append(events, list)
		}
		events = append(events, scheduler.Request{ID: strconv.Itoa(step), Class: rng.IntN(3), Plan: rng.IntN(2), Volume: strconv.Itoa(rng.IntN(9)),
			Key: strconv.Itoa(rng.IntN(20)), Units: 1 + rng.Float64()*7, Shard: rng.IntN(5) - 1, Hosts: 2, Left: 2_000_000})
		for len(pending) > 0 && rng.IntN(3) > 0 {
			result := scheduler.Result(rng.IntN(8))
			events = append(events, scheduler.Outcome{ID: pending[0], Attempt: tries[pending[0]] - 1, Result: result,
				Latency: scheduler.Micros(rng.IntN(500_000)), Final: result == scheduler.OK})
			pending = pending[1:]
		}
		events = append(events, scheduler.Alarm{}, scheduler.Probed{Node: "n0", OK: step%3 > 0, Queue: float64(step % 5)}, scheduler.Lapsed{ID: strconv.Itoa(step - 900)},
			scheduler.Asked{From: 1, Node: "n" + strconv.Itoa(step%4), Wish: slowstart.Wish{Units: 2, Least: 1, Shown: slowstart.Shown{Units: 8, Time: 0.125}}})
		a, b := called.Step(now, events), far.Step(now, events)
		for i, x := range a { // the reasons don't cross the pipe
			switch x := x.(type) {
			case scheduler.Refuse:
				x.Why = ""
				a[i] = x
			case scheduler.Fail:
				x.Why = ""
				a[i] = x
			case scheduler.Send:
				tries[x.ID]++
				pending = append(pending, x.ID)
			}
		}
		if far.Err() != nil || len(a)+len(b) > 0 && !reflect.DeepEqual(a, b) {
			t.Fatalf("step %d: called %v, behind the pipe %v, %v", step, a, b, far.Err())
		}
		actions += len(a)
	}
	if actions < 3000 {
		t.Errorf("only %d actions", actions)
	}
}
