package health

import (
	"math"
	"slices"

	"otterturn/scheduler"
)

// never is earlier than any time, and forever is later than any time.
const (
	never   scheduler.Micros = math.MinInt64 / 4
	forever scheduler.Micros = math.MaxInt64 / 4
)

// observation is the latest result that one front has observed at a node.
type observation struct {
	front int
	state State            // Reachable or Silent
	at    scheduler.Micros // time of the answer, or the time at which the unanswered probe was sent
}

// evidence holds the observations of one node, at most one per front.
type evidence []observation

// add adds an observation. Only the latest of each front is kept, so order and duplicates do not matter.
func (e *evidence) add(o observation) {
	i := e.find(o.front)
	switch {
	case i < 0:
		*e = append(*e, o)
	case o.at > (*e)[i].at:
		(*e)[i] = o
	}
}

func (e evidence) find(front int) int {
	return slices.IndexFunc(e, func(o observation) bool { return o.front == front })
}

// observationOf returns the observation of a front, if there is one.
func (e evidence) observationOf(front int) (observation, bool) {
	if i := e.find(front); i >= 0 {
		return e[i], true
	}
	return observation{}, false
}

// prune removes observations made at or before the given time.
func (e *evidence) prune(after scheduler.Micros) {
	*e = slices.DeleteFunc(*e, func(o observation) bool { return o.at <= after })
}

// count returns the number of fronts that observed a state after the given time. If keep is not nil, only fronts for
// which it returns true count.
func (e evidence) count(state State, after scheduler.Micros, include func(front int) bool) int {
	n := 0
	for _, o := range e {
		if o.state == state && o.at > after && (include == nil || include(o.front)) {
			n++
		}
	}
	return n
}

// oldest returns the time of the oldest observation; ok is false if there is none.
func (e evidence) oldest() (at scheduler.Micros, ok bool) {
	for _, o := range e {
		if !ok || o.at < at {
			at, ok = o.at, true
		}
	}
	return at, ok
}

// verdict reports whether to avoid a node: at least quorum fronts found it silent after its last answer to this front, and
// more fronts than found it reachable. Then at is the time of the oldest of the quorum latest silent observations.
func (e evidence) verdict(quorum int, answered scheduler.Micros) (avoid bool, at scheduler.Micros) {
	var silent []scheduler.Micros
	reachable := 0
	for _, o := range e {
		switch {
		case o.state == Reachable:
			reachable++
		case o.at > answered:
			silent = append(silent, o.at)
		}
	}
	if len(silent) < quorum || len(silent) <= reachable {
		return false, 0
	}
	slices.Sort(silent)
	return true, silent[len(silent)-quorum]
}
