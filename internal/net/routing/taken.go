package routing

import "otterturn/scheduler"

// idHistory remembers the ids of requests that are over, each for a while. An id is a request's own: what comes under one
// again is no client's next try but a copy, as bad clients send, and to send that to a node is to run a request again that
// may run only once.
type idHistory struct {
	retention     scheduler.Micros // each id is remembered for so long, and no more than twice that
	maxRecent     int              // ids of either half; past it the older half goes early
	recent, older map[string]struct{}
	rotatedAt     scheduler.Micros // when the halves changed places
}

func newIDHistory(keep scheduler.Micros, most int) idHistory {
	return idHistory{retention: keep, maxRecent: most, recent: map[string]struct{}{}}
}

func (t *idHistory) add(now scheduler.Micros, id string) {
	if now > t.rotatedAt+t.retention || len(t.recent) >= t.maxRecent {
		t.older, t.recent, t.rotatedAt = t.recent, map[string]struct{}{}, now
	}
	t.recent[id] = struct{}{}
}

func (t *idHistory) has(id string) bool {
	_, now := t.recent[id]
	_, older := t.older[id]
	return now || older
}
