package protocol

import (
	"reflect"
	"testing"

	"otterturn/scheduler"
	"otterturn/scheduler/slowstart"
)

// TestPeerMessageEncodingIsStable guards against a change of the encoding: during a rollout, fronts of both versions
// exchange these messages.
func TestPeerMessageEncodingIsStable(t *testing.T) {
	report := slowstart.LoadReport{Served: 1.5, Units: 30.25, Time: 2}
	cases := map[string]struct {
		action scheduler.Action
		bytes  string
		event  scheduler.Event
	}{
		"request for capacity": {
			scheduler.RequestCapacity{
				To: 3, Node: "node-1", StartedAt: 1_800_000_000_000_001,
				CapacityRequest: slowstart.CapacityRequest{Units: 4, MinUnits: 0.125, Report: report},
			},
			"ask 4 0.125 1.5 30.25 2 1800000000000001 node-1",
			scheduler.CapacityRequested{
				From: 2, Node: "node-1", StartedAt: 1_800_000_000_000_001,
				CapacityRequest: slowstart.CapacityRequest{Units: 4, MinUnits: 0.125, Report: report},
			},
		},
		"load report alone": {
			scheduler.RequestCapacity{To: 3, Node: "node-1", CapacityRequest: slowstart.CapacityRequest{Report: report}},
			"ask 0 0 1.5 30.25 2 0 node-1",
			scheduler.CapacityRequested{From: 2, Node: "node-1", CapacityRequest: slowstart.CapacityRequest{Report: report}},
		},
		"grant": {
			scheduler.GrantCapacity{To: 3, Node: "node-1", Units: 7.3, ValidUntil: 1_800_000_000_200_000},
			"grant 7.3 1800000000200000 node-1",
			scheduler.CapacityGranted{From: 2, Node: "node-1", Units: 7.3, ValidUntil: 1_800_000_000_200_000},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := string(FormatPeerMessage(c.action)); got != c.bytes {
				t.Errorf("sent %q, want %q", got, c.bytes)
			}
			if got, err := ParsePeerMessage(2, []byte(c.bytes)); err != nil || !reflect.DeepEqual(got, c.event) {
				t.Errorf("received %+v, %v, want %+v", got, err, c.event)
			}
		})
	}
}
