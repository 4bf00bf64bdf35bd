package slowstart

import (
	"slices"

	"otterturn/scheduler/window"
)

// Guard tracks how much one front may send to a node while it is cold.
type Guard[T ~int64] struct {
	span          T
	balance       window.Window[T] // units sent beyond grants, less the units answered
	unreported    float64          // units answered and not reported yet
	measuredUnits float64          // units answered where the latency shows the node's speed
	measuredTime  float64          // sum of the latencies of these, in spans
	recentPieces  [cachedPieces]string
	oldestPiece   int // index of the piece to replace next
	granted       float64
	grantedUntil  T // end of the grant of which granted is left
	nextRequest   T // earliest time of the next request for capacity
	nextReport    T // earliest time of the next report
}

// NewGuard returns a guard for a node to which nothing was sent.
func (c *Config[T]) NewGuard() Guard[T] {
	return Guard[T]{span: c.OverloadSpan, balance: window.New(c.OverloadSpan)}
}

// Capacity returns how many units may be sent now.
func (g *Guard[T]) Capacity(now T) float64 { return max(0, -g.balance.Sum(now)) + g.validGrant(now) }

func (g *Guard[T]) validGrant(now T) float64 {
	if now > g.grantedUntil {
		return 0
	}
	return g.granted
}

// Sent subtracts units from the capacity, first from the grant, which expires sooner.
func (g *Guard[T]) Sent(now T, units float64) {
	granted := g.validGrant(now)
	g.granted = max(0, granted-units)
	g.balance.Add(now, max(0, units-granted))
}

// Answered adds the units of an answered request to the capacity. A node does less work for a piece of data that it has just
// processed, and a series of such requests must not allow as many units of other requests. So such a request adds the least
// that it may have cost, and does not count in the measured speed.
func (g *Guard[T]) Answered(now T, piece string, units float64, latency T) {
	cached := piece != "" && slices.Contains(g.recentPieces[:], piece)
	if cached {
		units *= cachedPieceCost
	} else {
		g.recentPieces[g.oldestPiece], g.oldestPiece = piece, (g.oldestPiece+1)%len(g.recentPieces)
	}
	g.balance.Add(now, -units)
	g.unreported += units
	if cached {
		return
	}
	g.measuredUnits, g.measuredTime = g.measuredUnits+units, g.measuredTime+float64(latency)/float64(max(g.span, 1))
	if g.measuredTime > maxMeasuredSpans { // gives more weight to later answers, of a warmer node
		g.measuredUnits, g.measuredTime = g.measuredUnits/2, g.measuredTime/2
	}
}

// TakeReport returns the report that is to be sent now, and counts all answers as reported.
func (g *Guard[T]) TakeReport() LoadReport {
	s := LoadReport{g.unreported, g.measuredUnits, g.measuredTime}
	g.unreported = 0
	return s
}

// Granted records a grant that is valid until a time. The rest of the last grant is dropped, because it would be valid for
// longer than the granter counts it.
func (g *Guard[T]) Granted(now T, units float64, validUntil T) {
	g.granted, g.grantedUntil, g.nextRequest = units, validUntil, now
}

// ShouldRequest reports whether to request capacity now, and if so sets the earliest time of the next request.
func (g *Guard[T]) ShouldRequest(now T) bool {
	if now < g.nextRequest {
		return false
	}
	g.nextRequest = now + g.span/requestDivisor
	return true
}

// ShouldReport reports whether to send a report to the granter now, and if so sets the earliest time of the next one.
func (g *Guard[T]) ShouldReport(now T) bool {
	if now < g.nextReport {
		return false
	}
	g.nextReport = now + g.span/reportDivisor
	return true
}

// Reset discards all state once the node is warm, or if it may have restarted and the answers are those of its last run.
func (g *Guard[T]) Reset() {
	g.balance.Clear()
	g.granted, g.nextRequest, g.nextReport, g.unreported, g.measuredUnits, g.measuredTime = 0, 0, 0, 0, 0, 0
}
