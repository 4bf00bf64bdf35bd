package scheduler

import (
	"fmt"
	"slices"
)

// Micros is a time or a duration in microseconds. Times come from the caller's clock.
type Micros int64

// Idempotency tells what a class allows after an attempt that may have run.
type Idempotency int

// The kinds of Idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // repetitions are dropped within a group of nodes, for a while
	NotIdempotent                      // must not run twice
)

// DedupScope names the nodes that drop the repetitions of a request with an idempotency key together.
type DedupScope int

// The kinds of DedupScope.
const (
	AllNodes DedupScope = iota
	SameZone
	SameShard
)

// The names in the cbor tags below are those of stored fingerprints and recordings: they stay when a field is renamed.

// Class describes one kind of request.
type Class struct {
	LatencyObjective Micros      `cbor:"Aim"`    // an answer within this time earns full worth
	Idempotency      Idempotency `cbor:"Repeat"` // what may be done after an attempt that may have run
	DedupScope       DedupScope  `cbor:"Group"`  // for IdempotentByKey: where repetitions are dropped
	DedupWindow      Micros      `cbor:"Window"` // for IdempotentByKey: for how long, from the first attempt that may have run
	InOrder          bool        // requests with the same key run one at a time, in turn
	Priority         float64     `cbor:"Worth"` // weight of a request
	maxAttempts      int         // that a request may have, 0 for no bound
}

// Plan is the service that a volume has bought. Its figures count over all fronts and nodes.
type Plan struct {
	Reservation float64 // units a second that are reserved, 0 for none
	Weight      float64 // share of what is left beyond the reservations
	Limit       float64 // units a second at which the limit's token bucket fills, 0 for no limit
	Burst       float64 // units that the bucket holds
	Slack       float64 // units by which the bucket of all fronts may be overdrawn
}

// Settings are the figures that a Scheduler gets at its start.
type Settings struct {
	Fronts       int    `cbor:"Hosts"`  // in all
	FrontIndex   int    `cbor:"Number"` // of this one among them, from 0
	PeerMessages bool   `cbor:"Peers"`  // fronts may send each other messages, which may be lost
	Tick         Micros // shortest time between two steps
	Classes      []Class
	Plans        []Plan

	MeanUnits           float64 // mean size of a request
	MaxUnits            float64 `cbor:"MostUnits"` // largest size of a request
	ServedElsewhereTold bool    `cbor:"Elsewhere"` // answers tell what a node served through other fronts

	MaxOpen        int  // requests open at once, past which those that earn least are rejected, 0 for no bound
	MaxAttempts    int  `cbor:"MaxTries"` // that a request may have, 0 for no bound
	HealthChecks   bool `cbor:"Probing"`  // health checks are allowed
	CancelAttempts bool `cbor:"Cancel"`   // attempts may be cancelled

	ServeLate bool `cbor:"LateWanted"` // late answers are worth having still: such requests leave where nothing is outstanding

	RetryAfter    bool   // clients are told when to come back
	MaxRetryAfter Micros // the longest that they heed

	InitialCapacity  float64 `cbor:"ColdFrom"`     // share of its capacity with which a node starts
	SlowStart        Micros  `cbor:"Ramp"`         // after this a node has its full capacity at the latest
	OverloadMultiple float64 `cbor:"FallMultiple"` // a starting node that is sent this multiple of its capacity
	OverloadSpan     Micros  `cbor:"FallSpan"`     // for this time fails
	SlowStartUnits   float64 `cbor:"ColdUnits"`    // units within OverloadSpan, over all fronts, that a starting node always bears
	KeyPause         Micros  `cbor:"KeyRest"`      // of a key after an attempt that may still run
	RetryBudgetSpan  Micros  `cbor:"RetrySpan"`    // window of the retry budget, 0 for no budget
	RetryBudgetMin   float64 `cbor:"RetrySpare"`   // retries within the window, however few requests came
	RetryBudgetShare float64 `cbor:"RetryShare"`   // retries within the window for each request that came in it

	Lease          Micros // what a limit lets flow in so long may be drawn ahead of the next record, 0 for no records
	RecordLifetime Micros `cbor:"LeaseLast"` // so long after it was made a record may be read back
}

// validate completes the settings. The error names the field that makes them unusable.
func (set *Settings) validate() error {
	set.Fronts = max(set.Fronts, 1)
	if !set.RetryAfter {
		set.MaxRetryAfter = 0
	}
	noObjective := slices.ContainsFunc(set.Classes, func(c Class) bool { return c.LatencyObjective <= 0 })
	noBurst := slices.ContainsFunc(set.Plans, func(p Plan) bool { return p.Limit > 0 && p.Burst <= 0 })
	for _, rule := range []struct {
		broken bool
		text   string
	}{
		{set.Tick <= 0, "Tick must be above 0"},
		{set.MeanUnits <= 0, "MeanUnits must be above 0"},
		{set.SlowStart > 0 && (set.InitialCapacity <= 0 || set.InitialCapacity > 1), "InitialCapacity must be above 0 and at most 1"},
		{len(set.Classes) == 0, "Classes must not be empty"},
		{len(set.Plans) == 0, "Plans must not be empty"},
		{noObjective, "LatencyObjective must be above 0"},
		{noBurst, "a Plan with a Limit must have a Burst above 0"},
	} {
		if rule.broken {
			return fmt.Errorf("settings: %s", rule.text)
		}
	}
	return nil
}
