// Package snapshot defines the saved form of a front's learned state, as a value and as the contents of a file. It does no I/O.
package snapshot

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"otterturn/scheduler"
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

// Snapshot is a front's learned state at one time. Times are in Unix microseconds, sizes in units.
type Snapshot struct {
	Front        string // name of the front that learned it
	Settings     uint64 // fingerprint of the settings that were in effect
	Saved        scheduler.Micros
	Count        uint64 // number of earlier snapshots, across restarts
	Closed       bool   // the last snapshot of a graceful shutdown
	ListVersion  int64  // version of the endpoint list; 0 for a list without versions, such as an operator's file
	Nodes        []Node
	VolumeUsages []scheduler.VolumeUsage
	FlowLeads    []scheduler.FlowLead
}

// Node is a node of the endpoint list with its learned state and the address that it had.
type Node struct {
	scheduler.LearnedNode
	Addr string
}

// Fingerprint returns a hash of the settings that affect learned state. State that was learned under other settings may not
// be valid.
func Fingerprint(settings scheduler.Settings) uint64 {
	settings.MaxOpen, settings.Lease, settings.RecordLifetime = 0, 0, 0 // learned state does not depend on them
	encoded, err := encoder.Marshal(settings)
	if err != nil {
		panic(err) // a plain value can always be encoded
	}
	return xxhash.Sum64(encoded)
}

// The types below define the file format. They are separate from the scheduler's types, so that a field renamed there does not
// change the format unnoticed. A key number must never be reused for another field.

type encodedSnapshot struct {
	Front        string          `cbor:"1,keyasint"`
	Settings     uint64          `cbor:"2,keyasint"`
	Saved        int64           `cbor:"3,keyasint"`
	Count        uint64          `cbor:"4,keyasint"`
	Closed       bool            `cbor:"5,keyasint"`
	ListVersion  int64           `cbor:"6,keyasint"`
	Nodes        []encodedNode   `cbor:"7,keyasint"`
	VolumeUsages []encodedVolume `cbor:"8,keyasint"`
	FlowLeads    []encodedFlow   `cbor:"9,keyasint"`
}

type encodedNode struct {
	Name        string         `cbor:"1,keyasint"`
	Addr        string         `cbor:"2,keyasint"`
	Zone        int            `cbor:"3,keyasint"`
	Shard       int            `cbor:"4,keyasint"`
	State       int            `cbor:"5,keyasint"`
	Start       int64          `cbor:"6,keyasint"`
	Budget      float64        `cbor:"7,keyasint"`
	Target      float64        `cbor:"8,keyasint"`
	Curve       []encodedPoint `cbor:"9,keyasint"`
	Smoothed    float64        `cbor:"10,keyasint"`
	Previous    float64        `cbor:"11,keyasint"`
	TimePerUnit float64        `cbor:"12,keyasint"`
	Errors      float64        `cbor:"13,keyasint"`
	LatencyAt   int64          `cbor:"14,keyasint"`
	AnswerAt    int64          `cbor:"15,keyasint"`
	SuspectedAt int64          `cbor:"16,keyasint"`
}

type encodedPoint struct {
	_          struct{} `cbor:",toarray"`
	Throughput float64
	Latency    float64
	Low        float64
}

type encodedVolume struct {
	Volume      string  `cbor:"1,keyasint"`
	Plan        int     `cbor:"2,keyasint"`
	FrontCount  float64 `cbor:"3,keyasint"`
	Reservation float64 `cbor:"4,keyasint"`
	Level       float64 `cbor:"5,keyasint"`
	At          int64   `cbor:"6,keyasint"`
	Lease       float64 `cbor:"7,keyasint"`
	Bound       int64   `cbor:"8,keyasint"`
}

type encodedFlow struct {
	Volume string  `cbor:"1,keyasint"`
	Plan   int     `cbor:"2,keyasint"`
	Shard  int     `cbor:"3,keyasint"`
	Units  float64 `cbor:"4,keyasint"`
	SentAt int64   `cbor:"5,keyasint"`
}

