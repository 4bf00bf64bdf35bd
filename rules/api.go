// Package rules decides when each request of a host's volumes is sent to the storage node that holds
// its data. This file is the interface: settings, events, actions and what is learned.
package rules

import (
	"fmt"
	"slices"

	"otterturn/rules/bucket"
	"otterturn/rules/cold"
	"otterturn/rules/curve"
)

// Micros is a time or a duration in microseconds. Times come from the caller's clock.
type Micros int64

// Repeat tells what a class allows after an attempt that may have run.
type Repeat int

// The kinds of Repeat.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // repeats are dropped within a group of nodes, for a while
	Unsafe               // must not run twice
)

// Group names the nodes that drop a keyed request's repeats together.
type Group int

// The kinds of Group.
const (
	AllNodes Group = iota
	SameZone
	SameShard
)

// Class describes one kind of request.
type Class struct {
	Aim     Micros  // an answer within this time earns full worth
	Repeat  Repeat  // what may be done after an attempt that may have run
	Group   Group   // for Keyed: where repeats are dropped
	Window  Micros  // for Keyed: for how long, from the first attempt that may have run
	InOrder bool    // requests with the same key run one at a time, in turn
	Worth   float64 // worth of a request
	tries   int     // attempts that a request may have, 0 for no bound
}

// Plan is the service that a volume has bought. Its figures count over all hosts and nodes.
type Plan struct {
	Reservation float64 // units a second that are reserved, 0 for none
	Weight      float64 // share of what is left beyond the reservations
	Limit       float64 // units a second at which the limit's token bucket fills, 0 for no limit
	Burst       float64 // units that the bucket holds
	Slack       float64 // units by which the bucket of all hosts may be overdrawn
}

// Settings are the figures that a Scheduler gets at its start.
type Settings struct {
	Hosts   int    // initiators in all
	Number  int    // of this one among them, from 0
	Peers   bool   // hosts may send each other messages, which may be lost
	Tick    Micros // shortest time between two steps
	Classes []Class
	Plans   []Plan

	MeanUnits float64 // mean size of a request
	MostUnits float64 // largest size of a request
	Elsewhere bool    // outcomes tell what a node served through other hosts

	MaxOpen  int  // requests open at once, past which those that earn least are refused, 0 for no bound
	MaxTries int  // attempts that a request may have, 0 for no bound
	Probing  bool // probes are allowed
	Cancel   bool // attempts may be cancelled

	LateWanted bool // what is late is worth having still: it leaves where nothing is out

	RetryAfter    bool   // clients are told when to come back
	MaxRetryAfter Micros // the longest that they heed

	ColdFrom     float64 // share of its capacity with which a node starts
	Ramp         Micros  // after this a node is warm at the latest
	FallMultiple float64 // a cold node sent this multiple of its capacity
	FallSpan     Micros  // for this time falls over
	ColdUnits    float64 // units within FallSpan, over all hosts, that a cold node always bears
	KeyRest      Micros  // rest of a key after an attempt that may still run
	RetrySpan    Micros  // window of the retry allowance, 0 for no allowance rule
	RetrySpare   float64 // further attempts within the window, however few requests came
	RetryShare   float64 // further attempts within the window for each request taken in it

	Lease     Micros // what a limit lets flow in so long may be drawn ahead of the next record, 0 for no records
	LeaseLast Micros // so long after it was made a record may be read back
}

// validate completes the settings, or tells what makes them unusable.
func (set *Settings) validate() error {
	set.Hosts = max(set.Hosts, 1)
	if !set.RetryAfter {
		set.MaxRetryAfter = 0
	}
	for _, c := range []struct {
		bad  bool
		what string
	}{
		{set.Tick <= 0, "Tick must be above 0"},
		{set.MeanUnits <= 0, "MeanUnits must be above 0"},
		{set.Ramp > 0 && (set.ColdFrom <= 0 || set.ColdFrom > 1), "ColdFrom must be above 0 and at most 1"},
		{len(set.Classes) == 0, "Classes must not be empty"},
		{len(set.Plans) == 0, "Plans must not be empty"},
		{slices.ContainsFunc(set.Classes, func(c Class) bool { return c.Aim <= 0 }), "Aim must be above 0"},
		{slices.ContainsFunc(set.Plans, func(p Plan) bool { return p.Limit > 0 && p.Burst <= 0 }),
			"a Plan with a Limit must have a Burst above 0"},
	} {
		if c.bad {
			return fmt.Errorf("settings: %s", c.what)
		}
	}
	return nil
}

// Habits are what a node showed over time. Latencies are in microseconds, sizes in units.
type Habits struct {
	Budget   float64     // queuing budget
	Target   float64     // target latency
	Curve    curve.Curve // throughput and latency of the last slow intervals
	Usual    float64     // smoothed latency of a mean request, 0 where not known
	Before   float64     // the last one
	Unit     float64     // time that a unit takes when nothing waits
	Errors   float64     // share of its answers that are errors
	Judged   Micros      // last news of its latency
	Answered Micros      // last answer
	Suspect  Micros      // may have restarted then, as far as its failures show
}

// Account is what a volume has used.
type Account struct {
	Volume  string
	Plan    int
	Hosts   float64 // hosts through which its requests come
	Reserve float64 // reservation tag, as a time
	Bucket  bucket.Bucket[Micros]
}

// Lead is how far a volume's weight tag is ahead of its shard's virtual time.
type Lead struct {
	Volume string
	Plan   int
	Shard  int
	Units  float64 // for a weight of 1
	Last   Micros  // last send
}

// Known is a node as it is listed and as it was learned.
type Known struct {
	Listing
	Habits
}

// Learned is what a scheduler knows beyond its settings and the requests that are open. It holds no reference
// into the scheduler.
type Learned struct {
	At       Micros
	Nodes    []Known
	Accounts []Account
	Leads    []Lead
}

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
	cold.Wish
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

// Action is something that the scheduler wants done, in the order given.
type Action interface{ action() }

// Send starts an attempt. Attempts of a request are numbered from 0 in the order of their sends.
type Send struct {
	ID   string
	Node string
}

// Refuse is a final answer: the client may harmlessly try again.
type Refuse struct {
	ID         string
	RetryAfter Micros // the client should stay away so long, 0 for no advice
	Why        Reason
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID  string
	Why Reason
}

// Reason is why a request is given up on, for those who look for causes.
type Reason string

// The kinds of Reason.
const (
	Unusable  Reason = "unusable"    // its class or plan is unknown
	NoRepeat  Reason = "no repeat"   // the attempt failed, and there is no time left or none may follow
	NotInTime Reason = "not in time" // what it waits for won't come before its client leaves, or leaves no time to come again
	NoRoom    Reason = "no room"     // more is open than there is room for, and it earns least
)

// Cancel ends the wait for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Probe asks a node for its health and load.
type Probe struct{ Node string }

// WriteDown asks for a record of what is learned, as a volume's lease runs low.
type WriteDown struct{}

// Ask is Asked, on its way to the host of a number.
type Ask struct {
	To    int
	Node  string
	Since Micros
	cold.Wish
}

// Grant is Granted, on its way to the host of a number.
type Grant struct {
	To    int
	Node  string
	Units float64
	Until Micros
}

// SetAlarm asks for an Alarm.
type SetAlarm struct{ At Micros }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (Probe) action()     {}
func (SetAlarm) action()  {}
func (WriteDown) action() {}
func (Ask) action()       {}
func (Grant) action()     {}
