package scheduler

import "otterturn/scheduler/slowstart"

// NodeState is what the node list says of a node.
type NodeState int

// The kinds of NodeState.
const (
	Running NodeState = iota
	Draining
	Gone
)

// Listing is one node's entry in the node list.
type Listing struct {
	Node  string
	Zone  int
	Shard int
	State NodeState
	Since Micros // last start, 0 for long ago
}

// Event is something that a host's scheduler learns.
type Event interface{ event() }

// Nodes is news of the node list. A full list names every node there is.
type Nodes struct {
	Full bool
	List []Listing
}

// Request is a client's request; one final answer is owed for it.
type Request struct {
	ID     string
	Class  int
	Plan   int
	Volume string
	Key    string  // the data read or written
	Units  float64 // size
	Shard  int     // where the data lies, -1 for a new object
	Hosts  int     // hosts through which the volume's requests come
	Left   Micros  // time until the client gives up
}

// Result is how an attempt ended.
type Result int

// The kinds of Result. Full, Unreachable, Moot and Expired prove that the attempt never ran.
const (
	OK Result = iota
	Errored
	Full
	TimedOut
	Unreachable
	Reset
	Cancelled
	Moot
	Expired // the node found the request's time over, which says nothing of the node
)

func (r Result) String() string {
	return [...]string{"answered", "errored", "turned away", "silent", "unreachable", "broken", "taken back", "moot", "expired"}[r]
}

// Outcome ends one attempt.
type Outcome struct {
	ID        string
	Attempt   int
	Result    Result
	Latency   Micros  // since the send
	Final     bool    // nothing more is owed for the request
	Alive     bool    // after a Reset: the node was found running right behind it
	Elsewhere float64 // units that the node served the volume through other hosts since its last answer
}

// Lapsed tells that the client has gone; nothing more is owed for the request.
type Lapsed struct{ ID string }

// Room tells that MaxOpen has changed.
type Room struct{ Open int }

// Probed is the result of a Probe.
type Probed struct {
	Node  string
	OK    bool
	Queue float64 // requests waiting at the node, as far as it told; below 0 where it did not
}

// Recorded tells how the last record of what was learned ended.
type Recorded struct {
	There bool // it may be read back from now on
	Sure  bool // and no earlier one may
}

// Asked tells that another host, by its number, asks to be granted units at a cold node, or just what it saw there.
type Asked struct {
	From  int
	Node  string
	Since Micros // the node's last start, as far as that host knows
	slowstart.Wish
}

// Granted tells that units may be sent to a cold node until a time, on top of what it answers.
type Granted struct {
	From  int
	Node  string
	Units float64
	Until Micros
}

// Alarm is the timer of the last SetAlarm, now due.
type Alarm struct{}

func (Nodes) event()    {}
func (Request) event()  {}
func (Outcome) event()  {}
func (Lapsed) event()   {}
func (Room) event()     {}
func (Probed) event()   {}
func (Alarm) event()    {}
func (Recorded) event() {}
func (Asked) event()    {}
func (Granted) event()  {}
