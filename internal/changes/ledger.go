package changes

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Ticket identifies a change in a Ledger. Tickets ascend in the order in which changes entered.
type Ticket uint64

// State is the state of a change.
type State int

// The states of a change. A change that has ended is not in the ledger any more.
const (
	Waiting   State = iota // an earlier change that conflicts with it is waiting or running
	Running                // its command may be sent to a node
	Unsettled              // its command has ended, or an earlier process sent it, and a node may still carry it out
)

// UnsettledError refuses a change because an earlier one that conflicts with it may still be carried out.
type UnsettledError struct{ Path string }

func (e *UnsettledError) Error() string {
	return fmt.Sprintf("a node may still carry out an earlier change of %s", e.Path)
}

// ErrFull refuses a change because the group has as many unsettled changes as are kept.
var ErrFull = errors.New("too many changes may still be carried out by a node")

// Decision tells a waiting change that it may run now, or why it is refused. A refused change has left the ledger.
type Decision struct {
	Ticket  Ticket
	Refused error // nil if the change may run
}

// Entry is a change in the ledger.
type Entry struct {
	Ticket Ticket
	Change Change
	Group  string // of changes that are counted together, such as a project
	Node   string // node that may still carry out the change
	State  State
}

// Ledger holds all changes that have not ended. It is not safe for concurrent use.
type Ledger struct {
	maxUnsettled int // unsettled changes of a group
	last         Ticket
	entries      map[Ticket]*Entry
	byPath       map[string][]*Entry
	subtrees     []*Entry // changes with Subtree set
	unsettled    map[string]int
}

// NewLedger returns an empty ledger. A group with maxUnsettled unsettled changes gets no further change.
func NewLedger(maxUnsettled int) *Ledger {
	return &Ledger{
		maxUnsettled: maxUnsettled, entries: map[Ticket]*Entry{}, byPath: map[string][]*Entry{}, unsettled: map[string]int{},
	}
}

// Enter adds a change, which runs or waits, or returns an UnsettledError or ErrFull.
func (l *Ledger) Enter(c Change, group string) (Ticket, State, error) {
	if l.unsettled[group] >= l.maxUnsettled {
		return 0, Waiting, ErrFull
	}
	if blocking := l.conflicting(c, Unsettled); len(blocking) > 0 {
		return 0, Waiting, &UnsettledError{blocking[0].Change.Paths[0]}
	}
	e := l.add(c, group, Waiting)
	if !l.mustWait(e) {
		e.State = Running
	}
	return e.Ticket, e.State, nil
}

// Restore adds an unsettled change of an earlier process.
func (l *Ledger) Restore(r Record) Ticket {
	e := l.add(r.Change, r.Group, Unsettled)
	e.Node = r.Node
	l.unsettled[r.Group]++
	return e.Ticket
}

// MarkUnsettled records that a node may carry out a running change at any time from now on. It returns the decisions for the changes
// that waited for it: those that conflict are refused.
func (l *Ledger) MarkUnsettled(t Ticket, node string) []Decision {
	e := l.entries[t]
	if e == nil || e.State == Unsettled {
		return nil
	}
	e.State, e.Node = Unsettled, node
	l.unsettled[e.Group]++
	var out []Decision
	refused := l.conflicting(e.Change, Waiting)
	for _, waiting := range refused {
		l.remove(waiting)
		out = append(out, Decision{waiting.Ticket, &UnsettledError{e.Change.Paths[0]}})
	}
	for _, waiting := range refused {
		out = append(out, l.startWaiting(waiting.Change)...)
	}
	return out
}

// End removes a change that no node will carry out any more, and returns the decisions for the changes that waited for it.
func (l *Ledger) End(t Ticket) []Decision {
	e := l.entries[t]
	if e == nil {
		return nil
	}
	l.remove(e)
	return l.startWaiting(e.Change)
}

// startWaiting starts the changes that waited for one that has left the ledger, unless they wait for others too.
func (l *Ledger) startWaiting(left Change) []Decision {
	var out []Decision
	for _, waiting := range l.conflicting(left, Waiting) {
		if !l.mustWait(waiting) {
			waiting.State = Running
			out = append(out, Decision{Ticket: waiting.Ticket})
		}
	}
	return out
}

// InProgress returns the changes that conflict with c and are waiting or running.
func (l *Ledger) InProgress(c Change) []Ticket {
	var out []Ticket
	for _, e := range l.conflicting(c, Waiting, Running) {
		out = append(out, e.Ticket)
	}
	return out
}

// Unsettled returns the unsettled changes in the order in which they entered.
func (l *Ledger) Unsettled() []Entry {
	var out []Entry
	for _, e := range l.entries {
		if e.State == Unsettled {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Ticket, b.Ticket) })
	return out
}

// Len returns the number of changes that have not ended.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) add(c Change, group string, state State) *Entry {
	l.last++
	e := &Entry{Ticket: l.last, Change: c, Group: group, State: state}
	l.entries[e.Ticket] = e
	for _, path := range c.Paths {
		l.byPath[path] = append(l.byPath[path], e)
	}
	if c.Subtree {
		l.subtrees = append(l.subtrees, e)
	}
	return e
}

func (l *Ledger) remove(e *Entry) {
	delete(l.entries, e.Ticket)
	isEntry := func(other *Entry) bool { return other == e }
	for _, path := range e.Change.Paths {
		if l.byPath[path] = slices.DeleteFunc(l.byPath[path], isEntry); len(l.byPath[path]) == 0 {
			delete(l.byPath, path)
		}
	}
	if e.Change.Subtree {
		l.subtrees = slices.DeleteFunc(l.subtrees, isEntry)
	}
	if e.State != Unsettled {
		return
	}
	if l.unsettled[e.Group]--; l.unsettled[e.Group] == 0 {
		delete(l.unsettled, e.Group)
	}
}

// conflicting returns the changes in some states that conflict with c, in the order in which they entered.
func (l *Ledger) conflicting(c Change, states ...State) []*Entry {
	found := map[Ticket]*Entry{}
	collect := func(candidates []*Entry) {
		for _, e := range candidates {
			if slices.Contains(states, e.State) && e.Change.ConflictsWith(c) {
				found[e.Ticket] = e
			}
		}
	}
	for _, path := range c.Paths {
		collect(l.byPath[path])
	}
	collect(l.subtrees)
	if c.Subtree {
		for _, entries := range l.byPath {
			collect(entries)
		}
	}
	return slices.SortedFunc(maps.Values(found), func(a, b *Entry) int { return cmp.Compare(a.Ticket, b.Ticket) })
}

// mustWait reports whether an earlier change conflicts with e.
func (l *Ledger) mustWait(e *Entry) bool {
	return slices.ContainsFunc(l.conflicting(e.Change, Waiting, Running, Unsettled), func(other *Entry) bool { return other.Ticket < e.Ticket })
}
