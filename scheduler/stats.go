package scheduler

import (
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

// NodeStats is what a node showed over time. Latencies are in microseconds, sizes in units.
type NodeStats struct {
	Budget           float64     // queuing budget of SlowFast CoDel, in units
	Target           float64     // target latency
	Curve            curve.Curve // throughput and latency of the last slow intervals
	SmoothedLatency  float64     // of a request of mean size, 0 where not known
	PreviousLatency  float64     // the last one
	UnitTime         float64     // time that a unit takes when nothing waits
	ErrorRate        float64     // share of its answers that are errors
	LatencyUpdated   Micros      // last news of its latency
	LastAnswer       Micros
	SuspectedRestart Micros // its process may have restarted then, as far as its failures show
}

// VolumeUsage is what a volume has used.
type VolumeUsage struct {
	Volume         string
	Plan           int
	Fronts         float64 // through which its requests come
	ReservationTag float64 // mClock's, as a time
	Bucket         tokenbucket.Bucket[Micros]
}

// FlowLead is how far a volume's weight tag is ahead of its shard's virtual time.
type FlowLead struct {
	Volume   string
	Plan     int
	Shard    int
	Units    float64 // for a weight of 1
	LastSend Micros
}

// LearnedNode is a node as it is listed and as it was learned.
type LearnedNode struct {
	Endpoint
	NodeStats
}

// Learned is what a scheduler knows beyond its settings and the requests that are open. It holds no reference into the
// scheduler.
type Learned struct {
	At      Micros
	Nodes   []LearnedNode
	Volumes []VolumeUsage
	Flows   []FlowLead
}

// NewNodeStats returns what is assumed of a node that nothing is known of.
func (s *Scheduler) NewNodeStats() NodeStats {
	return NodeStats{Budget: initialBudget * s.settings.MeanUnits, Target: float64(s.minObjective) / 2}
}
