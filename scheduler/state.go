package scheduler

import (
	"math/rand/v2"

	"otterturn/scheduler/expirymap"
	"otterturn/scheduler/fifo"
	"otterturn/scheduler/orderedset"
	"otterturn/scheduler/retrybudget"
	"otterturn/scheduler/slowstart"
	"otterturn/scheduler/tokenbucket"
	"otterturn/scheduler/worklist"
)

// Scheduler decides for one front. It must not be used by several goroutines at once. Its state is grouped by the
// component that changes it.
type Scheduler struct {
	settings     Settings
	minObjective Micros     // shortest latency objective of the classes
	maxPriority  float64    // highest priority of the classes
	rng          *rand.Rand // the only source of randomness, seeded by the caller
	stepState
	nodeTable
	requestTable
	slowStartState
	handoverState
}

// stepState is the state of Step.
type stepState struct {
	now       Micros
	startedAt Micros   // time of the first step, since which limits fill
	actions   []Action // actions of the current step
	timerSet  bool     // the last SetTimer has not fired yet
}

// nodeTable holds the endpoint list and the state of each node.
type nodeTable struct {
	nodes         []*node
	nodesByName   map[string]*node
	placementPool *node                        // latency controller of new objects over all nodes
	work          worklist.List[Micros, *node] // nodes to review in a step
	slowShare     float64                      // smoothed share of answers and timeouts above the shortest objective
}

// requestTable holds the open requests, by shard and volume.
type requestTable struct {
	requests    map[string]*request // by id
	rejected    expirymap.Map[Request, *request]
	keyQueues   fifo.Queues[Micros, *request] // requests of classes that are processed in order per key
	shards      map[int]*shard
	busyShards  orderedset.Set[*shard] // shards with queued requests, in the order of their creation
	volumes     expirymap.Map[string, *volume]
	flows       expirymap.Map[flowKey, *flow]
	sweptAt     Micros // idle volumes and flows expire as of this time
	retryBudget retrybudget.Budget[Micros]
}

// slowStartState protects nodes that have just started from overload.
type slowStartState struct {
	slowStart  slowstart.Config[Micros]
	allocators []allocator // of nodes at which this front grants capacity
}

// node is the state of an endpoint, as known to this front.
type node struct {
	Endpoint
	NodeStats
	work worklist.Entry[Micros, *node]
	dispatchState
	latencyState
	healthState
	slowStart slowstart.Guard[Micros] // limits what is sent during slow start
}

// dispatchState holds the outstanding attempts at a node and the times until which it is sent no more.
type dispatchState struct {
	pending          []*request // requests with an outstanding attempt, oldest first
	outstandingUnits float64
	lastSend         Micros
	backoffUntil     Micros // nothing is sent before: the queue was full, or an outlier failed
	throttledUntil   Micros // nothing beyond the reservations is sent before
}

// latencyState holds what the two loops of SlowFast CoDel measure in their current interval.
type latencyState struct {
	fastMinLatency  float64 // lowest latency of the fast interval, 0 without an answer
	budgetExhausted bool    // the budget delayed a request in the fast interval
	lowLatency      bool    // the lowest latency of the last fast interval was at most half the target
	slowServedUnits float64 // units answered in the slow interval
	slowLatencySum  float64 // sum of the answers' latencies in the slow interval, in microseconds
	slowAnswers     float64 // number of answers in the slow interval
	slowMinLatency  float64 // lowest latency of the slow interval
}

// healthState holds what attempts and health checks showed of a node's health. Times are 0 for never.
type healthState struct {
	silentSince       Micros // time of the failure or timeout since which there was no answer
	lastLoss          Micros // last attempt that timed out although later ones were answered
	checkRunning      bool
	lastCheckSent     Micros
	lastCheckResult   Micros
	lastCheckOK       Micros
	nextCheck         Micros // no health check before this time
	brokenAt          Micros // time at which a connection broke, 0 once a later health check has ended
	previousSuspicion Micros // SuspectedRestart before brokenAt
}

// request is the state of a client's request until its final answer.
type request struct {
	Request
	class          *Class
	volume         *volume
	flow           *flow  // the flow in which it is queued, nil if it is not
	objectiveAt    Micros // an answer by then has its full value
	deadline       Micros // time at which the client gives up
	attempts       []attempt
	outstanding    int      // attempts without an outcome
	mayHaveRun     *attempt // the first attempt that may have run, nil for none
	retryUntil     Micros   // a retry after mayHaveRun must start by then
	overtakenBy    int      // later attempts at the same node that were answered before the outstanding one
	cancelled      bool     // the outstanding attempt was cancelled
	tokensDrawn    bool     // its units were drawn from the limit's bucket
	uncountedUnits float64  // units drawn that possibly no node has counted yet
	finished       bool     // its final answer was given
	newObject      bool     // this front chooses its shard
}

// attempt is one attempt of a request at a node.
type attempt struct {
	node   *node
	sentAt Micros
}

// volume holds what applies to all nodes: the reservation tag and the limit's token bucket.
type volume struct {
	name           string
	planIndex      int
	plan           *Plan
	fronts         float64
	reservationTag float64 // reservation tag of mClock, as a time: it is due unless it is after now
	bucket         tokenbucket.Bucket[Micros]
	uncountedUnits float64 // units drawn that possibly no node has counted yet
	openRequests   int
	idleSince      Micros // time since which it has no open requests
}

// flow is the queue of one volume for one shard.
type flow struct {
	volume     *volume
	shard      *shard
	number     int // flows with equal tags are served in the order in which they were created
	queued     []*request
	emptySince Micros
	weightTag  float64 // weight tag of mClock
	lastSentAt Micros
}

type flowKey struct {
	*shard
	*volume
}

// shard is a part of the data with the nodes that hold it.
type shard struct {
	id, number       int
	flowsCreated     int
	busyFlows        orderedset.Set[*flow] // flows with queued requests
	virtualTime      float64               // weight tag of the last request sent
	queuedUnits      float64
	nodes            []*node // running nodes that hold the shard
	activeNode       *node   // the last of nodes, nil for none
	withoutNodeSince Micros
}
