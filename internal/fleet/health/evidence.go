package health

import (
	"math"
	"slices"

	"otterturn/scheduler"
)

// never is earlier than any time, and forever later.
const (
	never   scheduler.Micros = math.MinInt64 / 4
	forever scheduler.Micros = math.MaxInt64 / 4
)

// observation is the latest that one front saw of a node.
type observation struct {
	front int
	state State            // Reachable or Silent
	at    scheduler.Micros // of the answer, or when the probe that was not answered was sent
}

// evidence holds one observation of each front that told any.
type evidence []observation

// add takes in an observation. Of a front's the latest counts, so neither order nor repetition matters.
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

// of returns a front's observation, if there is one.
func (e evidence) of(front int) (observation, bool) {
	if i := e.find(front); i >= 0 {
		return e[i], true
	}
	return observation{}, false
}

// prune forgets what is not younger than a time.
func (e *evidence) prune(after scheduler.Micros) {
	*e = slices.DeleteFunc(*e, func(o observation) bool { return o.at <= after })
}

// count tells how many fronts saw a state after a time; keep may leave some out.
func (e evidence) count(state State, after scheduler.Micros, keep func(front int) bool) int {
	n := 0
	for _, o := range e {
		if o.state == state && o.at > after && (keep == nil || keep(o.front)) {
			n++
		}
	}
	return n
}

// oldest is the time of the oldest observation, and whether there is any.
func (e evidence) oldest() (at scheduler.Micros, ok bool) {
	for _, o := range e {
		if !ok || o.at < at {
			at, ok = o.at, true
		}
	}
	return at, ok
}

// verdict tells whether a node is to be avoided: at least quorum fronts saw it silent, later than this front was
// answered, and more than saw it reachable. Then at is the time since which so many did.
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
