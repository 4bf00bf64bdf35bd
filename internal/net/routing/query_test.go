package routing

import (
	"runtime"
	"testing"

	"otterturn/internal/limits"
	"otterturn/scheduler"
)

// A query must see every event that was submitted before it. When an endpoint update and a query waited in the inbox
// together, the query ran first: no node was known yet, so a request with a long body was rejected.
func TestQueryRunsAfterEarlierEvents(t *testing.T) {
	settings := scheduler.Settings{
		Fronts: 1, Tick: 2000, MeanUnits: 2, MaxUnits: 8, Classes: []scheduler.Class{{LatencyObjective: 300_000}},
		Plans: []scheduler.Plan{{Weight: 1}},
	}
	core, err := New(settings, 1, limits.Limits{Requests: limits.RequestLimits{Inbox: 8, PastIDs: 1}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	core.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}})
	placed := make(chan string)
	go func() {
		node, _, _ := core.NodeFor(t.Context(), scheduler.Request{ID: "x", Volume: "v", Units: 1, Fronts: 1, TimeLeft: 1_000_000})
		placed <- node
	}()
	for len(core.inbox) < 2 {
		runtime.Gosched()
	}
	go core.Run(t.Context())
	if node := <-placed; node != "a" {
		t.Errorf("request placed at node %q, want \"a\"", node)
	}
}
