package scheduler

import (
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

// NodeStats is what was learned of a node over time. Latencies are in microseconds, sizes in units.
type NodeStats struct {
	Budget           float64     // queuing budget of SlowFast CoDel, in units
	Target           float64     // target latency
	Curve            curve.Curve // throughput and latency of the last slow intervals
	SmoothedLatency  float64     // for a request of mean size, 0 if unknown
	PreviousLatency  float64     // last latency
	UnitTime         float64     // time per unit without waiting
	ErrorRate        float64     // smoothed share of answers that are errors
	LatencyUpdated   Micros      // time of the last latency measurement
	LastAnswer       Micros
	SuspectedRestart Micros // time at which its process may have restarted, judging by failures
}

// VolumeUsage is how much of its plan a volume has used.
type VolumeUsage struct {
	Volume         string
	Plan           int
	Fronts         float64 // number of fronts that receive its requests
	ReservationTag float64 // reservation tag of mClock, as a time
	Bucket         tokenbucket.Bucket[Micros]
}

// FlowLead is the lead of a volume's weight tag over its shard's virtual time.
type FlowLead struct {
	Volume   string
	Plan     int
	Shard    int
	Units    float64 // lead for a weight of 1
	LastSend Micros
}

// LearnedNode is a node's entry in the endpoint list and what was learned of it.
type LearnedNode struct {
	Endpoint
	NodeStats
}

// Learned is what a scheduler knows apart from its settings and the open requests. It shares no memory with the
// scheduler.
type Learned struct {
	At      Micros
	Nodes   []LearnedNode
	Volumes []VolumeUsage
	Flows   []FlowLead
}

// NewNodeStats returns the assumptions about an unknown node.
func (s *Scheduler) NewNodeStats() NodeStats {
	return NodeStats{Budget: initialBudget * s.settings.MeanUnits, Target: float64(s.minObjective) / 2}
}
