// Package health finds out once for a zone of fronts which nodes are silent, in the place of each front for itself.
//
// For each node a few fronts of every zone, its probers, are chosen by rendezvous hashing from what all fronts of the
// zone know, so no agreement is needed. A front whose requests stall or fail at a node tells the node's probers; they
// probe it and tell all fronts of their zone what they saw. A front avoids a node once a quorum of its zone found it
// silent. The package is a pure core: it does no I/O, reads no clock and draws no global random numbers. See
// docs/fleet-health.md.
package health

import "otterturn/scheduler"

// Config is what a Monitor gets at its start, and anew by Monitor.Reconfigure.
type Config struct {
	Self        int   // number of this front
	Incarnation int64 // start of this process, Unix microseconds: tells its messages from those of its former self
	Zones       []int // zone of each front, by the front's number
	Probers     int   // fronts of each zone that probe a node, 1 at least
	Quorum      int   // distinct fronts of a zone whose probes must have failed before the zone avoids a node, 2 at least

	SuspectAfter     scheduler.Micros // an attempt that is out for so long, and for 4 times the node's usual latency, is stalled
	ProbeTimeout     scheduler.Micros // a probe without an answer for so long, and for 4 times the usual, counts as failed
	EvidenceLifetime scheduler.Micros // evidence older than this counts for nothing
	TakeoverAfter    scheduler.Micros // the next Probers fronts in rank take over after so long without sufficient evidence
	ProbesPerNode    float64          // probes a second that all fronts of all zones send one silent node at most
	MessageRate      float64          // bytes of messages a second that this front sends at most
}

// Event is something that a Monitor learns.
type Event interface{ event() }

// EndpointsChanged is news of the node list. A full list names every node there is.
type EndpointsChanged struct {
	Full  bool
	Nodes []scheduler.Endpoint
}

// AttemptStarted tells that an attempt was sent to a node.
type AttemptStarted struct {
	Node    string
	ID      string // of the request
	Attempt int
}

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	Node    string
	ID      string
	Attempt int
	Result  scheduler.Result
	Alive   bool // after a reset: the node was found running right behind it
}

// ProbeRequested tells that the scheduler wants a node probed. One ProbeAnswered is owed for it.
type ProbeRequested struct{ Node string }

// ProbeEnded is the result of a StartProbe.
type ProbeEnded struct{ scheduler.HealthChecked }

// MessageReceived is a message of another front.
type MessageReceived struct {
	From    int
	Message Message
}

// TimerFired tells that the time of the last SetAlarm has come.
type TimerFired struct{}

func (EndpointsChanged) event() {}
func (AttemptStarted) event()   {}
func (AttemptEnded) event()     {}
func (ProbeRequested) event()   {}
func (ProbeEnded) event()       {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}

// Action is something that a Monitor wants done, in the order given.
type Action interface{ action() }

// StartProbe asks for a probe of a node; ProbeEnded is to follow within a bounded time.
type StartProbe struct{ Node string }

// AnswerProbe answers a ProbeWanted.
type AnswerProbe struct{ scheduler.HealthChecked }

// ReportSilent tells the scheduler that the zone found a node silent.
type ReportSilent struct{ scheduler.NodeSilent }

// SendMessage is a message to another front.
type SendMessage struct {
	To      int
	Message Message
}

// SetTimer asks for an Alarm; it takes the place of an earlier one.
type SetTimer struct{ At scheduler.Micros }

func (StartProbe) action()   {}
func (AnswerProbe) action()  {}
func (ReportSilent) action() {}
func (SendMessage) action()  {}
func (SetTimer) action()     {}

// State is what evidence says of a node.
type State uint8

// The kinds of State.
const (
	Reachable   State = iota + 1 // a probe was answered
	Silent                       // a probe was not answered in time, or the node refused it
	Suspected                    // requests stall or fail; it asks probers to look and condemns nothing
	StillSilent                  // all that the sender told as Silent still is; Node is what tells the set of these nodes
)

// Entry is evidence on one node.
type Entry struct {
	Node  uint64           // NodeKey of its name
	Since scheduler.Micros // the node's start as the sender's list has it, in whole milliseconds
	State State
	Age   scheduler.Micros // time since it was observed, in whole milliseconds
}

// Message is what one front tells another. Its sender is known by its address.
type Message struct {
	Incarnation int64            // Config.Run of the sender
	Sequence    uint32           // counts the sender's messages of this run
	Sent        scheduler.Micros // the sender's clock
	Entries     []Entry
}

// Counters count what a Monitor did since its start.
type Counters struct {
	Probes    int64          // StartProbe actions
	Sent      int64          // messages
	SentBytes int64          // of these, encoded
	Received  int64          // messages that were taken in
	Dropped   map[Drop]int64 // messages or entries that were not, by reason
	Shed      int64          // entries that were not sent for want of bytes
	Avoided   int            // nodes that this front avoids now
}

// Drop is why a message or an entry was dropped.
type Drop string

// The kinds of Drop.
const (
	DropForeign     Drop = "foreign zone" // the sender is not of this front's zone
	DropRepeated    Drop = "repeated"     // the message came before, or is of a former run
	DropExpired     Drop = "late"         // it was under way for longer than evidence lives
	DropFuture      Drop = "future"       // its age is negative or its incarnation ahead of the list's
	DropUnknown     Drop = "unknown node" // the node is not on the list
	DropOutdated    Drop = "former start" // the evidence is of an earlier start of the node
	DropSetMismatch Drop = "other set"    // what the sender still finds silent is not what this front heard of it
	DropUnreadable  Drop = "unreadable"   // it can't be decoded
)
