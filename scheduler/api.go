// Package rules decides when each request of a host's volumes is sent to the storage node that holds
// its data. This file has its settings; events, actions and what is learned stand beside it.
package scheduler

import (
	"fmt"
	"slices"
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
	Window  Micros  // for Keyed: for how long, from the first attempt that may have run; see repeats
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
