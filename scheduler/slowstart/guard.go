package slowstart

import (
	"slices"

	"otterturn/scheduler/window"
)

// Guard is what one host knows of a node's room while it is cold.
type Guard[T ~int64] struct {
	span        T
	sent        window.Window[T] // for what was answered, less the answers
	unreported  float64          // units answered, and not reported yet
	units       float64          // that were answered one by one,
	time        float64          // in so many spans
	pieces      [remembered]string
	next        int // of the pieces to be forgotten
	granted     float64
	until       T // of the grant
	nextRequest T // room is not requested again before
	nextReport  T // nor are answers reported
}

// NewGuard returns a guard for a node that nothing was sent to.
func (c *Config[T]) NewGuard() Guard[T] {
	return Guard[T]{span: c.Span, sent: window.Of(c.Span)}
}

// Room is how many units may be sent now.
func (g *Guard[T]) Room(now T) float64 { return max(0, -g.sent.Sum(now)) + g.grant(now) }

func (g *Guard[T]) grant(now T) float64 {
	if now > g.until {
		return 0
	}
	return g.granted
}

// Sent takes units out of the room, first those that were granted: they last for the shorter time.
func (g *Guard[T]) Sent(now T, units float64) {
	granted := g.grant(now)
	g.granted = max(0, granted-units)
	g.sent.Add(now, max(0, units-granted))
}

// Answered makes room for what was answered. A node does less work for a piece of data that it has worked on just
// before, and a run of such requests must not call up as many others, so they make room for the least that they may
// have cost. They show no speed.
func (g *Guard[T]) Answered(now T, piece string, units float64, latency T) {
	near := piece != "" && slices.Contains(g.pieces[:], piece)
	if near {
		units *= nearCost
	} else {
		g.pieces[g.next], g.next = piece, (g.next+1)%len(g.pieces)
	}
	g.sent.Add(now, -units)
	g.unreported += units
	if near {
		return
	}
	g.units, g.time = g.units+units, g.time+float64(latency)/float64(max(g.span, 1))
	if g.time > longest { // what was seen later, of a warmer node, counts for more
		g.units, g.time = g.units/2, g.time/2
	}
}

// Shown returns what the node has shown this host, to be reported now.
func (g *Guard[T]) Shown() Shown {
	s := Shown{g.unreported, g.units, g.time}
	g.unreported = 0
	return s
}

// Granted takes in a grant that lasts until a time. What is left of the last one goes: it would last for longer than
// the granter counts it.
func (g *Guard[T]) Granted(now T, units float64, until T) {
	g.granted, g.until, g.nextRequest = units, until, now
}

// ShouldRequest tells whether to ask for room now.
func (g *Guard[T]) ShouldRequest(now T) bool {
	if now < g.nextRequest {
		return false
	}
	g.nextRequest = now + g.span/requestParts
	return true
}

// ShouldReport tells whether the granter is to hear now of what was answered last.
func (g *Guard[T]) ShouldReport(now T) bool {
	if now < g.nextReport {
		return false
	}
	g.nextReport = now + g.span/reportParts
	return true
}

// Clear forgets all, once the node is warm, or where it may begin anew: what was answered was its former self.
func (g *Guard[T]) Clear() {
	g.sent.Clear()
	g.granted, g.nextRequest, g.nextReport, g.unreported, g.units, g.time = 0, 0, 0, 0, 0, 0
}
