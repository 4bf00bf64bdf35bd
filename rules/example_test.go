package rules_test

import (
	"fmt"

	"otterturn/rules"
)

// A caller's loop: events go in with the time, actions come out to be carried out.
func Example() {
	s, err := rules.New(rules.Settings{
		Hosts: 1, Tick: 1000, MeanUnits: 2, MostUnits: 8,
		Classes: []rules.Class{{Aim: 300_000, Worth: 1}},
		Plans:   []rules.Plan{{Weight: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	node := rules.Listing{Node: "node-a", Shard: 0}
	read := rules.Request{ID: "read-1", Volume: "vol-1", Units: 2, Hosts: 1, Left: 2_000_000}
	batches := []struct {
		now    rules.Micros
		events []rules.Event
	}{
		{1_000, []rules.Event{rules.Nodes{Full: true, List: []rules.Listing{node}}, read}},
		{21_000, []rules.Event{rules.Outcome{ID: "read-1", Latency: 20_000, Final: true}}},
		{22_000, []rules.Event{rules.Request{ID: "read-2", Volume: "vol-1", Units: 2, Hosts: 1}}}, // no time left
	}
	for _, b := range batches {
		for _, action := range s.Step(b.now, b.events) {
			switch a := action.(type) {
			case rules.Send:
				fmt.Println("send", a.ID, "to", a.Node)
			case rules.Refuse:
				fmt.Println("refuse", a.ID)
			case rules.Fail, rules.Cancel, rules.Probe, rules.SetAlarm:
			}
		}
	}
	// Output:
	// send read-1 to node-a
	// refuse read-2
}
