package routing

import "otterturn/scheduler"

// taken remembers the ids of requests that are over, each for a while. An id is a request's own: what comes under one
// again is no client's next try but a copy, as bad clients send, and to send that to a node is to run a request again that
// may run only once.
type taken struct {
	keep       scheduler.Micros // each id is remembered for so long, and no more than twice that
	most       int              // ids of either half; past it the older half goes early
	now, older map[string]struct{}
	turned     scheduler.Micros // when the halves changed places
}

func newTaken(keep scheduler.Micros, most int) taken {
	return taken{keep: keep, most: most, now: map[string]struct{}{}}
}

func (t *taken) add(now scheduler.Micros, id string) {
	if now > t.turned+t.keep || len(t.now) >= t.most {
		t.older, t.now, t.turned = t.now, map[string]struct{}{}, now
	}
	t.now[id] = struct{}{}
}

func (t *taken) has(id string) bool {
	_, now := t.now[id]
	_, older := t.older[id]
	return now || older
}