func (s Snapshot) encoded() encodedSnapshot {
	out := encodedSnapshot{
		Front: s.Front, Settings: s.Settings, Saved: int64(s.Saved), Count: s.Count, Closed: s.Closed,
		ListVersion: s.ListVersion,
	}
	for _, n := range s.Nodes {
		node := encodedNode{
			Name: n.Node, Addr: n.Addr, Zone: n.Zone, Shard: n.Shard, State: int(n.State), Start: int64(n.StartedAt),
			Budget: n.Budget, Target: n.Target, Smoothed: n.SmoothedLatency, Previous: n.PreviousLatency, TimePerUnit: n.UnitTime,
			Errors:    n.ErrorRate,
			LatencyAt: int64(n.LatencyUpdated), AnswerAt: int64(n.LastAnswer), SuspectedAt: int64(n.SuspectedRestart),
		}
		for _, p := range n.Curve {
			node.Curve = append(node.Curve, encodedPoint{Throughput: p.Throughput, Latency: p.Latency, Low: p.Low})
		}
		out.Nodes = append(out.Nodes, node)
	}
	for _, a := range s.VolumeUsages {
		out.VolumeUsages = append(out.VolumeUsages, encodedVolume{
			a.Volume, a.Plan, a.Fronts, a.ReservationTag, a.Bucket.Level,
			int64(a.Bucket.At), a.Bucket.Lease, int64(a.Bucket.BoundUntil),
		})
	}
	for _, l := range s.FlowLeads {
		out.FlowLeads = append(out.FlowLeads, encodedFlow{l.Volume, l.Plan, l.Shard, l.Units, int64(l.LastSend)})
	}
	return out
}

func (f encodedSnapshot) snapshot() Snapshot {
	out := Snapshot{
		Front: f.Front, Settings: f.Settings, Saved: scheduler.Micros(f.Saved), Count: f.Count, Closed: f.Closed,
		ListVersion: f.ListVersion,
	}
	for _, n := range f.Nodes {
		node := scheduler.LearnedNode{
			Endpoint: scheduler.Endpoint{
				Node: n.Name, Zone: n.Zone, Shard: n.Shard, State: scheduler.NodeState(n.State),
				StartedAt: scheduler.Micros(n.Start),
			},
			NodeStats: scheduler.NodeStats{
				Budget: n.Budget, Target: n.Target, SmoothedLatency: n.Smoothed, PreviousLatency: n.Previous, UnitTime: n.TimePerUnit,
				ErrorRate:      n.Errors,
				LatencyUpdated: scheduler.Micros(n.LatencyAt), LastAnswer: scheduler.Micros(n.AnswerAt),
				SuspectedRestart: scheduler.Micros(n.SuspectedAt),
			},
		}
		for _, p := range n.Curve {
			node.Curve = append(node.Curve, curve.Point{Throughput: p.Throughput, Latency: p.Latency, Low: p.Low})
		}
		out.Nodes = append(out.Nodes, Node{node, n.Addr})
	}
	for _, a := range f.VolumeUsages {
		out.VolumeUsages = append(out.VolumeUsages, scheduler.VolumeUsage{
			Volume: a.Volume, Plan: a.Plan, Fronts: a.FrontCount, ReservationTag: a.Reservation,
			Bucket: tokenbucket.Bucket[scheduler.Micros]{
				Level: a.Level, At: scheduler.Micros(a.At), Lease: a.Lease,
				BoundUntil: scheduler.Micros(a.Bound),
			},
		})
	}
	for _, l := range f.FlowLeads {
		out.FlowLeads = append(out.FlowLeads, scheduler.FlowLead{
			Volume: l.Volume, Plan: l.Plan, Shard: l.Shard, Units: l.Units,
			LastSend: scheduler.Micros(l.SentAt),
		})
	}
	return out
}

// encoder is deterministic, so that equal settings have equal fingerprints.
var encoder = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // fixed options
	}
	return mode
}()

// decoder accepts lists that are long enough for the largest fleets, and rejects bytes after the value.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxEntries}.DecMode()
	if err != nil {
		panic(err) // fixed options
	}
	return mode
}()
