package scheduler

import "otterturn/scheduler/slowstart"

// Event is an input of the scheduler. Recorded events are test data: the names in cbor tags are those in the recordings
// and stay when a field is renamed.
type Event interface{ event() }

// NodeState is a node's state in the endpoint list.
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
	StartedAt Micros `cbor:"Since"` // last start of its process, 0 if that was long ago
}

// EndpointsChanged is a change of the endpoint list. A full list contains all existing nodes.
type EndpointsChanged struct {
	Full      bool
	Endpoints []Endpoint `cbor:"List"`
}

// Request is a client's request. One final answer is owed for it, unless its client leaves.
type Request struct {
	ID       string
	Class    int // index into Settings.Classes
	Plan     int // index into Settings.Plans
	Volume   string
	Key      string  // identifies the data read or written
	Units    float64 // size
	Shard    int     // shard that holds the data, -1 for a new object
	Fronts   int     `cbor:"Hosts"` // number of fronts that receive the volume's requests
	TimeLeft Micros  `cbor:"Left"`  // time until the client gives up
}

// Result is the outcome of an attempt.
type Result int

// The kinds of Result. After QueueFull, Unreachable, NotStarted and Expired it is certain that the attempt never ran.
const (
	OK          Result = iota // the node served the request
	Errored                   // the node answered with an error
	QueueFull                 // the node rejected the request because its queue is full
	TimedOut                  // no answer came in time
	Unreachable               // the request could not be written completely to any connection
	Reset                     // the connection broke after the request was written
	Cancelled                 // a CancelAttempt ended it
	NotStarted                // it did not begin
	Expired                   // the node found the request's deadline passed, which reveals nothing about its health
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"answered", "errored", "turned away", "silent", "unreachable", "broken", "taken back", "moot", "expired"}[r]
}

// isAnswer reports whether the node answered the attempt.
func (r Result) isAnswer() bool { return r == OK || r == Errored }

// mayHaveRun reports whether an attempt that did not succeed may have run or may still run.
func (r Result) mayHaveRun() bool {
	return r == Errored || r == TimedOut || r == Reset || r == Cancelled
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	ID              string // of the request
	Attempt         int
	Result          Result
	Latency         Micros  // time since the attempt started
	Final           bool    // the request needs no other answer
	Alive           bool    // after a Reset: the node was found running immediately afterwards
	ServedElsewhere float64 `cbor:"Elsewhere"` // units served to the volume through other fronts since the node's last answer
}

// ClientLeft reports that a request's client has gone. The request needs no answer any more.
type ClientLeft struct{ ID string }

// OpenLimitChanged changes Settings.MaxOpen.
type OpenLimitChanged struct {
	MaxOpen int `cbor:"Open"`
}

// HealthChecked is the result of a CheckHealth.
type HealthChecked struct {
	Node  string
	OK    bool
	Queue float64 // requests waiting at the node according to its load report, below 0 without a report
}

// StateSaved is the result of the last SaveState.
type StateSaved struct {
	Readable bool `cbor:"There"` // the record may be read back from now on
	Latest   bool `cbor:"Sure"`  // no earlier record may be read back any more
}

// CapacityRequested is another front's RequestCapacity. Without units it is only a load report.
type CapacityRequested struct {
	From      int
	Node      string
	StartedAt Micros `cbor:"Since"` // the node's last start, as known to that front
	slowstart.CapacityRequest
}

// CapacityGranted is another front's GrantCapacity: units that may be sent to a node in slow start in addition to those
// that it answers.
type CapacityGranted struct {
	From       int
	Node       string
	Units      float64
	ValidUntil Micros `cbor:"Until"`
}

// NodeSilent reports that other fronts found a node silent.
type NodeSilent struct {
	Node       string
	StartedAt  Micros // the node's last start, as known to them
	ObservedAt Micros // a later answer to this front takes precedence
}

// TimerFired reports that the time of the last SetTimer has come.
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
