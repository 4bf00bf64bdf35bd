package slowstart

import (
	"slices"

	"otterturn/scheduler/window"
)

// Allocator grants room at one node, while this host is its granter.
type Allocator[T ~int64] struct {
	config   *Config[T]
	granted  window.Window[T]
	served   window.Window[T] // answered, as hosts told
	requests []request[T]     // the last one of each host, while it waits or its news counts
	reports  []report[T]      // what each host told last of the node's speed, while it counts
}

type report[T ~int64] struct {
	LoadReport
	front int
	at    T
}

type request[T ~int64] struct {
	CapacityRequest
	front int
	at    T
}

// LoadReport is what a node has shown a host of its capacity, in units.
type LoadReport struct {
	Served float64 // answered since it told last
	Units  float64 // answered since it started,
	Time   float64 // one by one in so many spans
}

// CapacityRequest is for room, in units.
type CapacityRequest struct {
	Units    float64    // for the request that is next; 0 for nothing
	MinUnits float64    `cbor:"Least"` // for the smallest, if there is no room for that
	Report   LoadReport `cbor:"Shown"`
}

// Grant is so many units for a host, to be sent until a time.
type Grant[T ~int64] struct {
	Front      int
	Units      float64
	ValidUntil T
}

// NewAllocator returns an allocator that granted nothing yet.
func (c *Config[T]) NewAllocator() *Allocator[T] {
	return &Allocator[T]{config: c, granted: window.New(c.GrantLifetime()), served: window.New(c.OverloadSpan)}
}

// Reset forgets what the node showed, where it may have begun anew: it may be far slower now.
func (r *Allocator[T]) Reset() {
	r.reports = nil
	r.served.Clear()
}

// Report takes in what a host has seen of the node's speed, in the place of what it told before. It counts for a while
// after the host asked last: a node becomes no slower while it warms, and of many hosts few ask at a time.
func (r *Allocator[T]) Report(now T, host int, s LoadReport) {
	if s.Served > 0 && !slices.ContainsFunc(r.reports, func(t report[T]) bool { return t.front == host && t.LoadReport == s }) {
		r.served.Add(now, s.Served) // a message that came twice tells once
	}
	r.reports = slices.DeleteFunc(r.reports, func(t report[T]) bool { return t.front == host || !r.isCurrent(now, t) })
	if s.Units > 0 || s.Served > 0 {
		r.reports = append(r.reports, report[T]{s, host, now})
	}
}

// isCurrent tells that what a host told counts yet.
func (r *Allocator[T]) isCurrent(now T, t report[T]) bool {
	return t.at >= now-reportLifetimeSpans*r.config.OverloadSpan
}

// Request has a host wait for room. One that waits already keeps its place, so there are no more requests than hosts.
func (r *Allocator[T]) Request(now T, host int, w CapacityRequest) {
	r.Report(now, host, w.Report)
	i := slices.IndexFunc(r.requests, func(a request[T]) bool { return a.front == host })
	if i >= 0 && r.requests[i].Units > 0 {
		r.requests[i] = request[T]{w, host, now}
		return
	} else if i >= 0 {
		r.requests = slices.Delete(r.requests, i, i+1)
	}
	r.requests = append(r.requests, request[T]{w, host, now})
}

// Allocate grants what may be sent within a span to a node that bears so much in any case, in the order in which it was
// asked for. Hosts whose request is too old have asked anew, or need nothing more.
func (r *Allocator[T]) Allocate(now T, borne float64) (grants []Grant[T]) {
	rest, served, units, time := max(r.config.OverloadMultiple, 1)-1, r.served.Sum(now), 0.0, 0.0
	r.requests = slices.DeleteFunc(r.requests, func(a request[T]) bool { return a.at < now-r.config.OverloadSpan/requestDivisor })
	for _, s := range r.reports {
		if r.isCurrent(now, s) {
			units, time = units+s.Units, time+s.Time
		}
	}
	speed := units / (time + float64(r.config.MeasurementDoubt)/float64(max(r.config.OverloadSpan, 1)))
	part := max(borne*rest/(rest+1), served*rest*reportedInTimeShare, speed*rest)
	granted := r.granted.Sum(now)
	for i := range r.requests {
		a := &r.requests[i]
		most := part
		if granted <= 0 && served <= 0 {
			most = max(part, borne)
		}
		if a.Units > most {
			a.Units = a.MinUnits
		}
		switch {
		case a.Units == 0 || a.Units > most:
		case granted+a.Units > most:
			return grants // those behind wait too, or a large one might never find room
		default:
			r.granted.Add(now, a.Units)
			granted += a.Units
			grants = append(grants, Grant[T]{a.front, a.Units, now + r.config.grantValidity()})
			a.Units = 0
		}
	}
	return grants
}

// Idle reports whether no host waits, and nothing that was granted or reported counts any more.
func (r *Allocator[T]) Idle(now T) bool {
	return len(r.requests) == 0 && r.granted.Sum(now) <= 0 &&
		!slices.ContainsFunc(r.reports, func(t report[T]) bool { return r.isCurrent(now, t) })
}

// Pending reports whether a host waits for room.
func (r *Allocator[T]) Pending() bool {
	return slices.ContainsFunc(r.requests, func(a request[T]) bool { return a.Units > 0 })
}

// DropRequests forgets all requests.
func (r *Allocator[T]) DropRequests() { r.requests = nil }
