package slowstart

import (
	"slices"

	"otterturn/scheduler/window"
)

// Allocator grants capacity at one node while this front is its granter.
type Allocator[T ~int64] struct {
	config   *Config[T]
	granted  window.Window[T]
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
func (a *Allocator[T]) Reset() {
	a.reports = nil
	a.served.Clear()
}

// Report records a front's measurements of the node's speed in place of its previous ones. They count for a while after the
// front's last request: a node does not become slower while it warms up, and few of many fronts request capacity at a time.
func (a *Allocator[T]) Report(now T, from int, load LoadReport) {
	if load.Served > 0 && !slices.ContainsFunc(a.reports, func(old report[T]) bool { return old.front == from && old.LoadReport == load }) {
		a.served.Add(now, load.Served) // a duplicate message counts once
	}
	a.reports = slices.DeleteFunc(a.reports, func(old report[T]) bool { return old.front == from || !a.isCurrent(now, old) })
	if load.Units > 0 || load.Served > 0 {
		a.reports = append(a.reports, report[T]{load, from, now})
	}
}

// isCurrent reports whether a report still counts.
func (a *Allocator[T]) isCurrent(now T, r report[T]) bool {
	return r.at >= now-reportLifetimeSpans*a.config.OverloadSpan
}

// Request queues a front's request for capacity. A front that is already waiting keeps its position, so there are no more
// requests than fronts.
func (a *Allocator[T]) Request(now T, from int, wanted CapacityRequest) {
	a.Report(now, from, wanted.Report)
	i := slices.IndexFunc(a.requests, func(queued request[T]) bool { return queued.front == from })
	if i >= 0 && a.requests[i].Units > 0 {
		a.requests[i] = request[T]{wanted, from, now}
		return
	} else if i >= 0 {
		a.requests = slices.Delete(a.requests, i, i+1)
	}
	a.requests = append(a.requests, request[T]{wanted, from, now})
}

// Allocate grants the waiting requests, in their order, as far as the units granted within a span stay within what the node
// withstands; it withstands safeUnits in any case. It drops requests that are too old: their fronts have sent new ones, or
// need nothing more.
func (a *Allocator[T]) Allocate(now T, safeUnits float64) (grants []Grant[T]) {
	spareMultiple, served, totalUnits, totalTime := max(a.config.OverloadMultiple, 1)-1, a.served.Sum(now), 0.0, 0.0
	a.requests = slices.DeleteFunc(a.requests, func(queued request[T]) bool { return queued.at < now-a.config.OverloadSpan/requestDivisor })
	for _, measured := range a.reports {
		if a.isCurrent(now, measured) {
			totalUnits, totalTime = totalUnits+measured.Units, totalTime+measured.Time
		}
	}
	speed := totalUnits / (totalTime + float64(a.config.MeasurementDoubt)/float64(max(a.config.OverloadSpan, 1)))
	grantable := max(safeUnits*spareMultiple/(spareMultiple+1), served*spareMultiple*reportedInTimeShare, speed*spareMultiple)
	granted := a.granted.Sum(now)
	for i := range a.requests {
		queued := &a.requests[i]
		maxGranted := grantable
		if granted <= 0 && served <= 0 {
			maxGranted = max(grantable, safeUnits)
		}
		if queued.Units > maxGranted {
			queued.Units = queued.MinUnits
		}
		switch {
		case queued.Units == 0 || queued.Units > maxGranted:
		case granted+queued.Units > maxGranted:
			return grants // later requests wait too, otherwise a large one might never be granted
		default:
			a.granted.Add(now, queued.Units)
			granted += queued.Units
			grants = append(grants, Grant[T]{queued.front, queued.Units, now + a.config.grantValidity()})
			queued.Units = 0
		}
	}
	return grants
}

// Idle reports whether there is no request, and no grant or report that still counts.
func (a *Allocator[T]) Idle(now T) bool {
	return len(a.requests) == 0 && a.granted.Sum(now) <= 0 &&
		!slices.ContainsFunc(a.reports, func(r report[T]) bool { return a.isCurrent(now, r) })
}

// Pending reports whether a front waits for capacity.
func (a *Allocator[T]) Pending() bool {
	return slices.ContainsFunc(a.requests, func(queued request[T]) bool { return queued.Units > 0 })
}

// DropRequests discards all requests.
func (a *Allocator[T]) DropRequests() { a.requests = nil }
