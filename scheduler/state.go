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

// Scheduler decides for one front. It must not be used by several goroutines at once. Its state is grouped by the part
// that changes it.
type Scheduler struct {
	settings     Settings
	minObjective Micros     // shortest latency objective of the classes
	maxPriority  float64    // highest priority of the classes
	rng          *rand.Rand // seeded by the caller, the only source of randomness
	stepState
	nodeTable
	requestTable
	slowStartState
	handoverState
}

// stepState belongs to Step.
type stepState struct {
	now       Micros
	startedAt Micros   // first step; limits fill since then
	actions   []Action // of the current step
	timerSet  bool     // the last SetTimer has not fired
}

// nodeTable holds the endpoint list and what is known of each node.
type nodeTable struct {
	nodes         []*node
	nodesByName   map[string]*node
	placementPool *node                        // all nodes together, as new objects meet them
	work          worklist.List[Micros, *node] // nodes to be reviewed in a step
	slowShare     float64                      // smoothed share of answers and time-outs above the shortest objective
}

// requestTable holds the open requests, by the shard and volume for which they are queued.
type requestTable struct {
	requests    map[string]*request // by id
	rejected    expirymap.Map[Request, *request]
	keyQueues   fifo.Queues[Micros, *request] // requests of classes that keep the order of a key
	shards      map[int]*shard
	busyShards  orderedset.Set[*shard] // with something queued, in the order of their first request
	volumes     expirymap.Map[string, *volume]
	flows       expirymap.Map[flowKey, *flow]
	sweptAt     Micros // idle volumes and flows count as expired as of then
	retryBudget retrybudget.Budget[Micros]
}

// slowStartState guards nodes that have just started.
type slowStartState struct {
	slowStart  slowstart.Config[Micros]
	allocators []allocator // of nodes at which this front grants capacity
}

// node is an endpoint with all that this front knows of it.
type node struct {
	Endpoint
	NodeStats
	work worklist.Entry[Micros, *node]
	dispatchState
	latencyState
	healthState
	slowStart slowstart.Guard[Micros] // what may be sent during slow start
}

// dispatchState is what is outstanding at a node, and until when it gets nothing more.
type dispatchState struct {
	pending          []*request // attempts without an outcome, oldest first
	outstandingUnits float64
	lastSend         Micros
	backoffUntil     Micros // nothing is sent until then: the queue was full, or an outlier failed
	throttledUntil   Micros // nothing beyond the reservations is sent until then
}

// latencyState is what the two loops of SlowFast CoDel gather in their current interval.
type latencyState struct {
	fastMinLatency  float64 // lowest latency of the fast interval, 0 without an answer
	budgetExhausted bool    // the budget held a request back in the fast interval
	lowLatency      bool    // the last fast interval's minimum was within half the target
	slowServed      float64 // units answered in the slow interval
	slowLatency     float64 // sum of their latencies, in microseconds
	slowAnswers     float64 // number of answers
	slowMinLatency  float64 // lowest latency of the slow interval
}

// healthState is what attempts and health checks showed of a node's health. Times are 0 for never.
type healthState struct {
	silentSince     Micros // no answer since a failure or time-out then
	lastLoss        Micros // last attempt that timed out though later ones were answered
	checkRunning    bool
	lastCheckSent   Micros
	lastCheckResult Micros
	lastCheckOK     Micros
	nextCheck       Micros // no check before then
	brokenAt        Micros // a connection broke then, and no check has ended since
	suspectedBefore Micros // SuspectedRestart before that
}

// request is a client's request until its final answer.
type request struct {
	Request
	class          *Class
	volume         *volume
	flow           *flow  // in which it is queued, nil while it is not
	objectiveAt    Micros // an answer by then earns full worth
	deadline       Micros // the client gives up then
	attempts       []attempt
	outstanding    int      // attempts without an outcome
	mayHaveRun     *attempt // the first that may have run, nil for none
	retryUntil     Micros   // a retry after that one must begin by then
	overtaken      int      // later attempts at the same node that were answered before the outstanding one
	cancelled      bool     // the outstanding attempt was cancelled
	tokensDrawn    bool     // its units were drawn from the limit's bucket
	uncountedUnits float64  // units drawn that no node may have counted yet
	finished       bool     // its final answer was given
	newObject      bool     // its shard is this front's choice
}

// attempt is one try of a request at a node.
type attempt struct {
	node   *node
	sentAt Micros
}

// volume holds what counts over all nodes: the reservation tag and the limit's token bucket.
type volume struct {
	name           string
	planIndex      int
	plan           *Plan
	fronts         float64
	reservationTag float64 // mClock's, as a time: due once it is not after now
	bucket         tokenbucket.Bucket[Micros]
	uncountedUnits float64 // units drawn that no node may have counted yet
	openRequests   int
	idleSince      Micros // without open requests
}

// flow is what is queued of one volume for one shard.
type flow struct {
	volume     *volume
	shard      *shard
	number     int // flows of equal tags are served in the order in which they were created
	queued     []*request
	emptySince Micros
	weightTag  float64 // mClock's
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
	busyFlows        orderedset.Set[*flow] // with something queued
	virtualTime      float64               // weight tag of the last request sent
	queuedUnits      float64
	nodes            []*node // running ones that hold the shard
	activeNode       *node   // the last of them, nil for none
	withoutNodeSince Micros
}
