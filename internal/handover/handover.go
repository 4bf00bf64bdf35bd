// Package handover implements the messages and the socket by which one process of a front hands over to its successor. The
// successor requests the state; the predecessor stops promising capacity and sends its state; the successor confirms that it
// is ready to serve; the predecessor releases it, and from then on passes on client connections as they become idle. If the
// successor is lost before its release, the predecessor resumes; if the predecessor is lost before that, the successor starts as
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

// Version is the version of the messages. Processes with different versions do not hand over to each other.
const Version = 1

// ErrVersion is returned if the other process uses a different Version.
var ErrVersion = errors.New("other process uses a different handover version")

// State is the state that the predecessor hands over.
type State struct {
	Core  routing.HandoverState
	Plans []string          // names of the plans, by the index that volumes and flows refer to
	List  protocol.List     // the complete endpoint list
	Bans  map[string]string // who banned a node, by node
}

type encodedState struct {
	Version      int               `cbor:"1,keyasint"`
	Snapshot     []byte            `cbor:"2,keyasint"` // in the format of snapshot files, with a version and checksum of its own
	ProcessStart int64             `cbor:"3,keyasint"`
	IDs          []string          `cbor:"4,keyasint"`
	Plans        []string          `cbor:"5,keyasint"`
	List         []encodedHost     `cbor:"6,keyasint"`
	Bans         map[string]string `cbor:"7,keyasint"`
}

type encodedHost struct {
	Name      string `cbor:"1,keyasint"`
	Dial      string `cbor:"2,keyasint"`
	Zone      int    `cbor:"3,keyasint"`
	Shard     int    `cbor:"4,keyasint"`
	State     int    `cbor:"5,keyasint"`
	NodeStart int64  `cbor:"6,keyasint"`
}

// Encode returns the encoded state.
func Encode(s State) ([]byte, error) {
	snap := snapshot.Snapshot{Saved: s.Core.At, VolumeUsages: s.Core.Volumes, FlowLeads: s.Core.Flows}
	for _, node := range s.Core.Nodes {
		snap.Nodes = append(snap.Nodes, snapshot.Node{LearnedNode: node})
	}
	file, err := snapshot.Encode(snap)
	if err != nil {
		return nil, err
	}
	encoded := encodedState{
		Version: Version, Snapshot: file, ProcessStart: int64(s.Core.StartedAt), IDs: s.Core.IDs,
		Plans: s.Plans, Bans: s.Bans,
	}
	for _, h := range s.List.Hosts {
		encoded.List = append(encoded.List, encodedHost{h.Node, h.Dial, h.Zone, h.Shard, int(h.State), int64(h.StartedAt)})
	}
	return cbor.Marshal(encoded)
}

// Decode decodes a state and maps the plans of its volumes and flows, by name, to their indexes in plans. Volumes and flows
// whose plan is not among them are dropped and start from scratch.
func Decode(text []byte, plans []string) (State, error) {
	var encoded encodedState
	if err := cbor.Unmarshal(text, &encoded); err != nil {
		return State{}, fmt.Errorf("decode handover state: %w", err)
	}
	if encoded.Version != Version {
		return State{}, ErrVersion
	}
	snap, err := snapshot.Decode(encoded.Snapshot)
	if err != nil {
		return State{}, fmt.Errorf("decode snapshot of handover state: %w", err)
	}
	planIndexes := map[int]int{}
	for i, name := range encoded.Plans {
		for index, known := range plans {
			if known == name && name != "" {
				planIndexes[i] = index
			}
		}
	}
	s := State{Plans: encoded.Plans, Bans: encoded.Bans, List: protocol.List{Full: true}}
	s.Core = routing.HandoverState{
		StartedAt: scheduler.Micros(encoded.ProcessStart), IDs: encoded.IDs, Learned: scheduler.Learned{At: snap.Saved},
	}
	for _, n := range snap.Nodes {
		s.Core.Nodes = append(s.Core.Nodes, n.LearnedNode)
	}
	for _, a := range snap.VolumeUsages {
		if index, ok := planIndexes[a.Plan]; ok {
			a.Plan = index
			s.Core.Volumes = append(s.Core.Volumes, a)
		}
	}
	for _, l := range snap.FlowLeads {
		if index, ok := planIndexes[l.Plan]; ok {
			l.Plan = index
			s.Core.Flows = append(s.Core.Flows, l)
		}
	}
	for _, h := range encoded.List {
		s.List.Hosts = append(s.List.Hosts, protocol.Host{Dial: h.Dial, Endpoint: scheduler.Endpoint{
			Node: h.Name, Zone: h.Zone,
			Shard: h.Shard, State: scheduler.NodeState(h.State), StartedAt: scheduler.Micros(h.NodeStart),
		}})
	}
	return s, nil
}
