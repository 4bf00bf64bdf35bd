// Package fifo implements first-in-first-out queues by key. Only the head of a queue may start, and a key can be paused
// until a given time. It reads no clock.
package fifo

import (
	"maps"
	"slices"
)

// Queues holds the queues of all keys. T is a time, M a member of a queue. It is created with New.
type Queues[T ~int64, M comparable] struct{ byKey map[string]*queue[T, M] }

type queue[T ~int64, M comparable] struct {
	members     []M
	pausedUntil T
}

// New returns an empty set of queues.
func New[T ~int64, M comparable]() Queues[T, M] { return Queues[T, M]{map[string]*queue[T, M]{}} }

// Push adds a member at the end of a key's queue.
func (q Queues[T, M]) Push(key string, m M) {
	if q.byKey[key] == nil {
		q.byKey[key] = &queue[T, M]{}
	}
	q.byKey[key].members = append(q.byKey[key].members, m)
}

// PauseUntil pauses a key, if it has a queue: a member that has not started may start only after that time.
func (q Queues[T, M]) PauseUntil(key string, until T) {
	if k := q.byKey[key]; k != nil {
		k.pausedUntil = until
	}
}

// MayStart reports whether a member may start: it is the head of its key's queue, and the key is not paused or the member
// has already started. Any member may start if the key has no queue.
func (q Queues[T, M]) MayStart(key string, m M, now T, started bool) bool {
	k := q.byKey[key]
	return k == nil || k.members[0] == m && (now > k.pausedUntil || started)
}

// Remove removes a member from its key's queue. If there are more keys than limit, the keys with an empty queue and no
// pause are removed too.
func (q Queues[T, M]) Remove(key string, m M, now T, limit int) {
	if k := q.byKey[key]; k != nil {
		k.members = slices.DeleteFunc(k.members, func(other M) bool { return other == m })
	}
	if len(q.byKey) > limit {
		maps.DeleteFunc(q.byKey, func(_ string, k *queue[T, M]) bool { return len(k.members) == 0 && k.pausedUntil < now })
	}
}
