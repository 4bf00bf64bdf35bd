// Package plan decides when a certificate is renewed, at which authority, and what follows from each way in which a
// try can end. It reads no clock, does no I/O and draws no random numbers of its own: times and one draw for each
// certificate are handed to it.
//
// What it promises: a certificate runs out only where every authority was unusable, or held off by a limit of its
// own, nearly all of the time that was left when the renewal was due. Nearly: at a time before the end, a stretch that
// is shorter than Spacing of that time and one try may be missed. Package lab/histories counts that.
package plan

import (
	"fmt"
	"math"
	"time"
)

// Kind tells how a try ended, as far as that changes what follows.
type Kind int

// The kinds of Kind. The problem types are those of RFC 8555, section 6.7.
const (
	Obtained    Kind = iota
	BadNonce         // badNonce, again and again
	RateLimited      // rateLimited, or status 429
	ServerError      // serverInternal, or status 5xx
	Stalled          // no answer in time at some step, or no connection
	Invalid          // the order turned invalid
	Unreachable      // connection, dns, tls or incorrectResponse: the challenge could not be fetched
	Rejected         // rejectedIdentifier, caa, unauthorized, userActionRequired and the like: it needs a person
	NoAccount        // accountDoesNotExist: the account has to be made anew
	BadChain         // a chain that doesn't fit the key, the names or the time
	Nonsense         // an answer that is none
	Local            // this side's own: a disk that is full, a port that is taken
	Busy             // another process has the folder's orders in hand
)

var kindNames = []string{
	"obtained", "its nonces are not taken", "limit reached", "server error", "no answer in time",
	"the order turned invalid", "the challenge could not be fetched", "rejected", "the account is not known",
	"a chain that does not fit", "an answer that is none", "on this side", "another process renews",
}

func (k Kind) String() string { return kindNames[k] }

// Outcome is how a try ended.
type Outcome struct {
	Kind       Kind
	RetryAfter time.Duration // the authority's word, 0 for none
	Detail     string        // for people
}

// Authority is what is known of one of the authorities, the first one preferred.
type Authority struct {
	Name   string
	Tries  int           // it allows so many tries in a window, 0 for no bound
	Window time.Duration // and so long is that
}

// Policy is what the operator set.
type Policy struct {
	Authorities []Authority
	Before      time.Duration // renewal begins so long before the end, 0 for a third of the lifetime
	Least       time.Duration // between two tries at the least, however near the end is
	Most        time.Duration // and at the most
}

// Cert is the validity of the certificate that is in use. The zero value is for none.
type Cert struct{ NotBefore, NotAfter time.Time }

// Window is when the authority wants the certificate renewed (RFC 9773, section 4.2).
type Window struct{ Start, End time.Time }

// standing is how one authority stands.
type standing struct {
	failures int       // in a row
	after    time.Time // not to be asked before
	tries    []time.Time
}

// Plan is the state of one certificate.
type Plan struct {
	policy    Policy
	cert      Cert
	window    *Window
	draw      float64 // in [0, 1), at random for each certificate: fronts must not renew together
	standings []standing
	last      Outcome
	lastAt    time.Time
	wanted    bool // at once, as an operator asked
	challenge int  // which kind of challenge is next
}

// Try is what is to be done next.
type Try struct {
	At        time.Time
	Authority int
	Challenge int // counted up whenever the last one could not be fetched
	Why       string
}

// figures of the decisions.
const (
	share      = 3.0  // renewal begins with one part in so many of the lifetime left
	spread     = 0.1  // earlier by up to this share of that part, at random
	approach   = 0.04 // between two tries goes this share of the time left
	patience   = 2    // failures in a row before the next authority is asked as well
	urgent     = 0.25 // of the time that was left as renewal began: from here on every authority is asked in turn
	rejectedBy = 2    // a try that needs a person is repeated so many times more rarely
	lastChance = 0.1  // of the lifetime: the authority's own window is heeded up to there
)

// New returns the plan of a certificate that is in use, or of none. draw is a random number in [0, 1).
func New(p Policy, c Cert, draw float64) *Plan {
	return &Plan{policy: p, cert: c, draw: draw, standings: make([]standing, len(p.Authorities))}
}

// Renewed takes over a new certificate.
func (p *Plan) Renewed(c Cert, draw float64) {
	p.cert, p.draw, p.window, p.wanted = c, draw, nil, false
	for i := range p.standings {
		p.standings[i].failures = 0
	}
}

// Suggested takes in the authority's wish.
func (p *Plan) Suggested(w Window) {
	if w.Start.Before(w.End) {
		p.window = &w
	}
}

// Want has the certificate renewed at once.
func (p *Plan) Want() { p.wanted = true }

// Cert is the certificate in use.
func (p *Plan) Cert() Cert { return p.cert }

// Last tells how the last try ended, and when; the time is zero where there was none.
func (p *Plan) Last() (Outcome, time.Time) { return p.last, p.lastAt }

// Due is when the renewal begins.
func (p *Plan) Due() time.Time {
	life := p.cert.NotAfter.Sub(p.cert.NotBefore)
	if p.cert.NotAfter.IsZero() || life <= 0 {
		return time.Time{}
	}
	before := p.policy.Before
	if before <= 0 || before > life*9/10 { // as for a lifetime shorter than the operator had in mind
		before = time.Duration(float64(life) / share)
	}
	due := p.cert.NotAfter.Add(-time.Duration(float64(before) * (1 + spread*p.draw)))
	if w := p.window; w != nil {
		due = w.Start.Add(time.Duration(p.draw * float64(w.End.Sub(w.Start))))
		if latest := p.cert.NotAfter.Add(-time.Duration(lastChance * float64(life))); due.After(latest) {
			due = latest
		}
	}
	if due.Before(p.cert.NotBefore) {
		due = p.cert.NotBefore
	}
	return due
}

