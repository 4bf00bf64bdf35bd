package sftp

import (
	"fmt"
	"strings"
	"sync"

	"otterturn/internal/net/protocol/sftp/packet"
)

// operation is a command of a client, with the times in steps of the history's clock.
type operation struct {
	kind             packet.Kind
	path, target     string
	mark             string // tells the operation's effect apart, "" for a kind that carries no value
	from, to         int    // bytes that a write changes
	issued, answered int64  // answered is the time at which the client left, if it did
	ok, left         bool
}

// effect is a change that the node carried out.
type effect struct {
	packet.Request
	at int64
}

// history records what clients and the node did. It shares no code with the order of changes.
type history struct {
	mu         sync.Mutex
	clock      int64
	operations []*operation
	effects    []effect
}

func (h *history) tick() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	return h.clock
}

func (h *history) begin(o *operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	o.issued = h.clock
	h.operations = append(h.operations, o)
}

func (h *history) apply(r packet.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock++
	r.Data = []byte(string(r.Data))
	h.effects = append(h.effects, effect{r, h.clock})
}

// caused reports whether an effect may be that of an operation.
func (o *operation) caused(e effect) bool {
	if o.kind != e.Kind || o.path != e.Path || o.target != e.Target || o.issued > e.at {
		return false
	}
	switch e.Kind {
	case packet.Write:
		return o.mark == string(e.Data)
	case packet.Setstat:
		return o.mark == fmt.Sprint(e.Attrs.Mode)
	}
	return true
}

// meets reports whether two operations change the same thing.
func (o *operation) meets(other *operation) bool {
	if o.kind == packet.Write && other.kind == packet.Write && o.path == other.path {
		return o.from < other.to && other.from < o.to
	}
	for _, a := range []string{o.path, o.target} {
		for _, b := range []string{other.path, other.target} {
			inside := o.kind == packet.Rename && strings.HasPrefix(b, a+"/") || other.kind == packet.Rename && strings.HasPrefix(a, b+"/")
			if a != "" && b != "" && (a == b || inside) {
				return true
			}
		}
	}
	return false
}

// check returns the violations, and the number of effects behind their command's end.
func (h *history) check() (violations []string, late int) {
	for i, e := range h.effects {
		var cause *operation
		open := false
		for _, o := range h.operations {
			if o.caused(e) {
				open = open || o.answered > e.at
				cause = o
			}
		}
		if cause == nil {
			violations = append(violations, fmt.Sprintf("nobody asked for %d %s", e.Kind, e.Path))
			continue
		}
		for _, earlier := range h.effects[:i] {
			if cause.mark != "" && cause.caused(earlier) {
				violations = append(violations, fmt.Sprintf("%+v was carried out twice", *cause))
			}
		}
		if open {
			continue
		}
		late++
		for _, later := range h.operations {
			if later.ok && later.issued > cause.answered && later.answered < e.at && later.meets(cause) {
				violations = append(violations, fmt.Sprintf("%+v was acknowledged, and altered at %d by %+v", *later, e.at, *cause))
			}
		}
	}
	return violations, late
}
