// Package expirymap implements a map whose entries expire by a condition that the caller supplies. An incremental sweep
// removes a few expired entries per call, so that no call takes long and the size of the map stays in proportion to the
// number of live entries. It reads no clock.
package expirymap

// Map maps keys to values that may expire. It is created with New.
type Map[K comparable, V any] struct {
	byKey   map[K]*entry[K, V]
	entries []*entry[K, V]
	next    int // index at which the next sweep continues
}

type entry[K comparable, V any] struct {
	key   K
	value V
	index int
}

// New returns an empty map.
func New[K comparable, V any]() Map[K, V] { return Map[K, V]{byKey: map[K]*entry[K, V]{}} }

// Len returns the number of entries, including expired ones that have not been removed yet.
func (m *Map[K, V]) Len() int { return len(m.entries) }

// At returns the value at an index from 0 to Len()-1. Indices change when an entry is removed.
func (m *Map[K, V]) At(index int) V { return m.entries[index].value }

// GetOrCreate returns the value of a key. If there is none, or it has expired, it stores and returns the result of create.
func (m *Map[K, V]) GetOrCreate(key K, expired func(V) bool, create func() V) V {
	e := m.byKey[key]
	if e != nil && expired(e.value) {
		m.remove(e)
		e = nil
	}
	if e == nil {
		m.Put(key, create())
		e = m.byKey[key]
	}
	return e.value
}

// Get returns the value of a key, expired or not, and whether there is one.
func (m *Map[K, V]) Get(key K) (value V, found bool) {
	if e := m.byKey[key]; e != nil {
		return e.value, true
	}
	return value, false
}

// Put sets the value of a key.
func (m *Map[K, V]) Put(key K, value V) {
	if e := m.byKey[key]; e != nil {
		e.value = value
		return
	}
	e := &entry[K, V]{key, value, len(m.entries)}
	m.byKey[key], m.entries = e, append(m.entries, e)
}

// Sweep checks up to limit entries, beginning where the last call ended, and removes those that have expired.
func (m *Map[K, V]) Sweep(limit int, expired func(V) bool) {
	for range min(limit, len(m.entries)) {
		if m.next >= len(m.entries) {
			m.next = 0
		}
		if len(m.entries) > 0 && expired(m.entries[m.next].value) {
			m.remove(m.entries[m.next]) // moves the last entry to this index, so it is checked next
		} else {
			m.next++
		}
	}
}

func (m *Map[K, V]) remove(e *entry[K, V]) {
	last := len(m.entries) - 1
	m.entries[e.index], m.entries[last].index = m.entries[last], e.index
	m.entries[last] = nil
	m.entries = m.entries[:last]
	delete(m.byKey, e.key)
}
