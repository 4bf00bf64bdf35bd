package scheduler

import (
	"fmt"
	"slices"
)

// Micros is a time or a duration in microseconds. Times are those of the caller's clock.
type Micros int64

// Idempotency tells what a class allows after an attempt that may have run.
type Idempotency int

// The kinds of Idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // repetitions are dropped within a group of nodes, during a window
	NotIdempotent                      // must not run twice
)

// DedupScope is the group of nodes that drop repetitions of a request with an idempotency key together.
type DedupScope int

// The kinds of DedupScope.
const (
	AllNodes DedupScope = iota
	SameZone
	SameShard
)

// The names in the cbor tags below are those of stored fingerprints and recordings. They stay when a field is renamed.

// Class describes one kind of request.
type Class struct {
	LatencyObjective Micros      `cbor:"Aim"`    // an answer within this time has its full value
	Idempotency      Idempotency `cbor:"Repeat"` // allowed repetition after an attempt that may have run
	DedupScope       DedupScope  `cbor:"Group"`  // for IdempotentByKey: the nodes that deduplicate together
	DedupWindow      Micros      `cbor:"Window"` // for IdempotentByKey: time of deduplication, from the first attempt that may have run
	InOrder          bool        // requests with the same key run one at a time, in order of arrival
	Priority         float64     `cbor:"Worth"` // value of an answered request, relative to other classes
	maxAttempts      int         // maximum number of attempts of a request, 0 for no bound
}

// Plan is the service that a volume has bought. Its values apply to all fronts and nodes together.
type Plan struct {
	Reservation float64 // reserved units per second, 0 for none
	Weight      float64 // relative share of the capacity beyond the reservations
	Limit       float64 // units per second at which the limit's token bucket fills, 0 for no limit
	Burst       float64 // maximum level of the bucket, in units
	Slack       float64 // units by which all fronts together may overdraw the bucket
}

// Settings configure a Scheduler.
type Settings struct {
	Fronts       int    `cbor:"Hosts"`  // number of all fronts
	FrontIndex   int    `cbor:"Number"` // index of this front among them, from 0
	PeerMessages bool   `cbor:"Peers"`  // fronts may send each other messages, which may be lost
	Tick         Micros // shortest time between two steps
	Classes      []Class
	Plans        []Plan

	MeanUnits               float64 // mean size of a request
	MaxUnits                float64 `cbor:"MostUnits"` // maximum size of a request
	ServedElsewhereReported bool    `cbor:"Elsewhere"` // answers report the units that a node served through other fronts

	MaxOpen        int  // maximum number of open requests: beyond it the least valuable are rejected; 0 for no bound
	MaxAttempts    int  `cbor:"MaxTries"` // maximum number of attempts of a request, 0 for no bound
	HealthChecks   bool `cbor:"Probing"`  // health checks are allowed
	CancelAttempts bool `cbor:"Cancel"`   // attempts may be cancelled

	ServeLate bool `cbor:"LateWanted"` // late answers still have a value: late requests are sent to nodes without outstanding requests

	RetryAfter    bool   // clients are told when to retry
	MaxRetryAfter Micros // longest RetryAfter that clients respect

	InitialCapacity  float64 `cbor:"ColdFrom"`     // share of its full capacity that a node has when it starts
	SlowStart        Micros  `cbor:"Ramp"`         // time after which a started node has its full capacity at the latest
	OverloadMultiple float64 `cbor:"FallMultiple"` // a starting node fails if it is sent this multiple of its capacity for OverloadSpan
	OverloadSpan     Micros  `cbor:"FallSpan"`     // time after which such an overload makes the node fail
	SlowStartUnits   float64 `cbor:"ColdUnits"`    // units within OverloadSpan, over all fronts, that a starting node always withstands
	KeyPause         Micros  `cbor:"KeyRest"`      // pause of a key after an attempt that may still run
	RetryBudgetSpan  Micros  `cbor:"RetrySpan"`    // window of the retry budget, 0 for no budget
	RetryBudgetMin   float64 `cbor:"RetrySpare"`   // retries within the window that are always allowed
	RetryBudgetShare float64 `cbor:"RetryShare"`   // allowed retries per request that arrived in the window

	Lease          Micros // a volume may draw what its limit adds in this time before the next record, 0 for no records
	RecordLifetime Micros `cbor:"LeaseLast"` // time for which a record may be read back after it was made
}

// validate normalizes the settings and returns an error that names the first invalid field.
func (s *Settings) validate() error {
	s.Fronts = max(s.Fronts, 1)
	if !s.RetryAfter {
		s.MaxRetryAfter = 0
	}
	noObjective := slices.ContainsFunc(s.Classes, func(c Class) bool { return c.LatencyObjective <= 0 })
	noBurst := slices.ContainsFunc(s.Plans, func(p Plan) bool { return p.Limit > 0 && p.Burst <= 0 })
	for _, rule := range []struct {
		broken bool
		text   string
	}{
		{s.Tick <= 0, "Tick must be above 0"},
		{s.MeanUnits <= 0, "MeanUnits must be above 0"},
		{s.SlowStart > 0 && (s.InitialCapacity <= 0 || s.InitialCapacity > 1), "InitialCapacity must be above 0 and at most 1"},
		{len(s.Classes) == 0, "Classes must not be empty"},
		{len(s.Plans) == 0, "Plans must not be empty"},
		{noObjective, "LatencyObjective must be above 0"},
		{noBurst, "a Plan with a Limit must have a Burst above 0"},
	} {
		if rule.broken {
			return fmt.Errorf("settings: %s", rule.text)
		}
	}
	return nil
}
