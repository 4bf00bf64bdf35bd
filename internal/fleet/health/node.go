package health

import "otterturn/scheduler"

// node is what is kept of every node on the list.
type node struct {
	name         string
	key          uint64
	start        scheduler.Micros // as the list has it
	encodedStart scheduler.Micros // the same as entries carry it
	state        scheduler.NodeState
	keyCollision bool // another node has the same key: nothing is shared of either

	answered      scheduler.Micros // this front's latest success
	usualLatency  scheduler.Micros // mean latency of late
	outstanding   int              // attempts without an end
	owingSince    scheduler.Micros // since when it owes an answer, while any is out
	lastSuspected scheduler.Micros // when this front suspected it last

	due           scheduler.Micros // when it is to be looked at
	heapIndex     int              // in the queue, from 1; 0 while nothing is due
	reviewPending bool             // it is to be looked at in this step
	*investigation
}

// investigation is what is kept of a node that is suspected, told of, probed or waited for.
type investigation struct {
	ranked []int // fronts of the zone, first the probers
	rank   int   // of this front

	evidence     evidence
	avoided      bool
	avoidedUntil scheduler.Micros // when it was avoided last
	returnAt     scheduler.Micros // when a held probe is answered after a return, 0 for none

	suspecting     bool
	suspectedSince scheduler.Micros // since when the node has owed this front an answer
	lacking        bool             // sufficient evidence is missing,
	lackingSince   scheduler.Micros // since then
	round          int              // of asking for it
	takeover       bool             // this front looks for want of others

	requesters    []requester
	probedForZone bool // this front probed for the zone, whatever its rank
	probe         probe
	silentSince   scheduler.Micros // first of the unanswered probes in a row, never where the last was answered

	announced    announcement
	contradicted scheduler.Micros // when another front was first heard to reach the node since this one did not

	schedulerWaits      bool // a ProbeWanted waits for its answer,
	schedulerWaitsSince scheduler.Micros
}

// requester is a front that wants to be told what a node's probers see.
type requester struct {
	front int
	at    scheduler.Micros // it wants news younger than this
}

// probe is the probe that is out, or when the next may start.
type probe struct {
	running       bool
	sentAt        scheduler.Micros
	countedFailed bool             // it counted as failed already
	inconclusive  bool             // a failure says nothing: this front was paused, or the node has started anew
	forScheduler  bool             // sent for the scheduler: it is answered whatever comes of it
	notBefore     scheduler.Micros // when the next may start
}

// announcement is what this front told its zone last.
type announcement struct {
	state        State
	at           scheduler.Micros // the observation
	pendingSince scheduler.Micros // when it had something new to tell, never while it has not
	queued       bool
}

// investigate returns a node's trouble, made if there is none.
func (n *node) investigate() *investigation {
	if n.investigation == nil {
		n.investigation = &investigation{
			avoidedUntil: never, suspectedSince: never, silentSince: never,
			probe: probe{notBefore: never}, announced: announcement{at: never, pendingSince: never}, contradicted: never,
		}
	}
	return n.investigation
}

// running tells whether the list lets requests go to the node.
func (n *node) running() bool { return n.state == scheduler.Running && !n.keyCollision }
