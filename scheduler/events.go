package scheduler

import "otterturn/scheduler/slowstart"

// Event is something that the scheduler learns. Recorded events are test data: the names in cbor tags are those under which
// fields were recorded, and stay when a field is renamed.
type Event interface{ event() }

// NodeState is what the endpoint list says of a node.
type NodeState int

// The kinds of NodeState.
const (
	Running NodeState = iota
	Draining
	Removed
)

// Endpoint is a node's entry in the endpoint list.
type Endpoint struct {
	Node      string
	Zone      int
	Shard     int
	State     NodeState
	StartedAt Micros `cbor:"Since"` // last start of its process, 0 for long ago
}

// EndpointsChanged is news of the endpoint list. A full list names every node there is.
type EndpointsChanged struct {
	Full      bool
	Endpoints []Endpoint `cbor:"List"`
}

// Request is a client's request; one final answer is owed for it.
type Request struct {
	ID       string
	Class    int // index into Settings.Classes
	Plan     int // index into Settings.Plans
	Volume   string
	Key      string  // the data read or written
	Units    float64 // size
	Shard    int     // where the data lies, -1 for a new object
	Fronts   int     `cbor:"Hosts"` // through which the volume's requests come
	TimeLeft Micros  `cbor:"Left"`  // until the client gives up
}

// Result is how an attempt ended.
type Result int

// The kinds of Result. QueueFull, Unreachable, NotStarted and Expired prove that the attempt never ran.
const (
	OK Result = iota
	Errored
	QueueFull
	TimedOut
	Unreachable
	Reset
	Cancelled
	NotStarted
	Expired // the node found the request's deadline over, which tells nothing of the node
)

// String is the result's name in logs.
func (r Result) String() string {
	return [...]string{"answered", "errored", "turned away", "silent", "unreachable", "broken", "taken back", "moot", "expired"}[r]
}

// isAnswer reports whether the node answered the attempt.
func (r Result) isAnswer() bool { return r == OK || r == Errored }

// mayHaveRun reports whether an attempt that did not succeed may have run, or may run yet.
func (r Result) mayHaveRun() bool {
	return r == Errored || r == TimedOut || r == Reset || r == Cancelled
}

// AttemptEnded ends one attempt.
type AttemptEnded struct {
	ID              string // of the request
	Attempt         int
	Result          Result
	Latency         Micros  // since the attempt started
	Final           bool    // nothing more is owed for the request
	Alive           bool    // after a Reset: the node was found running right behind it
	ServedElsewhere float64 `cbor:"Elsewhere"` // units that the node served the volume through other fronts since its last answer
}

// ClientLeft tells that a request's client has gone; nothing more is owed for it.
type ClientLeft struct{ ID string }

// OpenLimitChanged changes Settings.MaxOpen.
type OpenLimitChanged struct {
	MaxOpen int `cbor:"Open"`
}

// HealthChecked is the result of a CheckHealth.
type HealthChecked struct {
	Node  string
	OK    bool
	Queue float64 // requests waiting at the node by its load report, below 0 where it told none
}

// StateSaved is the result of the last SaveState.
type StateSaved struct {
	Readable bool `cbor:"There"` // the record may be read back from now on
	Latest   bool `cbor:"Sure"`  // and no earlier one may
}

// CapacityRequested is another front's RequestCapacity, or its load report alone.
type CapacityRequested struct {
	From      int
	Node      string
	StartedAt Micros `cbor:"Since"` // the node's last start, as far as that front knows
	slowstart.CapacityRequest
}

// CapacityGranted is another front's GrantCapacity: units that may be sent to a node in slow start, on top of what it
// answers.
type CapacityGranted struct {
	From       int
	Node       string
	Units      float64
	ValidUntil Micros `cbor:"Until"`
}

// NodeSilent tells that other fronts found a node silent, as of a start and a time.
type NodeSilent struct {
	Node       string
	StartedAt  Micros // the node's last start, as far as they know
	ObservedAt Micros // an answer that this front had later counts for more
}

// TimerFired tells that the time of the last SetTimer has come.
type TimerFired struct{}

func (EndpointsChanged) event()  {}
func (Request) event()           {}
func (AttemptEnded) event()      {}
func (ClientLeft) event()        {}
func (OpenLimitChanged) event()  {}
func (HealthChecked) event()     {}
func (TimerFired) event()        {}
func (StateSaved) event()        {}
func (CapacityRequested) event() {}
func (CapacityGranted) event()   {}
func (NodeSilent) event()        {}
