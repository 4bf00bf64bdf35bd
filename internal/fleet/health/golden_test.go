package health

import (
	"encoding/hex"
	"reflect"
	"testing"
)

// goldenMessage is a message with an entry of each state, as encoded by the build of 2026-12-02.
const goldenMessage = "f10106651728988000ac02f2c0015e5c6b16a5001388200774695e118800000045dc5340fc7a340000106000123456789a0000009f40"

// The encoding must stay compatible with running fronts, because old and new versions exchange messages during a
// rollout.
func TestMessageEncodingIsStable(t *testing.T) {
	const run = 1_800_000_000_000_000
	message := Message{Incarnation: run, Sequence: 300, Sent: run + 12_345_000, Entries: []Entry{
		{Node: NodeKey("node-1"), StartedAt: 5_000_000, State: Reachable, Age: 7_000},
		{Node: NodeKey("node-2"), StartedAt: 0, State: Silent, Age: 1_500_000},
		{Node: NodeKey("node-3"), StartedAt: 16_000, State: Suspected, Age: 0},
		{Node: 0x12_3456_789a, StartedAt: 0, State: StillSilent, Age: 8_000_000},
	}}
	if got := hex.EncodeToString(message.Encode()); got != goldenMessage {
		t.Errorf("encoded %s, want %s", got, goldenMessage)
	}
	text, err := hex.DecodeString(goldenMessage)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(text); err != nil || !reflect.DeepEqual(got, message) {
		t.Errorf("decoded %+v, error %v", got, err)
	}
}
