package health

import "otterturn/scheduler"

// node is the state of a node on the endpoint list.
type node struct {
	name         string
	key          uint64
	start        scheduler.Micros // start of the node according to the endpoint list
	encodedStart scheduler.Micros // start in the encoding of entries
	state        scheduler.NodeState
	keyCollision bool // another node has the same key: no evidence about either is exchanged

	answeredAt      scheduler.Micros // time of the latest answer to this front
	meanLatency     scheduler.Micros // moving average of the latency, 0 before the first answer
	outstanding     int              // number of attempts without a result
	unansweredSince scheduler.Micros // time since which the node has answered nothing; valid while attempts are outstanding
	lastSuspected   scheduler.Micros // time of the last suspicion by this front

	due           scheduler.Micros // time of the next review
	heapIndex     int              // position in the queue of reviews, from 1; 0 if the node is not in it
	reviewPending bool             // a review in this step is pending
	*investigation
}

// investigation is the state of a node that is suspected or probed, has evidence, or has a waiting requester.
type investigation struct {
	ranking []int // fronts of the zone by descending rank; the first Probers fronts are the probers
	rank    int   // index of this front in the ranking; 0 is the highest rank

	evidence     evidence
	avoided      bool
	avoidedUntil scheduler.Micros // time at which this front last stopped avoiding the node
	returnAt     scheduler.Micros // time at which the scheduler's deferred probe is answered after the node returned, 0 for none

	suspected            bool
	suspectedSince       scheduler.Micros // time since which requests of this front have stalled or failed
	lackingEvidence      bool             // sufficient evidence is missing
	lackingEvidenceSince scheduler.Micros // time since which it is missing
	requestRound         int              // number of the current round of evidence requests
	takeover             bool             // this front probes because other fronts provided no evidence

	requesters    []requester
	probedForZone bool // this front has probed for the zone, as a prober or instead of one
	probe         probe
	silentSince   scheduler.Micros // time of the first of the consecutive unanswered probes, never if the last one was answered

	announced      announcement
	contradictedAt scheduler.Micros // time at which another front first reported the node reachable after this front's probe failed

	schedulerWaits      bool // a ProbeRequested has not been answered
	schedulerWaitsSince scheduler.Micros
}

// requester is a front that requested evidence about a node.
type requester struct {
	front int
	at    scheduler.Micros // it requested evidence newer than this
}

// probe is the state of the running probe, or the earliest start of the next.
type probe struct {
	running       bool
	sentAt        scheduler.Micros
	countedFailed bool             // its timeout has already been counted as a failure
	inconclusive  bool             // its failure is ignored: this front was paused, or the node's start or state on the endpoint list changed
	forScheduler  bool             // the scheduler is answered with its result, whatever it is
	notBefore     scheduler.Micros // earliest start of the next probe
}

// announcement is the last announcement of this front to its zone.
type announcement struct {
	state        State
	at           scheduler.Micros // time of the announced observation
	pendingSince scheduler.Micros // time since which a newer observation is to be announced, never if there is none
	queued       bool
}

// investigate returns the investigation of a node and starts one if there is none.
func (n *node) investigate() *investigation {
	if n.investigation == nil {
		n.investigation = &investigation{
			avoidedUntil: never, suspectedSince: never, silentSince: never,
			probe: probe{notBefore: never}, announced: announcement{at: never, pendingSince: never}, contradictedAt: never,
		}
	}
	return n.investigation
}

// running reports whether the endpoint list permits requests to the node and its key is unique.
func (n *node) running() bool { return n.state == scheduler.Running && !n.keyCollision }
