// Package health detects silent nodes for a whole zone of fronts, so that each front need not detect them by itself.
//
// Each zone has a few probers for each node. Rendezvous hashing selects them from configuration that all fronts of the
// zone share, so the fronts need no agreement protocol. A front whose requests stall or fail at a node tells the node's
// probers; they probe the node and tell all fronts of their zone the result. A front avoids a node once a quorum of its
// zone has found the node silent. The package is a pure core: it does no I/O, reads no clock and uses no global random
// numbers. See docs/fleet-health.md.
package health

import "otterturn/scheduler"

// Config is the configuration of a Monitor. Monitor.Reconfigure replaces it.
type Config struct {
	Self        int   // number of this front, an index into Zones
	Incarnation int64 // start of this process in Unix microseconds; distinguishes its messages from those of its predecessor
	Zones       []int // zone of each front, indexed by front number
	Probers     int   // fronts of each zone that probe a node, at least 1
	Quorum      int   // distinct fronts of a zone whose probes must fail before the zone avoids a node, at least 2

	SuspectAfter     scheduler.Micros // an attempt is stalled after this time or 4 times the node's mean latency, whichever is longer
	ProbeTimeout     scheduler.Micros // a probe fails after this time; up to 4 times as long while probes are slow
	EvidenceLifetime scheduler.Micros // older evidence is ignored
	TakeoverAfter    scheduler.Micros // after this time without sufficient evidence the next Probers fronts by rank take over
	ProbesPerNode    float64          // maximum probes per second to one silent node, over all fronts of all zones
	MessageRate      float64          // maximum bytes of messages per second that this front sends
}

// Event is an input of Monitor.Step.
type Event interface{ event() }

// EndpointsChanged is a change of the endpoint list. A full list contains every node.
type EndpointsChanged struct {
	Full  bool
	Nodes []scheduler.Endpoint
}

// AttemptStarted reports that an attempt was sent to a node.
type AttemptStarted struct {
	Node    string
	ID      string // ID of the request
	Attempt int
}

// AttemptEnded reports the result of an attempt.
type AttemptEnded struct {
	Node    string
	ID      string
	Attempt int
	Result  scheduler.Result
	Alive   bool // after a reset: the node was found to be running immediately afterwards
}

// ProbeRequested reports that the scheduler requests a probe of a node. The Monitor answers it with one AnswerProbe.
type ProbeRequested struct{ Node string }

// ProbeEnded is the result of a probe that StartProbe requested.
type ProbeEnded struct{ scheduler.HealthChecked }

// MessageReceived is a message from another front.
type MessageReceived struct {
	From    int
	Message Message
}

// TimerFired reports that the time of the last SetTimer was reached.
type TimerFired struct{}

func (EndpointsChanged) event() {}
func (AttemptStarted) event()   {}
func (AttemptEnded) event()     {}
func (ProbeRequested) event()   {}
func (ProbeEnded) event()       {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}

// Action is an output of Monitor.Step. The caller performs actions in the given order.
type Action interface{ action() }

// StartProbe requests a probe of a node. The caller must deliver ProbeEnded within a bounded time.
type StartProbe struct{ Node string }

// AnswerProbe answers a ProbeRequested.
type AnswerProbe struct{ scheduler.HealthChecked }

// ReportSilent reports to the scheduler that the zone found a node silent.
type ReportSilent struct{ scheduler.NodeSilent }

// SendMessage sends a message to another front.
type SendMessage struct {
	To      int
	Message Message
}

// SetTimer requests a TimerFired event and replaces an earlier request.
type SetTimer struct{ At scheduler.Micros }

func (StartProbe) action()   {}
func (AnswerProbe) action()  {}
func (ReportSilent) action() {}
func (SendMessage) action()  {}
func (SetTimer) action()     {}

// State is the state of a node according to an observation.
type State uint8

// Values of State.
const (
	Reachable   State = iota + 1 // a probe or an attempt was answered
	Silent                       // a probe was refused or not answered in time
	Suspected                    // requests stall or fail: asks probers for evidence and does not count as evidence itself
	StillSilent                  // every node that the sender announced as Silent still is; Entry.Node is a hash of that set
)

// Entry is evidence about one node.
type Entry struct {
	Node      uint64           // NodeKey of its name, or the hash of a set of nodes for StillSilent
	StartedAt scheduler.Micros // start of the node according to the sender's endpoint list, in whole milliseconds
	State     State
	Age       scheduler.Micros // time since the observation, in whole milliseconds
}

// Message carries evidence from one front to another. The sender is identified by its network address.
type Message struct {
	Incarnation int64            // Config.Incarnation of the sender
	Sequence    uint32           // number of the message, counted per recipient within the incarnation
	Sent        scheduler.Micros // time of sending by the sender's clock
	Entries     []Entry
}

// Counters counts the operations of a Monitor since its start.
type Counters struct {
	Probes    int64          // StartProbe actions
	Sent      int64          // messages sent
	SentBytes int64          // encoded bytes of the messages sent
	Received  int64          // messages accepted
	Dropped   map[Drop]int64 // messages or entries dropped, by reason
	Shed      int64          // entries not sent because of the rate limit
	Avoided   int            // nodes that this front avoids at present
}

// Drop is the reason why a message or an entry was dropped.
type Drop string

// Values of Drop.
const (
	DropForeign     Drop = "foreign zone" // the sender is not another front of this front's zone
	DropRepeated    Drop = "repeated"     // the message was received before, or is from an earlier incarnation
	DropExpired     Drop = "late"         // the evidence is older than EvidenceLifetime, or the message was delayed for longer than that
	DropFuture      Drop = "future"       // its age is negative, or the node's start is later than the one on the endpoint list
	DropUnknown     Drop = "unknown node" // the node is not on the endpoint list
	DropOutdated    Drop = "former start" // the evidence is about an earlier start of the node
	DropSetMismatch Drop = "other set"    // the set of nodes that the sender finds still silent differs from the set it reported to this front
	DropUnreadable  Drop = "unreadable"   // the message cannot be decoded, or the entry has an invalid state
)
