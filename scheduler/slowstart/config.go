// Package slowstart guards nodes that have just started against what all hosts send them together. It does no I/O and reads
// no clock.
//
// A cold node falls over once it is sent more than Multiple times its present capacity within Span; Units are always
// borne. With hundreds of hosts an even part of that is far below one request, and a chance that makes up the part in
// the mean holds neither where a host misjudges its own demand, as just behind a restart, nor where many draw well. So
// a host sends for two reasons alone, each of which adds up over hosts that don't hear of each other:
//
//   - It was answered. Within any span a host sends no more than the node answered it, and all answers together are
//     at most once the capacity c.
//   - It was granted. One host at a time grants the rest to those who ask: the most of what the settings and the
//     node itself have shown to be borne beside c.
//
// These are: Units x (1 - 1/Multiple), which with c is no more than max(Multiple x c, Units) whatever c is, as the two
// meet at c = Units/Multiple. (Multiple - 1) times what all hosts told was answered, which is at most c, less what may
// have been told late. As much of the speed that requests were served with, one by one: a node does that much on one of
// its cores, and becomes no slower while it warms. A request of one unit may cost hardly any work, so what all of them
// saw is taken together, with some time of doubt. And as often as nothing else counts a lone request of up to Units, or
// no node would show anything.
//
// Which host grants follows from the node's name and the time, which all hosts share. A host is the granter for a
// period, but grants nothing before a span of it has passed, nor before a span since its own start: by then what others
// granted, or a former process of its own, counts no more. A lost message, a dead granter or a cut costs service and
// breaks nothing. Where hosts may not send each other messages each asks itself, in short periods.
package slowstart

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Config has the figures of a deployment. Times are microseconds.
type Config[T ~int64] struct {
	Fronts           int     // in all
	InitialShare     float64 // share of its capacity with which a node starts
	Ramp             T       // after this a node is warm at the latest
	OverloadMultiple float64 // of its capacity
	OverloadSpan     T       // sent for so long
	SafeUnits        float64 // that are borne within Span in any case, over all hosts
	MeasurementDoubt T       // what was answered counts as having taken so much longer
	PeerMessages     bool    // hosts may ask each other
}

const (
	validityDivisor     = 10   // a grant may be used for one in so many parts of a span
	reportDivisor       = 10   // of an answer the granter hears after one in so many at least
	requestDivisor      = 2    // a request for room that brings nothing is repeated after one in so many
	periodSpans         = 12   // a host is the granter for so long, less one to hand over
	reportedInTimeShare = 0.88 // of what was told within a span was answered within it: the rest was told late
	maxMeasuredSpans    = 4    // spans of answers that a host tells of at most
	reportLifetimeSpans = 4    // what a host showed counts for so long after it asked last
	cachedPieceCost     = 0.25 // of its work, that a request for a piece costs which a node remembers: 27 to 51%
	cachedPieces        = 4    // pieces that a node remembers at most
	soloPeriodSpans     = 2    // the same where each host asks itself: one that has nothing to send keeps the others waiting
)

// grantValidity is for how long a grant may be used.
func (c *Config[T]) grantValidity() T { return c.OverloadSpan / validityDivisor }

// MayHaveGranted reports whether a host may have made a grant that is valid until a time.
func (c *Config[T]) MayHaveGranted(node string, host int, now, until T) bool {
	granter, may := c.Granter(node, until-c.grantValidity())
	return granter == host && may && now <= until && until <= now+c.OverloadSpan
}

// GrantLifetime is for how long a grant counts: until it is no longer valid, and a span.
func (c *Config[T]) GrantLifetime() T { return c.OverloadSpan + c.grantValidity() }

// Granter returns the host that grants room at a node at a time, and whether it may do so by then.
func (c *Config[T]) Granter(node string, now T) (host int, may bool) {
	period := max(1, periodSpans*c.GrantLifetime())
	if !c.PeerMessages {
		period = max(1, soloPeriodSpans*c.GrantLifetime())
	}
	if c.Fronts <= 1 {
		return 0, true
	}
	sum := xxhash.Sum64String(node)
	// Consecutive periods are those of consecutive hosts, from a place and a time of the node's own: were they the same
	// for all nodes, no cold node would get anything while the periods begin.
	now += T(sum>>32) % period
	host = int((int64(sum&math.MaxUint32) + int64(now/period)) % int64(max(c.Fronts, 1)))
	return host, now%period > c.GrantLifetime()
}

// SafeUnitsAt is how many units a node that has been up for so long bears within a span in any case. They grow with the
// capacity that it has at least, a span late: of a window the least counts.
func (c *Config[T]) SafeUnitsAt(age T) float64 {
	return c.SafeUnits * c.capacityShare(age-c.OverloadSpan) / c.InitialShare
}

// Slowdown is how many times as slow as a warm node one may be that has been up for so long.
func (c *Config[T]) Slowdown(age T) float64 { return 1 / c.capacityShare(age) }

// capacityShare is the part of its capacity that a node has at least.
func (c *Config[T]) capacityShare(age T) float64 {
	return c.InitialShare + (1-c.InitialShare)*float64(min(max(0, age), c.Ramp))/float64(max(c.Ramp, 1))
}
