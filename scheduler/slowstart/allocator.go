package slowstart

import (
	"slices"

	"otterturn/scheduler/window"
)

// Allocator grants capacity at one node while this front is its granter.
type Allocator[T ~int64] struct {
	config   *Config[T]
	granted  window.Window[T] // units granted
	served   window.Window[T] // units answered, as reported by the fronts
	requests []request[T]     // latest request of each front until it is too old; Units is 0 once granted
	reports  []report[T]      // latest report of each front, while it counts
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

// LoadReport is what a front has measured of a node's capacity, in units.
type LoadReport struct {
	Served float64 // answered since the last report
	Units  float64 // answered since the node started, where the latency shows the node's speed
	Time   float64 // sum of the latencies of these, in multiples of OverloadSpan
}

// CapacityRequest asks the granter for capacity, in units, or only reports to it.
type CapacityRequest struct {
	Units    float64    // units of the next request, 0 to ask for nothing
	MinUnits float64    `cbor:"Least"` // units of the smallest request, to be granted if Units is too much
	Report   LoadReport `cbor:"Shown"`
}

// Grant allows a front to send a number of units until a time.
type Grant[T ~int64] struct {
	Front      int
	Units      float64
	ValidUntil T
}

// NewAllocator returns an allocator without grants, requests and reports.
func (c *Config[T]) NewAllocator() *Allocator[T] {
	return &Allocator[T]{config: c, granted: window.New(c.GrantLifetime()), served: window.New(c.OverloadSpan)}
}

// Reset discards the measurements of a node that may have restarted, because it may be far slower now.
func (r *Allocator[T]) Reset() {
	r.reports = nil
	r.served.Clear()
}

// Report records a front's measurements of the node's speed in place of its previous ones. They count for a while after the
// front's last request: a node does not become slower while it warms up, and few of many fronts request capacity at a time.
func (r *Allocator[T]) Report(now T, host int, s LoadReport) {
	if s.Served > 0 && !slices.ContainsFunc(r.reports, func(t report[T]) bool { return t.front == host && t.LoadReport == s }) {
		r.served.Add(now, s.Served) // a duplicate message counts once
	}
	r.reports = slices.DeleteFunc(r.reports, func(t report[T]) bool { return t.front == host || !r.isCurrent(now, t) })
	if s.Units > 0 || s.Served > 0 {
		r.reports = append(r.reports, report[T]{s, host, now})
	}
}

// isCurrent reports whether a report still counts.
func (r *Allocator[T]) isCurrent(now T, t report[T]) bool {
	return t.at >= now-reportLifetimeSpans*r.config.OverloadSpan
}

// Request queues a front's request for capacity. A front that is already waiting keeps its position, so there are no more
// requests than fronts.
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

// Allocate grants the waiting requests, in their order, as far as the units granted within a span stay within what the node
// withstands; borne units are withstood in any case. It drops requests that are too old: their fronts have sent new ones, or
// need nothing more.
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
			return grants // later requests wait too, otherwise a large one might never be granted
		default:
			r.granted.Add(now, a.Units)
			granted += a.Units
			grants = append(grants, Grant[T]{a.front, a.Units, now + r.config.grantValidity()})
			a.Units = 0
		}
	}
	return grants
}

// Idle reports whether there is no request, and no grant or report that still counts.
func (r *Allocator[T]) Idle(now T) bool {
	return len(r.requests) == 0 && r.granted.Sum(now) <= 0 &&
		!slices.ContainsFunc(r.reports, func(t report[T]) bool { return r.isCurrent(now, t) })
}

// Pending reports whether a front waits for capacity.
func (r *Allocator[T]) Pending() bool {
	return slices.ContainsFunc(r.requests, func(a request[T]) bool { return a.Units > 0 })
}

// DropRequests discards all requests.
func (r *Allocator[T]) DropRequests() { r.requests = nil }
