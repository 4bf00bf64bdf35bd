// Package orderedset implements a set of values that are ordered by an integer key. It is meant for small sets, such as the
// members of a large collection that have work to do.
package orderedset

import (
	"cmp"
	"slices"
)

// Set is a set of values in ascending order of their keys, kept in a sorted slice: adding or removing a value takes O(log n)
// comparisons and moves the values after it. The zero value is an empty set.
type Set[V any] struct {
	entries []entry[V]
}

type entry[V any] struct {
	key   int
	value V
}

func (s *Set[V]) find(key int) (int, bool) {
	return slices.BinarySearchFunc(s.entries, key, func(e entry[V], key int) int { return cmp.Compare(e.key, key) })
}

// Add adds a value, unless the set already has one with that key.
func (s *Set[V]) Add(key int, value V) {
	if i, found := s.find(key); !found {
		s.entries = slices.Insert(s.entries, i, entry[V]{key, value})
	}
}

// Remove removes the value with the given key, if there is one.
func (s *Set[V]) Remove(key int) {
	if i, found := s.find(key); found {
		s.entries = slices.Delete(s.entries, i, i+1)
	}
}

// Len returns the number of values.
func (s *Set[V]) Len() int { return len(s.entries) }

// All iterates over the values in the order of their keys. The set may be changed during the iteration: no value is
// visited twice, and a value added with a larger key than that of the current one is visited.
func (s *Set[V]) All(yield func(V) bool) {
	for i := 0; i < len(s.entries); {
		e := s.entries[i]
		if !yield(e.value) {
			return
		}
		if i < len(s.entries) && s.entries[i].key == e.key {
			i++
		} else {
			i, _ = s.find(e.key + 1)
		}
	}
}
