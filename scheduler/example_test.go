package scheduler_test

import (
	"fmt"

	"otterturn/scheduler"
)

// Example shows a caller's loop: it passes events with their time and carries out the returned actions.
func Example() {
	s, err := scheduler.New(scheduler.Settings{
		Fronts: 1, Tick: 1000, MeanUnits: 2, MaxUnits: 8,
		Classes: []scheduler.Class{{LatencyObjective: 300_000, Priority: 1}},
		Plans:   []scheduler.Plan{{Weight: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	node := scheduler.Endpoint{Node: "node-a", Shard: 0}
	read := scheduler.Request{ID: "read-1", Volume: "vol-1", Units: 2, Fronts: 1, TimeLeft: 2_000_000}
	batches := []struct {
		now    scheduler.Micros
		events []scheduler.Event
	}{
		{1_000, []scheduler.Event{scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{node}}, read}},
		{21_000, []scheduler.Event{scheduler.AttemptEnded{ID: "read-1", Latency: 20_000, Final: true}}},
		{22_000, []scheduler.Event{scheduler.Request{ID: "read-2", Volume: "vol-1", Units: 2, Fronts: 1}}}, // the client's time is over
	}
	for _, b := range batches {
		for _, action := range s.Step(b.now, b.events) {
			switch a := action.(type) {
			case scheduler.StartAttempt:
				fmt.Println("send", a.ID, "to", a.Node)
			case scheduler.Reject:
				fmt.Println("reject", a.ID)
			case scheduler.Fail, scheduler.CancelAttempt, scheduler.CheckHealth, scheduler.SetTimer:
			}
		}
	}
	// Output:
	// send read-1 to node-a
	// reject read-2
}
