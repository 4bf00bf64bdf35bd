package handover

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"testing"

	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

var update = flag.Bool("update", false, "rewrite the golden file of this version")

// goldenState has every field set, so that a test notices a field that is not handed over.
func goldenState() State {
	return State{
		Core: routing.HandoverState{
			StartedAt: 1_799_999_000_000_000,
			IDs:       []string{"id-1", "id-2"},
			Learned: scheduler.Learned{
				At: 1_800_000_000_000_000,
				Nodes: []scheduler.LearnedNode{{
					Endpoint: scheduler.Endpoint{Node: "node-a", Zone: 1, Shard: 2, State: scheduler.Draining, StartedAt: 5},
					NodeStats: scheduler.NodeStats{
						Budget: 8.5, Target: 150e3, Curve: curve.Curve{{Throughput: 10, Latency: 20e3, Low: 15e3}},
						SmoothedLatency: 30e3, PreviousLatency: 31e3, UnitTime: 4e3, ErrorRate: 0.25, LatencyUpdated: 6, LastAnswer: 7, SuspectedRestart: 8,
					},
				}},
				Volumes: []scheduler.VolumeUsage{{
					Volume: "riverside", Plan: 1, Fronts: 2, ReservationTag: 9.5,
					Bucket: tokenbucket.Bucket[scheduler.Micros]{Level: 30, At: 10, Lease: 4, BoundUntil: 11},
				}},
				Flows: []scheduler.FlowLead{{Volume: "riverside", Plan: 1, Shard: 2, Units: 3.5, LastSend: 12}},
			},
		},
		Plans: []string{"gold", "basic"},
		List: protocol.List{Full: true, Hosts: []protocol.Host{{
			Dial:     "127.0.0.1:3022",
			Endpoint: scheduler.Endpoint{Node: "node-a", Zone: 1, Shard: 2, State: scheduler.Draining, StartedAt: 5},
		}}},
		Bans: map[string]string{"node-b": "on-call"},
	}
}

// TestStateEncodingIsStable checks that the encoded state has the bytes that the build of 2026-12-02 wrote, because an upgrade
// hands over between two versions of the program.
func TestStateEncodingIsStable(t *testing.T) {
	const name = "testdata/version-1.handover"
	text, err := Encode(goldenState())
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(name, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, golden) {
		t.Errorf("encoded state is %x, want %x", text, golden)
	}
	if got, err := Decode(golden, []string{"gold", "basic"}); err != nil || !reflect.DeepEqual(got, goldenState()) {
		t.Errorf("decoded golden file: %+v, %v", got, err)
	}
}

// TestKindNumbersAreStable checks the numbers of the message kinds, which are the first byte of each message.
func TestKindNumbersAreStable(t *testing.T) {
	for want, kind := range []Kind{
		KindStateRequest, KindStatePart, KindStateEnd, KindReady, KindRelease, KindConnection,
		KindRequestID, KindBan, KindUnban,
	} {
		if int(kind) != want+1 {
			t.Errorf("kind has number %d, want %d", kind, want+1)
		}
	}
}
