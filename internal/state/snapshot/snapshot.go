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
	Front    string // name of the front that learned it
	Settings uint64 // fingerprint of the settings that were in effect
	Saved    scheduler.Micros
	Count    uint64 // number of earlier snapshots, across restarts
	Closed   bool   // the last snapshot of a graceful shutdown
	List     int64  // version of the endpoint list; 0 for a list without versions, such as an operator's file
	Nodes    []Node
	Accounts []scheduler.VolumeUsage
	Leads    []scheduler.FlowLead
}

// Node is a node of the endpoint list with its learned state and the address that it had.
type Node struct {
	scheduler.LearnedNode
	Addr string
}

// Fingerprint returns a hash of the settings that affect learned state. State that was learned under other settings may not
// be valid.
func Fingerprint(set scheduler.Settings) uint64 {
	set.MaxOpen, set.Lease, set.RecordLifetime = 0, 0, 0 // learned state does not depend on them
	text, err := encoder.Marshal(set)
	if err != nil {
		panic(err) // a plain value can always be encoded
	}
	return xxhash.Sum64(text)
}

// The types below define the file format. They are separate from the scheduler's types, so that a field renamed there does not
// change the format unnoticed. A key number must never be reused for another field.

type fileForm struct {
	Front    string        `cbor:"1,keyasint"`
	Settings uint64        `cbor:"2,keyasint"`
	Saved    int64         `cbor:"3,keyasint"`
	Count    uint64        `cbor:"4,keyasint"`
	Closed   bool          `cbor:"5,keyasint"`
	List     int64         `cbor:"6,keyasint"`
	Nodes    []nodeForm    `cbor:"7,keyasint"`
	Accounts []accountForm `cbor:"8,keyasint"`
	Leads    []leadForm    `cbor:"9,keyasint"`
}

type nodeForm struct {
	Name     string      `cbor:"1,keyasint"`
	Addr     string      `cbor:"2,keyasint"`
	Zone     int         `cbor:"3,keyasint"`
	Shard    int         `cbor:"4,keyasint"`
	State    int         `cbor:"5,keyasint"`
	Since    int64       `cbor:"6,keyasint"`
	Budget   float64     `cbor:"7,keyasint"`
	Target   float64     `cbor:"8,keyasint"`
	Curve    []pointForm `cbor:"9,keyasint"`
	Usual    float64     `cbor:"10,keyasint"`
	Before   float64     `cbor:"11,keyasint"`
	Unit     float64     `cbor:"12,keyasint"`
	Errors   float64     `cbor:"13,keyasint"`
	Judged   int64       `cbor:"14,keyasint"`
	Answered int64       `cbor:"15,keyasint"`
	Suspect  int64       `cbor:"16,keyasint"`
}

type pointForm struct {
	_          struct{} `cbor:",toarray"`
	Throughput float64
	Latency    float64
	Low        float64
}

type accountForm struct {
	Volume  string  `cbor:"1,keyasint"`
	Plan    int     `cbor:"2,keyasint"`
	Hosts   float64 `cbor:"3,keyasint"`
	Reserve float64 `cbor:"4,keyasint"`
	Level   float64 `cbor:"5,keyasint"`
	At      int64   `cbor:"6,keyasint"`
	Lease   float64 `cbor:"7,keyasint"`
	Bound   int64   `cbor:"8,keyasint"`
}

type leadForm struct {
	Volume string  `cbor:"1,keyasint"`
	Plan   int     `cbor:"2,keyasint"`
	Shard  int     `cbor:"3,keyasint"`
	Units  float64 `cbor:"4,keyasint"`
	Last   int64   `cbor:"5,keyasint"`
}

func (s Snapshot) form() fileForm {
	out := fileForm{Front: s.Front, Settings: s.Settings, Saved: int64(s.Saved), Count: s.Count, Closed: s.Closed, List: s.List}
	for _, n := range s.Nodes {
		f := nodeForm{
			Name: n.Node, Addr: n.Addr, Zone: n.Zone, Shard: n.Shard, State: int(n.State), Since: int64(n.StartedAt),
			Budget: n.Budget, Target: n.Target, Usual: n.SmoothedLatency, Before: n.PreviousLatency, Unit: n.UnitTime, Errors: n.ErrorRate,
			Judged: int64(n.LatencyUpdated), Answered: int64(n.LastAnswer), Suspect: int64(n.SuspectedRestart),
		}
		for _, p := range n.Curve {
			f.Curve = append(f.Curve, pointForm{Throughput: p.Throughput, Latency: p.Latency, Low: p.Low})
		}
		out.Nodes = append(out.Nodes, f)
	}
	for _, a := range s.Accounts {
		out.Accounts = append(out.Accounts, accountForm{
			a.Volume, a.Plan, a.Fronts, a.ReservationTag, a.Bucket.Level,
			int64(a.Bucket.At), a.Bucket.Lease, int64(a.Bucket.BoundUntil),
		})
	}
	for _, l := range s.Leads {
		out.Leads = append(out.Leads, leadForm{l.Volume, l.Plan, l.Shard, l.Units, int64(l.LastSend)})
	}
	return out
}

func (f fileForm) snapshot() Snapshot {
	out := Snapshot{Front: f.Front, Settings: f.Settings, Saved: scheduler.Micros(f.Saved), Count: f.Count, Closed: f.Closed, List: f.List}
	for _, n := range f.Nodes {
		k := scheduler.LearnedNode{
			Endpoint: scheduler.Endpoint{Node: n.Name, Zone: n.Zone, Shard: n.Shard, State: scheduler.NodeState(n.State), StartedAt: scheduler.Micros(n.Since)},
			NodeStats: scheduler.NodeStats{
				Budget: n.Budget, Target: n.Target, SmoothedLatency: n.Usual, PreviousLatency: n.Before, UnitTime: n.Unit, ErrorRate: n.Errors,
				LatencyUpdated: scheduler.Micros(n.Judged), LastAnswer: scheduler.Micros(n.Answered), SuspectedRestart: scheduler.Micros(n.Suspect),
			},
		}
		for _, p := range n.Curve {
			k.Curve = append(k.Curve, curve.Point{Throughput: p.Throughput, Latency: p.Latency, Low: p.Low})
		}
		out.Nodes = append(out.Nodes, Node{k, n.Addr})
	}
	for _, a := range f.Accounts {
		out.Accounts = append(out.Accounts, scheduler.VolumeUsage{
			Volume: a.Volume, Plan: a.Plan, Fronts: a.Hosts, ReservationTag: a.Reserve,
			Bucket: tokenbucket.Bucket[scheduler.Micros]{Level: a.Level, At: scheduler.Micros(a.At), Lease: a.Lease, BoundUntil: scheduler.Micros(a.Bound)},
		})
	}
	for _, l := range f.Leads {
		out.Leads = append(out.Leads, scheduler.FlowLead{Volume: l.Volume, Plan: l.Plan, Shard: l.Shard, Units: l.Units, LastSend: scheduler.Micros(l.Last)})
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
	mode, err := cbor.DecOptions{MaxArrayElements: mostEntries}.DecMode()
	if err != nil {
		panic(err) // fixed options
	}
	return mode
}()
