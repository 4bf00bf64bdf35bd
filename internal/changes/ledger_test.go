package changes

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

func write(path string, from, to uint64) Change {
	return Change{Paths: []string{path}, Content: true, From: from, To: to}
}

func whole(path string) Change { return Change{Paths: []string{path}} }

func rename(from, to string) Change { return Change{Paths: []string{from, to}, Subtree: true} }

// Guards against changes that are kept apart on one path only: a rename moves whatever is below both of its names.
func TestConflicts(t *testing.T) {
	for _, c := range []struct {
		name string
		a, b Change
		want bool
	}{
		{"overlapping writes", write("/a/f", 0, 10), write("/a/f", 9, 12), true},
		{"disjoint writes", write("/a/f", 0, 10), write("/a/f", 10, 12), false},
		{"write and truncation", write("/a/f", 0, 10), whole("/a/f"), true},
		{"other files", whole("/a/f"), whole("/a/g"), false},
		{"file and its folder", whole("/a"), write("/a/f", 0, 1), false},
		{"rename of a folder", rename("/a", "/b"), write("/a/d/f", 0, 1), true},
		{"rename to a folder", rename("/a", "/b"), whole("/b/f"), true},
		{"rename beside", rename("/a", "/b"), whole("/ab/f"), false},
		{"renames into each other", rename("/a/x", "/b"), rename("/c", "/a"), true},
		{"everything", Change{Paths: []string{"/"}, Subtree: true}, whole("/a"), true},
	} {
		if c.a.ConflictsWith(c.b) != c.want || c.b.ConflictsWith(c.a) != c.want {
			t.Errorf("%s: conflict %v and %v, want %v", c.name, c.a.ConflictsWith(c.b), c.b.ConflictsWith(c.a), c.want)
		}
	}
}

// Guards against a group that fills the ledger for all others, and against unsettled changes without a bound.
func TestUnsettledChangesAreBoundedByGroup(t *testing.T) {
	l := NewLedger(1)
	first, _, _ := l.Enter(whole("/a/f"), "a")
	l.MarkUnsettled(first, "node-a")
	if _, _, err := l.Enter(whole("/a/g"), "a"); !errors.Is(err, ErrFull) {
		t.Errorf("a change of a full group: %v", err)
	}
	if _, state, err := l.Enter(whole("/b/f"), "b"); err != nil || state != Running {
		t.Errorf("a change of another group: %v, %v", state, err)
	}
	l.End(first)
	if _, state, err := l.Enter(whole("/a/f"), "a"); err != nil || state != Running {
		t.Errorf("after the change has ended: %v, %v", state, err)
	}
}

func randomChange(r *rand.Rand) Change {
	paths := []string{"/a", "/a/f", "/a/d", "/a/d/f", "/b", "/b/f"}
	path := paths[r.IntN(len(paths))]
	switch r.IntN(6) {
	case 0:
		return whole(path)
	case 1:
		return rename(path, paths[r.IntN(len(paths))])
	}
	from := uint64(r.IntN(4))
	return write(path, from, from+1+uint64(r.IntN(3)))
}

// Guards against two conflicting changes at a node at once, against one that starts while an unsettled one conflicts with it, and
// against one that waits forever: random changes enter, become unsettled and end.
func TestRandomChangesNeverConflict(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		l, active := NewLedger(1000), map[Ticket]Change{} // running or unsettled
		waiting := map[Ticket]Change{}
		start := func(ticket Ticket, c Change) {
			for other, running := range active {
				if running.ConflictsWith(c) {
					t.Fatalf("seed %d: %+v starts beside %d, %+v", seed, c, other, running)
				}
			}
			active[ticket] = c
		}
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				c := waiting[d.Ticket]
				delete(waiting, d.Ticket)
				if d.Refused == nil {
					start(d.Ticket, c)
				}
			}
		}
		step := func() {
			for _, ticket := range slices.Sorted(maps.Keys(active)) {
				if r.IntN(2) == 0 {
					continue
				}
				if l.entries[ticket].State == Running && r.IntN(3) == 0 {
					apply(l.MarkUnsettled(ticket, "node"))
					return
				}
				delete(active, ticket)
				apply(l.End(ticket))
				return
			}
		}
		for range 200 {
			if r.IntN(2) == 0 {
				step()
				continue
			}
			c := randomChange(r)
			switch ticket, state, err := l.Enter(c, ""); {
			case err == nil && state == Running:
				start(ticket, c)
			case err == nil:
				waiting[ticket] = c
			}
		}
		for range 2000 {
			step()
		}
		if l.Len() > 0 || len(waiting) > 0 || len(l.byPath)+len(l.subtrees)+len(l.unsettled) > 0 {
			t.Fatalf("seed %d: %d changes left, %d of them wait", seed, l.Len(), len(waiting))
		}
	}
}
