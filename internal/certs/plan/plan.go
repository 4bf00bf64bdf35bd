// Package plan decides when a certificate is renewed, at which authority, and what happens after each outcome of a try.
// It reads no clock, does no I/O and generates no random numbers: the caller passes in the times and one random number
// per certificate.
//
// Guarantee: a certificate expires only if, for nearly all of the time between the renewal's due time and the expiry,
// every authority was unusable or blocked by its own rate limit. The exception: a period in which an authority is usable
// may be missed if it is shorter than Spacing at that time plus the duration of one try. Package lab/histories counts the
// certificates that expire otherwise.
package plan

import (
	"fmt"
	"math"
	"time"
)

// Kind classifies the outcome of a try by what the plan does next.
type Kind int

// The values of Kind. The problem types are those of RFC 8555, section 6.7.
const (
	Obtained    Kind = iota
	BadNonce         // badNonce, even after repeated requests with a fresh nonce
	RateLimited      // rateLimited, or status 429
	ServerError      // serverInternal, or status 5xx
	Stalled          // no answer in time at one of the steps, or no connection
	Invalid          // the order became invalid
	Unreachable      // connection, dns, tls or incorrectResponse: the authority could not fetch the challenge's answer
	Rejected         // rejectedIdentifier, caa, unauthorized, userActionRequired and similar: an operator has to act
	NoAccount        // accountDoesNotExist: the account has to be registered again
	BadChain         // the certificate chain does not match the key, the names or the current time
	Nonsense         // malformed answer
	Local            // local fault, such as a full disk or a port in use
	Busy             // another process holds the folder's lock
)

var kindNames = []string{
	"obtained", "its nonces are not taken", "limit reached", "server error", "no answer in time",
	"the order turned invalid", "the challenge could not be fetched", "rejected", "the account is not known",
	"a chain that does not fit", "an answer that is none", "on this side", "another process renews",
}

func (k Kind) String() string { return kindNames[k] }

// Outcome describes how a try ended.
type Outcome struct {
	Kind       Kind
	RetryAfter time.Duration // as the authority asked, 0 if it gave none
	Detail     string        // for operators
}

// Authority describes a certificate authority. The first one in a Policy is preferred.
type Authority struct {
	Name   string
	Tries  int // limit on the tries within Window, 0 for no limit
	Window time.Duration
}

// Policy holds the operator's settings.
type Policy struct {
	Authorities []Authority
	Before      time.Duration // renewal starts this long before expiry, 0 for a third of the lifetime
	Least       time.Duration // minimum time between two tries, however close the expiry is
	Most        time.Duration // maximum time between two tries
}

// Cert is the validity of the certificate in use. The zero value means that there is no certificate.
type Cert struct{ NotBefore, NotAfter time.Time }

// Window is the renewal window that the authority suggests (RFC 9773, section 4.2).
type Window struct{ Start, End time.Time }

// standing is the plan's state for one authority.
type standing struct {
	failures int       // consecutive
	after    time.Time // no try before this time
	tries    []time.Time
}

// Plan is the renewal state of one certificate.
type Plan struct {
	policy    Policy
	cert      Cert
	window    *Window
	draw      float64 // random in [0, 1) for each certificate, so that fronts do not all renew at the same time
	standings []standing
	last      Outcome
	lastAt    time.Time
	wanted    bool // an operator asked for immediate renewal
	challenge int  // index of the challenge type to try first
}

// Try describes the next try.
type Try struct {
	At        time.Time
	Authority int
	Challenge int // incremented each time the authority could not fetch the answer to a challenge
	Why       string
}

const (
	share      = 3.0  // renewal starts when 1/share of the lifetime is left
	spread     = 0.1  // renewal starts earlier by a random share of that period, up to this share
	approach   = 0.04 // the time between two tries is this share of the time left
	patience   = 2    // consecutive failures before the other authorities are considered too
	urgent     = 0.25 // share of the renewal period: with less time left, one failure is enough to consider the other authorities
	rejectedBy = 2    // factor on the time to the next try after a rejection, which an operator has to resolve
	lastChance = 0.1  // share of the lifetime: the authority's window never delays renewal beyond the point where this share is left
)

// New returns the plan for a certificate that is in use, or for a zero Cert. draw is a random number in [0, 1).
func New(p Policy, c Cert, draw float64) *Plan {
	return &Plan{policy: p, cert: c, draw: draw, standings: make([]standing, len(p.Authorities))}
}

