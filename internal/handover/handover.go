// Package handover implements the messages with which one process of a front hands over to the next, and their socket.
// The successor asks; the predecessor stops promising, and gives its state; the successor says that it has it; the
// predecessor lets it go on, and from then on passes connections of clients as they become idle. Until it has let go, a
// predecessor that loses the successor takes all back; a successor that loses the predecessor before that begins as
// after a restart.
package handover

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/state/snapshot"
	"otterturn/scheduler"
)

// Version is that of the messages. Processes of other versions don't hand over.
const Version = 1

// ErrVersion tells that the other process speaks another version.
var ErrVersion = errors.New("the other process hands over in another version")

// State is what the predecessor gives.
type State struct {
	Given routing.HandoverState
	Plans []string          // by the number that accounts go by
	List  protocol.List     // as it was told, whole
	Bans  map[string]string // who told, by node
}

type form struct {
	Version  int               `cbor:"1,keyasint"`
	Snapshot []byte            `cbor:"2,keyasint"` // as it is kept in files, with its own version and checksum
	Began    int64             `cbor:"3,keyasint"`
	IDs      []string          `cbor:"4,keyasint"`
	Plans    []string          `cbor:"5,keyasint"`
	List     []hostForm        `cbor:"6,keyasint"`
	Bans     map[string]string `cbor:"7,keyasint"`
}

type hostForm struct {
	Name  string `cbor:"1,keyasint"`
	Dial  string `cbor:"2,keyasint"`
	Zone  int    `cbor:"3,keyasint"`
	Shard int    `cbor:"4,keyasint"`
	State int    `cbor:"5,keyasint"`
	Since int64  `cbor:"6,keyasint"`
}

// Encode writes a state.
func Encode(s State) ([]byte, error) {
	snap := snapshot.Snapshot{Saved: s.Given.At, Accounts: s.Given.Volumes, Leads: s.Given.Flows}
	for _, k := range s.Given.Nodes {
		snap.Nodes = append(snap.Nodes, snapshot.Node{LearnedNode: k})
	}
	kept, err := snapshot.Encode(snap)
	if err != nil {
		return nil, err
	}
	f := form{Version: Version, Snapshot: kept, Began: int64(s.Given.StartedAt), IDs: s.Given.IDs, Plans: s.Plans, Bans: s.Bans}
	for _, h := range s.List.Hosts {
		f.List = append(f.List, hostForm{h.Node, h.Dial, h.Zone, h.Shard, int(h.State), int64(h.StartedAt)})
	}
	return cbor.Marshal(f)
}

// Decode reads a state, whose accounts and leads get the numbers that plans have here. What stands under another plan is
// left out: it begins anew.
func Decode(text []byte, plans []string) (State, error) {
	var f form
	if err := cbor.Unmarshal(text, &f); err != nil {
		return State{}, fmt.Errorf("what the other process gave: %w", err)
	}
	if f.Version != Version {
		return State{}, ErrVersion
	}
	snap, err := snapshot.Decode(f.Snapshot)
	if err != nil {
		return State{}, fmt.Errorf("what the other process learned: %w", err)
	}
	numbers := map[int]int{}
	for i, name := range f.Plans {
		for at, own := range plans {
			if own == name && name != "" {
				numbers[i] = at
			}
		}
	}
	s := State{Plans: f.Plans, Bans: f.Bans, List: protocol.List{Whole: true}}
	s.Given = routing.HandoverState{StartedAt: scheduler.Micros(f.Began), IDs: f.IDs, Learned: scheduler.Learned{At: snap.Saved}}
	for _, n := range snap.Nodes {
		s.Given.Nodes = append(s.Given.Nodes, n.LearnedNode)
	}
	for _, a := range snap.Accounts {
		if at, has := numbers[a.Plan]; has {
			a.Plan = at
			s.Given.Volumes = append(s.Given.Volumes, a)
		}
	}
	for _, l := range snap.Leads {
		if at, has := numbers[l.Plan]; has {
			l.Plan = at
			s.Given.Flows = append(s.Given.Flows, l)
		}
	}
	for _, h := range f.List {
		s.List.Hosts = append(s.List.Hosts, protocol.Host{Dial: h.Dial, Endpoint: scheduler.Endpoint{
			Node: h.Name, Zone: h.Zone,
			Shard: h.Shard, State: scheduler.NodeState(h.State), StartedAt: scheduler.Micros(h.Since),
		}})
	}
	return s, nil
}
