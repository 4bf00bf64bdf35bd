package orderedset

import (
	"slices"
	"testing"
)

func TestIterationWhileTheSetChanges(t *testing.T) {
	var s Set[string]
	for i, name := range []string{"c", "a", "d", "b"} {
		s.Add([]int{30, 10, 40, 20}[i], name)
	}
	s.Add(20, "duplicate key")
	var visited []string
	for name := range s.All {
		visited = append(visited, name)
		switch name {
		case "a":
			s.Remove(10)
			s.Remove(20)
			s.Add(5, "added before")
			s.Add(35, "added after")
		case "c":
			s.Remove(30)
		}
	}
	if want := []string{"a", "c", "added after", "d"}; !slices.Equal(visited, want) || s.Len() != 3 {
		t.Errorf("visited %v, want %v; %d values remain, want 3", visited, want, s.Len())
	}
}