// Renewed replaces the certificate in use by a new one.
func (p *Plan) Renewed(c Cert, draw float64) {
	p.cert, p.draw, p.window, p.wanted = c, draw, nil, false
	for i := range p.standings {
		p.standings[i].failures = 0
	}
}

// Suggested sets the window that the authority suggests. An empty or reversed window is ignored.
func (p *Plan) Suggested(w Window) {
	if w.Start.Before(w.End) {
		p.window = &w
	}
}

// Want requests immediate renewal.
func (p *Plan) Want() { p.wanted = true }

// Cert returns the validity of the certificate in use.
func (p *Plan) Cert() Cert { return p.cert }

// Last returns the outcome of the last try and its time, which is zero before the first try.
func (p *Plan) Last() (Outcome, time.Time) { return p.last, p.lastAt }

// Due returns the time at which renewal starts.
func (p *Plan) Due() time.Time {
	life := p.cert.NotAfter.Sub(p.cert.NotBefore)
	if p.cert.NotAfter.IsZero() || life <= 0 {
		return time.Time{}
	}
	before := p.policy.Before
	if before <= 0 || before > life*9/10 { // the lifetime is too short for the operator's setting
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

// Spacing returns the time between two tries at a given time. It is a share of the time left, so tries become more
// frequent as the expiry approaches.
func (p *Plan) Spacing(now time.Time) time.Duration {
	least := p.policy.Least
	if life := p.cert.NotAfter.Sub(p.cert.NotBefore); life > 0 { // a certificate that lives for seconds can't wait seconds between tries
		least = min(least, max(life/500, time.Millisecond))
	}
	left := p.cert.NotAfter.Sub(now)
	if p.cert.NotAfter.IsZero() || left <= 0 {
		// There is no valid certificate. Clients are rejected until there is one, so tries start at the minimum spacing.
		// Exponential backoff keeps an authority that is down for hours from being asked every second.
		tries := 0
		for _, s := range p.standings {
			tries += s.failures
		}
		return min(p.policy.Most, least*time.Duration(1<<min(tries, 16)))
	}
	return min(p.policy.Most, max(least, time.Duration(approach*float64(left))))
}

// Next returns the next try. It may be called at any time: the result changes when the system clock is set, another
// process renews the certificate or an operator asks for renewal.
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
		// Use the preferred authority unless another one is available earlier by more than half of the spacing.
		if i == 0 || open.Add(p.Spacing(now)/2).Before(at) {
			best, at = i, open
		}
	}
	if p.lastAt.IsZero() || p.last.Kind == Obtained {
		return Try{At: at, Authority: best, Challenge: p.challenge, Why: why}
	}
	return Try{At: at, Authority: best, Challenge: p.challenge, Why: fmt.Sprintf("%s; the last try failed: %v", why, p.last.Kind)}
}

// turnsTo reports whether authorities other than the first may be used. They may after several consecutive failures of
// the first, if the first can't be asked for a long time, or after one failure with little time left.
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

// open returns the earliest time at which an authority may be asked again, by its Retry-After, its rate limit and the
// spacing of tries.
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

// forget drops tries that are outside the rate limit's window. It also drops tries in the future, which remain after the
// system clock was set back.
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

// Began counts a try against the authority's rate limit.
func (p *Plan) Began(now time.Time, t Try) {
	s := &p.standings[t.Authority]
	if p.policy.Authorities[t.Authority].Tries > 0 {
		s.tries = append(s.tries, now)
	}
}

// Ended records the outcome of a try. The caller passes a certificate that was obtained to Renewed.
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
		if s.failures == 1 { // the next try registers the account again
			wait = 0
		}
	}
	s.after = now.Add(wait)
	if o.Kind == Local || o.Kind == Busy { // the fault is local, so no other authority is tried either
		for i := range p.standings {
			p.standings[i].after = later(p.standings[i].after, now.Add(wait))
		}
		s.failures--
	}
}

// Level tells operators how close the expiry is.
type Level int

// The values of Level.
const (
	Fine    Level = iota
	Late          // less than half of the renewal period is left
	Close         // less than a tenth of the renewal period is left
	Expired       // there is no valid certificate
)

// Level returns how close the expiry is.
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
