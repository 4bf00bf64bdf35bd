// Package slowstart limits the units that all fronts together send to nodes that have just started. It does no I/O and reads
// no clock.
//
// A cold node fails if it is sent more than OverloadMultiple times its present capacity c within OverloadSpan; it withstands
// SafeUnits within a span in any case. With hundreds of fronts, an equal share of this limit is far less than one request.
// Sending at random so that the mean is the share does not keep the limit if a front misjudges its own demand, such as just
// after a restart, or if many fronts send at the same time by chance. So a front sends for only two reasons, and the units
// that these allow stay within the limit in total although the fronts do not know of each other:
//
//   - Answers: within any span a front sends at most the units that the node answered it, and all answers together are at
//     most the capacity c.
//   - Grants: one front at a time, the granter, grants the rest to the fronts that request it.
//
// The granter grants the largest of these amounts, which a node withstands in addition to c:
//
//   - SafeUnits x (1 - 1/OverloadMultiple). With c this is at most max(OverloadMultiple x c, SafeUnits) for each c, as both
//     are equal at c = SafeUnits/OverloadMultiple.
//   - (OverloadMultiple - 1) x the units that all fronts reported as answered, which are at most c, less those that may have
//     been reported late.
//   - (OverloadMultiple - 1) x the speed of single requests: the units answered over the sum of their latencies. A node does
//     that much on one of its cores, and does not become slower while it warms up. A request of one unit may cost hardly any
//     work, so the reports of all fronts are added up, and MeasurementDoubt is added to the time.
//   - A single request of up to SafeUnits while no grant and no answer counts, because otherwise no node would ever show its
//     capacity.
//
// The granter follows from the node's name and the time, which all fronts share. A front is the granter for a period. It
// grants nothing for the first GrantLifetime of the period, nor for the first GrantLifetime after its own start: after that
// time the grants of other fronts, and of an earlier process of its own, no longer count. A lost message, a granter that has
// failed or a network partition reduces throughput but overloads no node. If fronts cannot send messages to each other, a
// front requests capacity only from itself while it is the granter, and the periods are short.
package slowstart

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Config holds the settings of a deployment. Times are in microseconds.
type Config[T ~int64] struct {
	Fronts           int     // number of all fronts
	InitialShare     float64 // share of its capacity that a node has when it starts
	Ramp             T       // time after which a node is warm at the latest
	OverloadMultiple float64 // a node fails if it is sent more than this multiple of its capacity
	OverloadSpan     T       // within this time
	SafeUnits        float64 // units that a node withstands within OverloadSpan in any case, from all fronts together
	MeasurementDoubt T       // added to the sum of the measured latencies
	PeerMessages     bool    // fronts may send each other requests for capacity
}

const (
	validityDivisor     = 10   // a grant may be used for OverloadSpan / validityDivisor
	reportDivisor       = 10   // answers are reported to the granter at intervals of OverloadSpan / reportDivisor
	requestDivisor      = 2    // a request without a grant expires, and is repeated, after OverloadSpan / requestDivisor
	periodSpans         = 12   // grant lifetimes in a granter's period, in the first of which it grants nothing
	reportedInTimeShare = 0.88 // share of the units reported within a span that were answered within it; the rest was late
	maxMeasuredSpans    = 4    // largest sum of latencies that a front reports, in spans
	reportLifetimeSpans = 4    // spans for which a front's report counts after its last request
	cachedPieceCost     = 0.25 // share of a request's units that counts if the node has its piece cached; it takes 27 to 51% of the work
	cachedPieces        = 4    // largest number of pieces that a node has cached
	soloPeriodSpans     = 2    // periodSpans without peer messages: a granter with nothing to send keeps the others waiting
)

// grantValidity returns how long a grant may be used.
func (c *Config[T]) grantValidity() T { return c.OverloadSpan / validityDivisor }

// MayHaveGranted reports whether a front may have made a grant that is valid until a time.
func (c *Config[T]) MayHaveGranted(node string, front int, now, validUntil T) bool {
	granter, mayGrant := c.Granter(node, validUntil-c.grantValidity())
	return granter == front && mayGrant && now <= validUntil && validUntil <= now+c.OverloadSpan
}

// GrantLifetime returns how long a grant counts: while it is valid, and for a span after that.
func (c *Config[T]) GrantLifetime() T { return c.OverloadSpan + c.grantValidity() }

// Granter returns the front that grants capacity at a node at a time, and whether it may do so at that time.
func (c *Config[T]) Granter(node string, now T) (front int, mayGrant bool) {
	period := max(1, periodSpans*c.GrantLifetime())
	if !c.PeerMessages {
		period = max(1, soloPeriodSpans*c.GrantLifetime())
	}
	if c.Fronts <= 1 {
		return 0, true
	}
	hash := xxhash.Sum64String(node)
	// In consecutive periods consecutive fronts are the granter. Each node has its own first front and its own offset in time:
	// if the periods of all nodes began together, no cold node would get grants at that time.
	now += T(hash>>32) % period
	front = int((int64(hash&math.MaxUint32) + int64(now/period)) % int64(max(c.Fronts, 1)))
	return front, now%period > c.GrantLifetime()
}

// SafeUnitsAt returns the units that a node which has been up for the given time withstands within a span in any case. They
// grow with its minimum capacity of a span ago, as the lowest capacity within the span counts.
func (c *Config[T]) SafeUnitsAt(age T) float64 {
	return c.SafeUnits * c.capacityShare(age-c.OverloadSpan) / c.InitialShare
}

// Slowdown returns how many times slower than a warm node a node may be that has been up for the given time.
func (c *Config[T]) Slowdown(age T) float64 { return 1 / c.capacityShare(age) }

// capacityShare returns the minimum share of its full capacity that a node has at an age.
func (c *Config[T]) capacityShare(age T) float64 {
	return c.InitialShare + (1-c.InitialShare)*float64(min(max(0, age), c.Ramp))/float64(max(c.Ramp, 1))
}
