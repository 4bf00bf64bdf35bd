// Package cold guards nodes that have just started against what all hosts send them together. It does no I/O and reads
// no clock.
//
// A cold node falls over once it is sent more than Multiple times its present capacity within Span; Units are always
// borne. With hundreds of hosts an even part of that is far below one request, and a chance that makes up the part in
// the mean holds neither where a host misjudges its own demand, as just behind a restart, nor where many draw well. So
// a host sends for two reasons alone, each of which adds up over hosts that don't hear of each other:
//
//   - It was answered. Within any span a host sends no more than the node answered it, and all answers together are
//     at most once the capacity c.
//   - It was granted. One host at a time deals out the rest to those who ask: the most of what the settings and the
//     node itself have shown to be borne beside c.
//
// These are: Units x (1 - 1/Multiple), which with c is no more than max(Multiple x c, Units) whatever c is, as the two
// meet at c = Units/Multiple. (Multiple - 1) times what all hosts told was answered, which is at most c, less what may
// have been told late. As much of the speed that requests were served with, one by one: a node does that much on one of
// its cores, and becomes no slower while it warms. A request of one unit may cost hardly any work, so what all of them saw is taken together, with some
// time of doubt. And as often as nothing else counts a lone request of up to Units, or no node would show anything.
//
// Who deals is told by the node's name and the time, which all hosts share. A host deals for a period, but not before
// a span of it has passed, nor before a span since its own start: by then what others dealt, or a former self, counts
// no more. A lost message, a dead dealer or a cut costs service and breaks nothing. Where hosts may not send each other
// messages each asks itself, in short periods.
package cold

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"otterturn/rules/window"
)

// Figures of a deployment. Times are microseconds.
type Figures[T ~int64] struct {
	Hosts    int     // in all
	From     float64 // share of its capacity with which a node starts
	Ramp     T       // after this a node is warm at the latest
	Multiple float64 // of its capacity
	Span     T       // sent for so long
	Units    float64 // that are borne within Span in any case, over all hosts
	Doubt    T       // what was answered counts as having taken so much longer
	Peers    bool    // hosts may ask each other
}

const (
	validParts   = 10   // a grant may be used for one in so many parts of a span
	tellParts    = 10   // of an answer the dealer hears after one in so many at least
	askParts     = 2    // an ask that brings nothing is made anew after one in so many
	periodSpans  = 12   // a host deals for so long, less one to hand over
	toldInTime   = 0.88 // of what was told within a span was answered within it: the rest was told late
	longest      = 4    // spans of answers that a host tells of at most
	shownSpans   = 4    // what a host showed counts for so long after it asked last
	nearCost     = 0.25 // of its work, that a request for a piece costs which a node remembers: 27 to 51%
	remembered   = 4    // pieces that a node remembers at most
	alonePeriods = 2    // the same where each host asks itself: one that has nothing to send keeps the others waiting
)

// valid is for how long a grant may be used.
func (f *Figures[T]) valid() T { return f.Span / validParts }

// Dealt tells whether a host may have made a grant that lasts until a time.
func (f *Figures[T]) Dealt(node string, host int, now, until T) bool {
	dealer, may := f.Dealer(node, until-f.valid())
	return dealer == host && may && now <= until && until <= now+f.Span
}

// Counts is for how long a grant counts: until it is no longer valid, and a span.
func (f *Figures[T]) Counts() T { return f.Span + f.valid() }

// Dealer tells which host deals out what a node bears at a time, and whether it may by now.
func (f *Figures[T]) Dealer(node string, now T) (host int, may bool) {
	period := max(1, periodSpans*f.Counts())
	if !f.Peers {
		period = max(1, alonePeriods*f.Counts())
	}
	if f.Hosts <= 1 {
		return 0, true
	}
	sum := xxhash.Sum64String(node)
	// Consecutive periods are those of consecutive hosts, from a place and a time of the node's own: were they the same
	// for all nodes, no cold node would get anything while the periods begin.
	now += T(sum>>32) % period
	host = int((int64(sum&math.MaxUint32) + int64(now/period)) % int64(max(f.Hosts, 1)))
	return host, now%period > f.Counts()
}

