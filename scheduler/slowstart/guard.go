package slowstart

import (
	"slices"

	"otterturn/scheduler/window"
)

// Guard is what one host knows of a node's room while it is cold.
type Guard[T ~int64] struct {
	span          T
	balance       window.Window[T] // for what was answered, less the answers
	unreported    float64          // units answered, and not reported yet
	measuredUnits float64          // that were answered one by one,
	measuredTime  float64          // in so many spans
	recentPieces  [cachedPieces]string
	oldestPiece   int // of the pieces to be forgotten
	granted       float64
	grantedUntil  T // of the grant
	nextRequest   T // room is not requested again before
	nextReport    T // nor are answers reported
}

// NewGuard returns a guard for a node that nothing was sent to.
func (c *Config[T]) NewGuard() Guard[T] {
	return Guard[T]{span: c.OverloadSpan, balance: window.New(c.OverloadSpan)}
}

// Capacity is how many units may be sent now.
func (g *Guard[T]) Capacity(now T) float64 { return max(0, -g.balance.Sum(now)) + g.validGrant(now) }

func (g *Guard[T]) validGrant(now T) float64 {
	if now > g.grantedUntil {
		return 0
	}
	return g.granted
}

// Sent takes units out of the room, first those that were granted: they last for the shorter time.
func (g *Guard[T]) Sent(now T, units float64) {
	granted := g.validGrant(now)
	g.granted = max(0, granted-units)
	g.balance.Add(now, max(0, units-granted))
}

// Answered makes room for what was answered. A node does less work for a piece of data that it has worked on just
// before, and a run of such requests must not call up as many others, so they make room for the least that they may
// have cost. They show no speed.
func (g *Guard[T]) Answered(now T, piece string, units float64, latency T) {
	near := piece != "" && slices.Contains(g.recentPieces[:], piece)
	if near {
		units *= cachedPieceCost
	} else {
		g.recentPieces[g.oldestPiece], g.oldestPiece = piece, (g.oldestPiece+1)%len(g.recentPieces)
	}
	g.balance.Add(now, -units)
	g.unreported += units
	if near {
		return
	}
	g.measuredUnits, g.measuredTime = g.measuredUnits+units, g.measuredTime+float64(latency)/float64(max(g.span, 1))
	if g.measuredTime > maxMeasuredSpans { // what was seen later, of a warmer node, counts for more
		g.measuredUnits, g.measuredTime = g.measuredUnits/2, g.measuredTime/2
	}
}

// TakeReport returns what the node has shown this host, to be reported now.
func (g *Guard[T]) TakeReport() LoadReport {
	s := LoadReport{g.unreported, g.measuredUnits, g.measuredTime}
	g.unreported = 0
	return s
}

// Granted takes in a grant that lasts until a time. What is left of the last one goes: it would last for longer than
// the granter counts it.
func (g *Guard[T]) Granted(now T, units float64, until T) {
	g.granted, g.grantedUntil, g.nextRequest = units, until, now
}

// ShouldRequest tells whether to ask for room now.
func (g *Guard[T]) ShouldRequest(now T) bool {
	if now < g.nextRequest {
		return false
	}
	g.nextRequest = now + g.span/requestDivisor
	return true
}

// ShouldReport tells whether the granter is to hear now of what was answered last.
func (g *Guard[T]) ShouldReport(now T) bool {
	if now < g.nextReport {
		return false
	}
	g.nextReport = now + g.span/reportDivisor
	return true
}

// Reset forgets all, once the node is warm, or where it may begin anew: what was answered was its former self.
func (g *Guard[T]) Reset() {
	g.balance.Clear()
	g.granted, g.nextRequest, g.nextReport, g.unreported, g.measuredUnits, g.measuredTime = 0, 0, 0, 0, 0, 0
}