// Spacing is the time between two tries at a moment: a share of the time left, so that they become denser as the end
// nears.
func (p *Plan) Spacing(now time.Time) time.Duration {
	least := p.policy.Least
	if life := p.cert.NotAfter.Sub(p.cert.NotBefore); life > 0 { // certificates of seconds can't wait for seconds
		least = min(least, max(life/500, time.Millisecond))
	}
	left := p.cert.NotAfter.Sub(now)
	if p.cert.NotAfter.IsZero() || left <= 0 {
		// There is none to lose any more. Every client is turned away meanwhile, but an authority that is down for
		// hours must not be asked every second.
		tries := 0
		for _, s := range p.standings {
			tries += s.failures
		}
		return min(p.policy.Most, least*time.Duration(1<<min(tries, 16)))
	}
	return min(p.policy.Most, max(least, time.Duration(approach*float64(left))))
}

// Next decides on the next try. It may be asked again at any time: a clock that was set, a certificate that another
// process brought and an operator's wish change the answer.
func (p *Plan) Next(now time.Time) Try {
	due := p.Due()
	why := "renewal is due"
	switch {
	case p.cert.NotAfter.IsZero():
		due, why = now, "there is no certificate"
	case !now.Before(p.cert.NotAfter):
		due, why = now, "the certificate has run out"
	case p.wanted:
		due, why = now, "an operator asked for it"
	case p.window != nil:
		why = "the authority asked for it"
	}
	best, at := 0, time.Time{}
	for i := range p.standings {
		open := later(due, p.open(i, now))
		if i > 0 && !p.turnsTo(now, open) {
			continue
		}
		// The preferred one, unless it would cost more than the way to the next try anyway.
		if i == 0 || open.Add(p.Spacing(now)/2).Before(at) {
			best, at = i, open
		}
	}
	if p.lastAt.IsZero() || p.last.Kind == Obtained {
		return Try{At: at, Authority: best, Challenge: p.challenge, Why: why}
	}
	return Try{At: at, Authority: best, Challenge: p.challenge, Why: fmt.Sprintf("%s; the last try failed: %v", why, p.last.Kind)}
}

// turnsTo tells whether authorities after the first are asked by a time: once the first has failed a few times in a
// row or stays away for long, or little time is left.
func (p *Plan) turnsTo(now, at time.Time) bool {
	first := p.standings[0]
	if first.failures >= patience {
		return true
	}
	left := p.cert.NotAfter.Sub(now)
	if p.cert.NotAfter.IsZero() || left <= 0 {
		return first.failures > 0
	}
	total := p.cert.NotAfter.Sub(p.Due())
	return first.after.Sub(now) > left/4 || first.failures > 0 && float64(left) < urgent*float64(total)
}

// open is when an authority may be asked again: by its own word, by its limit, and by the pace.
func (p *Plan) open(i int, now time.Time) time.Time {
	p.forget(i, now)
	s, a := &p.standings[i], p.policy.Authorities[i]
	at := s.after
	if a.Tries > 0 {
		if n := len(s.tries); n >= a.Tries {
			at = later(at, s.tries[n-a.Tries].Add(a.Window))
		}
	}
	return at
}

// forget drops tries that have left the limit's window. A clock that was set back leaves some in the future, which
// count no longer.
func (p *Plan) forget(i int, now time.Time) {
	s, a := &p.standings[i], p.policy.Authorities[i]
	kept := s.tries[:0]
	for _, t := range s.tries {
		if now.Sub(t) < a.Window && !t.After(now) {
			kept = append(kept, t)
		}
	}
	s.tries = kept
	if horizon := now.Add(p.policy.Most + a.Window); p.last.RetryAfter == 0 && s.after.After(horizon) {
		s.after = now
	}
}

// Began counts a try against the authority's limit.
func (p *Plan) Began(now time.Time, t Try) {
	s := &p.standings[t.Authority]
	if p.policy.Authorities[t.Authority].Tries > 0 {
		s.tries = append(s.tries, now)
	}
}

// Ended takes in how a try ended. A certificate that it brought is handed to Renewed.
func (p *Plan) Ended(now time.Time, t Try, o Outcome) {
	s := &p.standings[t.Authority]
	p.last, p.lastAt = o, now
	if o.Kind == Obtained {
		s.failures, s.after = 0, time.Time{}
		return
	}
	s.failures++
	wait := p.Spacing(now)
	switch o.Kind {
	case RateLimited, ServerError:
		wait = max(wait, min(o.RetryAfter, math.MaxInt64/2))
	case Rejected:
		wait = min(wait*rejectedBy, max(p.policy.Most, wait))
	case Unreachable:
		p.challenge++
	case NoAccount:
		if s.failures == 1 { // it is made anew at the next try
			wait = 0
		}
	}
	s.after = now.Add(wait)
	if o.Kind == Local || o.Kind == Busy { // no authority would do better
		for i := range p.standings {
			p.standings[i].after = later(p.standings[i].after, now.Add(wait))
		}
		s.failures--
	}
}

// Level tells how near the end is, for people.
type Level int

// The kinds of Level.
const (
	Fine    Level = iota
	Late          // less than half of the time that a renewal has is left
	Close         // less than a tenth of it
	Expired       // or none at all
)

// Level tells how near the end is.
func (p *Plan) Level(now time.Time) Level {
	left, total := p.cert.NotAfter.Sub(now), p.cert.NotAfter.Sub(p.Due())
	switch {
	case p.cert.NotAfter.IsZero() || left <= 0:
		return Expired
	case left < total/10:
		return Close
	case left < total/2:
		return Late
	}
	return Fine
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