// Borne is how many units a node that has been up for so long bears within a span in any case. They grow with the
// capacity that it has at least, a span late: of a window the least counts.
func (f *Figures[T]) Borne(age T) float64 { return f.Units * f.share(age-f.Span) / f.From }

// Slower is how many times as slow as a warm node one may be that has been up for so long.
func (f *Figures[T]) Slower(age T) float64 { return 1 / f.share(age) }

// share is the part of its capacity that a node has at least.
func (f *Figures[T]) share(age T) float64 {
	return f.From + (1-f.From)*float64(min(max(0, age), f.Ramp))/float64(max(f.Ramp, 1))
}

// Guard is what one host knows of a node's room while it is cold.
type Guard[T ~int64] struct {
	span    T
	sent    window.Window[T] // for what was answered, less the answers
	fresh   float64          // answered, and not told of yet
	units   float64          // that were answered one by one,
	time    float64          // in so many spans
	pieces  [remembered]string
	next    int // of the pieces to be forgotten
	granted float64
	until   T // of the grant
	asked   T // not to be asked for again before
	told    T // nor told of
}

// Guard returns one for a node that nothing was sent to.
func (f *Figures[T]) Guard() Guard[T] {
	return Guard[T]{span: f.Span, sent: window.Of(f.Span)}
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
	g.fresh += units
	if near {
		return
	}
	g.units, g.time = g.units+units, g.time+float64(latency)/float64(max(g.span, 1))
	if g.time > longest { // what was seen later, of a warmer node, counts for more
		g.units, g.time = g.units/2, g.time/2
	}
}

// Shown is what the node has shown this host, to be told now.
func (g *Guard[T]) Shown() Shown {
	s := Shown{g.fresh, g.units, g.time}
	g.fresh = 0
	return s
}

// Granted takes in a grant that lasts until a time. What is left of the last one goes: it would last for longer than
// the dealer counts it.
func (g *Guard[T]) Granted(now T, units float64, until T) {
	g.granted, g.until, g.asked = units, until, now
}

// Asks tells whether to ask for room now.
func (g *Guard[T]) Asks(now T) bool {
	if now < g.asked {
		return false
	}
	g.asked = now + g.span/askParts
	return true
}

// Tells tells whether the dealer is to hear now of what was answered last.
func (g *Guard[T]) Tells(now T) bool {
	if now < g.told {
		return false
	}
	g.told = now + g.span/tellParts
	return true
}

// Clear forgets all, once the node is warm, or where it may begin anew: what was answered was its former self.
func (g *Guard[T]) Clear() {
	g.sent.Clear()
	g.granted, g.asked, g.told, g.fresh, g.units, g.time = 0, 0, 0, 0, 0, 0
}

// Ration is what this host deals out at one node.
type Ration[T ~int64] struct {
	f      *Figures[T]
	dealt  window.Window[T]
	served window.Window[T] // answered, as hosts told
	asks   []ask[T]         // the last one of each host, while it waits or its news counts
	shown  []told[T]        // what each host told last of the node's speed, while it counts
}

type told[T ~int64] struct {
	Shown
	host int
	at   T
}

type ask[T ~int64] struct {
	Wish
	host int
	at   T
}

// Shown is what a node has shown a host of its capacity, in units.
type Shown struct {
	Served float64 // answered since it told last
	Units  float64 // answered since it started,
	Time   float64 // one by one in so many spans
}

// Wish is for room, in units.
type Wish struct {
	Units float64 // for the request that is next; 0 for nothing
	Least float64 // for the smallest, if there is no room for that
	Shown Shown
}

// Grant is so many units for a host, to be sent until a time.
type Grant[T ~int64] struct {
	Host  int
	Units float64
	Until T
}

