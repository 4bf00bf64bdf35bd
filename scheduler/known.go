package scheduler

import (
	"otterturn/scheduler/curve"
	"otterturn/scheduler/tokenbucket"
)

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
	Bucket  tokenbucket.Bucket[Micros]
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
