package routing

import "otterturn/scheduler"

// idHistory remembers the ids of finished requests for a limited time. Each request has an id of its own, so a second request
// with the same id is not a client's retry but a copy, as faulty clients send it. Sending the copy to a node would run a request
// again that may have to run only once.
type idHistory struct {
	retention     scheduler.Micros // each id is remembered for at least this long and at most about twice as long
	maxRecent     int              // maximum size of recent and of older; when recent is full, older is dropped early
	recent, older map[string]struct{}
	rotatedAt     scheduler.Micros // when recent became older
}

func newIDHistory(keepFor scheduler.Micros, maxIDs int) idHistory {
	return idHistory{retention: keepFor, maxRecent: maxIDs, recent: map[string]struct{}{}}
}

func (t *idHistory) add(now scheduler.Micros, id string) {
	if now > t.rotatedAt+t.retention || len(t.recent) >= t.maxRecent {
		t.older, t.recent, t.rotatedAt = t.recent, map[string]struct{}{}, now
	}
	t.recent[id] = struct{}{}
}

func (t *idHistory) contains(id string) bool {
	_, inRecent := t.recent[id]
	_, older := t.older[id]
	return inRecent || older
}