// Ration returns one of which nothing was dealt.
func (f *Figures[T]) Ration() *Ration[T] {
	return &Ration[T]{f: f, dealt: window.Of(f.Counts()), served: window.Of(f.Span)}
}

// Anew forgets what the node showed, where it may have begun anew: it may be far slower now.
func (r *Ration[T]) Anew() {
	r.shown = nil
	r.served.Clear()
}

// Tell takes in what a host has seen of the node's speed, in the place of what it told before. It counts for a while
// after the host asked last: a node becomes no slower while it warms, and of many hosts few ask at a time.
func (r *Ration[T]) Tell(now T, host int, s Shown) {
	if s.Served > 0 && !slices.ContainsFunc(r.shown, func(t told[T]) bool { return t.host == host && t.Shown == s }) {
		r.served.Add(now, s.Served) // a message that came twice tells once
	}
	r.shown = slices.DeleteFunc(r.shown, func(t told[T]) bool { return t.host == host || !r.recent(now, t) })
	if s.Units > 0 || s.Served > 0 {
		r.shown = append(r.shown, told[T]{s, host, now})
	}
}

// recent tells that what a host told counts yet.
func (r *Ration[T]) recent(now T, t told[T]) bool { return t.at >= now-shownSpans*r.f.Span }

// Ask has a host wait for room. One that waits already keeps its place, so there are no more asks than hosts.
func (r *Ration[T]) Ask(now T, host int, w Wish) {
	r.Tell(now, host, w.Shown)
	i := slices.IndexFunc(r.asks, func(a ask[T]) bool { return a.host == host })
	if i >= 0 && r.asks[i].Units > 0 {
		r.asks[i] = ask[T]{w, host, now}
		return
	} else if i >= 0 {
		r.asks = slices.Delete(r.asks, i, i+1)
	}
	r.asks = append(r.asks, ask[T]{w, host, now})
}

// Deal grants what may be sent within a span to a node that bears so much in any case, in the order in which it was
// asked for. Hosts whose ask is too old have asked anew, or need nothing more.
func (r *Ration[T]) Deal(now T, borne float64) (grants []Grant[T]) {
	rest, served, units, time := max(r.f.Multiple, 1)-1, r.served.Sum(now), 0.0, 0.0
	r.asks = slices.DeleteFunc(r.asks, func(a ask[T]) bool { return a.at < now-r.f.Span/askParts })
	for _, s := range r.shown {
		if r.recent(now, s) {
			units, time = units+s.Units, time+s.Time
		}
	}
	speed := units / (time + float64(r.f.Doubt)/float64(max(r.f.Span, 1)))
	part := max(borne*rest/(rest+1), served*rest*toldInTime, speed*rest)
	dealt := r.dealt.Sum(now)
	for i := range r.asks {
		a := &r.asks[i]
		most := part
		if dealt <= 0 && served <= 0 {
			most = max(part, borne)
		}
		if a.Units > most {
			a.Units = a.Least
		}
		switch {
		case a.Units == 0 || a.Units > most:
		case dealt+a.Units > most:
			return grants // those behind wait too, or a large one might never find room
		default:
			r.dealt.Add(now, a.Units)
			dealt += a.Units
			grants = append(grants, Grant[T]{a.host, a.Units, now + r.f.valid()})
			a.Units = 0
		}
	}
	return grants
}

// Idle tells that nobody waits, and that nothing that was dealt or told counts any more.
func (r *Ration[T]) Idle(now T) bool {
	return len(r.asks) == 0 && r.dealt.Sum(now) <= 0 &&
		!slices.ContainsFunc(r.shown, func(t told[T]) bool { return r.recent(now, t) })
}

// Waits tells that somebody waits.
func (r *Ration[T]) Waits() bool {
	return slices.ContainsFunc(r.asks, func(a ask[T]) bool { return a.Units > 0 })
}

// Drop has nobody wait any more.
func (r *Ration[T]) Drop() { r.asks = nil }
