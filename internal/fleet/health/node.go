package health

import "otterturn/scheduler"

// node is what is kept of every node on the list.
type node struct {
	name  string
	key   uint64
	start scheduler.Micros // as the list has it
	wire  scheduler.Micros // the same as entries carry it
	state scheduler.NodeState
	alone bool // another node has the same key: nothing is shared of either

	answered scheduler.Micros // this front's latest success
	usual    scheduler.Micros // mean latency of late
	out      int              // attempts without an end
	owing    scheduler.Micros // since when it owes an answer, while any is out
	raised   scheduler.Micros // when this front suspected it last

	due     scheduler.Micros // when it is to be looked at
	place   int              // in the queue, from 1; 0 while nothing is due
	touched bool             // it is to be looked at in this step
	*trouble
}

// trouble is what is kept of a node that is suspected, told of, probed or waited for.
type trouble struct {
	ranked []int // fronts of the zone, first the probers
	rank   int   // of this front

	evidence evidence
	avoided  bool
	ended    scheduler.Micros // when it was avoided last
	returnAt scheduler.Micros // when a held probe is answered after a return, 0 for none

	suspecting bool
	suspected  scheduler.Micros // since when the node has owed this front an answer
	lacking    bool             // sufficient evidence is missing,
	lackedFrom scheduler.Micros // since then
	round      int              // of asking for it
	takeover   bool             // this front looks for want of others

	askers []asker
	duty   bool // this front probed for the zone, whatever its rank
	probe  probe
	silent scheduler.Micros // first of the unanswered probes in a row, never where the last was answered

	told         tale
	contradicted scheduler.Micros // when another front was first heard to reach the node since this one did not

	held   bool // a ProbeWanted waits for its answer,
	heldAt scheduler.Micros
}

// asker is a front that wants to be told what a node's probers see.
type asker struct {
	front int
	at    scheduler.Micros // it wants news younger than this
}

// probe is the probe that is out, or when the next may start.
type probe struct {
	out     bool
	sent    scheduler.Micros
	counted bool             // it counted as failed already
	void    bool             // a failure says nothing: this front was paused, or the node has started anew
	wanted  bool             // sent for the scheduler: it is answered whatever comes of it
	next    scheduler.Micros // when the next may start
}

// tale is what this front told its zone last.
type tale struct {
	state  State
	at     scheduler.Micros // the observation
	since  scheduler.Micros // when it had something new to tell, never while it has not
	queued bool
}

// inTrouble returns a node's trouble, made if there is none.
func (n *node) inTrouble() *trouble {
	if n.trouble == nil {
		n.trouble = &trouble{
			ended: never, suspected: never, silent: never,
			probe: probe{next: never}, told: tale{at: never, since: never}, contradicted: never,
		}
	}
	return n.trouble
}

// running tells whether the list lets requests go to the node.
func (n *node) running() bool { return n.state == scheduler.Running && !n.alone }
