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
	Obtained        Kind = iota
	BadNonce             // badNonce, even after repeated requests with a fresh nonce
	RateLimited          // rateLimited, or status 429
	ServerError          // serverInternal, or status 5xx
	Stalled              // no answer in time at one of the steps, or no connection
	Invalid              // the order became invalid
	Unreachable          // connection, dns, tls or incorrectResponse: the authority could not fetch the challenge's answer
	Rejected             // rejectedIdentifier, caa, unauthorized, userActionRequired and similar: an operator has to act
	NoAccount            // accountDoesNotExist: the account has to be registered again
	BadChain             // the certificate chain does not match the key, the names or the current time
	MalformedAnswer      // an answer of the authority ended early or was not valid JSON
	Local                // local fault, such as a full disk or a port in use
	Busy                 // another process holds the folder's lock
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
	Tries  int           // limit on the tries within Window, 0 for no limit
	Window time.Duration // length of the rate limit's window
}

// Policy holds the operator's settings.
type Policy struct {
	Authorities []Authority
	RenewBefore time.Duration // renewal starts this long before expiry, 0 for a third of the lifetime
	MinSpacing  time.Duration // minimum time between two tries, however close the expiry is
	MaxSpacing  time.Duration // maximum time between two tries
}

// Cert is the validity of the certificate in use. The zero value means that there is no certificate.
type Cert struct{ NotBefore, NotAfter time.Time }

// Window is the renewal window that the authority suggests (RFC 9773, section 4.2).
type Window struct{ Start, End time.Time }

// authorityState is the plan's state for one authority.
type authorityState struct {
	failures int       // consecutive
	retryAt  time.Time // no try before this time
	tryTimes []time.Time
}

// Plan is the renewal state of one certificate.
type Plan struct {
	policy          Policy
	cert            Cert
	window          *Window
	jitter          float64 // random in [0, 1) for each certificate, so that fronts do not all renew at the same time
	authorityStates []authorityState
	lastOutcome     Outcome
	lastEndedAt     time.Time
	renewNow        bool // an operator asked for immediate renewal
	nextChallenge   int  // index of the challenge type to try first
}

// Try describes the next try.
type Try struct {
	At        time.Time
	Authority int
	Challenge int // incremented each time the authority could not fetch the answer to a challenge
	Why       string
}

const (
	lifetimeDivisor   = 3.0  // renewal starts when 1/lifetimeDivisor of the lifetime is left
	maxJitterShare    = 0.1  // renewal starts earlier by a random time of up to this share of that period
	spacingShare      = 0.04 // the time between two tries is this share of the time left
	fallbackFailures  = 2    // consecutive failures before the other authorities are considered too
	urgentShare       = 0.25 // with less than this share of the renewal period left, one failure is enough for that
	rejectedFactor    = 2    // factor on the time to the next try after a rejection, which an operator has to resolve
	minRemainingShare = 0.1  // the authority's window can't delay renewal until less than this share of the lifetime is left
)

// New returns the plan for a certificate that is in use, or for a zero Cert. jitter is a random number in [0, 1).
func New(p Policy, c Cert, jitter float64) *Plan {
	return &Plan{policy: p, cert: c, jitter: jitter, authorityStates: make([]authorityState, len(p.Authorities))}
}

// ReplaceCert replaces the certificate in use by a new one.
func (p *Plan) ReplaceCert(c Cert, jitter float64) {
	p.cert, p.jitter, p.window, p.renewNow = c, jitter, nil, false
	for i := range p.authorityStates {
		p.authorityStates[i].failures = 0
	}
}

// SetWindow sets the window that the authority suggests. An empty or reversed window is ignored.
func (p *Plan) SetWindow(w Window) {
	if w.Start.Before(w.End) {
		p.window = &w
	}
}

// RequestRenewal requests immediate renewal.
func (p *Plan) RequestRenewal() { p.renewNow = true }

// Cert returns the validity of the certificate in use.
func (p *Plan) Cert() Cert { return p.cert }

// Last returns the outcome of the last try and its time, which is zero before the first try.
func (p *Plan) Last() (Outcome, time.Time) { return p.lastOutcome, p.lastEndedAt }

// Due returns the time at which renewal starts.
func (p *Plan) Due() time.Time {
	life := p.cert.NotAfter.Sub(p.cert.NotBefore)
	if p.cert.NotAfter.IsZero() || life <= 0 {
		return time.Time{}
	}
	before := p.policy.RenewBefore
	if before <= 0 || before > life*9/10 { // the lifetime is too short for the operator's setting
		before = time.Duration(float64(life) / lifetimeDivisor)
	}
	due := p.cert.NotAfter.Add(-time.Duration(float64(before) * (1 + maxJitterShare*p.jitter)))
	if w := p.window; w != nil {
		due = w.Start.Add(time.Duration(p.jitter * float64(w.End.Sub(w.Start))))
		if latest := p.cert.NotAfter.Add(-time.Duration(minRemainingShare * float64(life))); due.After(latest) {
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
	minSpacing := p.policy.MinSpacing
	if life := p.cert.NotAfter.Sub(p.cert.NotBefore); life > 0 { // a certificate that lives for seconds can't wait seconds between tries
		minSpacing = min(minSpacing, max(life/500, time.Millisecond))
	}
	left := p.cert.NotAfter.Sub(now)
	if p.cert.NotAfter.IsZero() || left <= 0 {
		// There is no valid certificate. Clients are rejected until there is one, so tries start at the minimum spacing.
		// Exponential backoff keeps an authority that is down for hours from being asked every second.
		totalFailures := 0
		for _, s := range p.authorityStates {
			totalFailures += s.failures
		}
		return min(p.policy.MaxSpacing, minSpacing*time.Duration(1<<min(totalFailures, 16)))
	}
	return min(p.policy.MaxSpacing, max(minSpacing, time.Duration(spacingShare*float64(left))))
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
	case p.renewNow:
		due, why = now, "an operator asked for it"
	case p.window != nil:
		why = "the authority asked for it"
	}
	best, at := 0, time.Time{}
	for i := range p.authorityStates {
		earliestTry := laterOf(due, p.earliestTry(i, now))
		if i > 0 && !p.mayUseFallback(now, earliestTry) {
			continue
		}
		// Use the preferred authority unless another one is available earlier by more than half of the spacing.
		if i == 0 || earliestTry.Add(p.Spacing(now)/2).Before(at) {
			best, at = i, earliestTry
		}
	}
	if p.lastEndedAt.IsZero() || p.lastOutcome.Kind == Obtained {
		return Try{At: at, Authority: best, Challenge: p.nextChallenge, Why: why}
	}
	return Try{At: at, Authority: best, Challenge: p.nextChallenge, Why: fmt.Sprintf("%s; the last try failed: %v", why, p.lastOutcome.Kind)}
}

// mayUseFallback reports whether authorities other than the first may be used: after several consecutive failures of the
// first, if the first can't be asked for a long time, or after one failure with little time left.
func (p *Plan) mayUseFallback(now, at time.Time) bool {
	first := p.authorityStates[0]
	if first.failures >= fallbackFailures {
		return true
	}
	left := p.cert.NotAfter.Sub(now)
	if p.cert.NotAfter.IsZero() || left <= 0 {
		return first.failures > 0
	}
	total := p.cert.NotAfter.Sub(p.Due())
	return first.retryAt.Sub(now) > left/4 || first.failures > 0 && float64(left) < urgentShare*float64(total)
}

// earliestTry returns the earliest time at which an authority may be asked again, by its Retry-After, its rate limit and the
// spacing of tries.
func (p *Plan) earliestTry(i int, now time.Time) time.Time {
	p.dropOldTries(i, now)
	s, a := &p.authorityStates[i], p.policy.Authorities[i]
	at := s.retryAt
	if a.Tries > 0 {
		if n := len(s.tryTimes); n >= a.Tries {
			at = laterOf(at, s.tryTimes[n-a.Tries].Add(a.Window))
		}
	}
	return at
}

// dropOldTries drops tries that are outside the rate limit's window, and tries in the future, which remain after the
// system clock was set back. For the same reason it resets a retry time that is too far in the future, unless the last
// outcome had a Retry-After.
func (p *Plan) dropOldTries(i int, now time.Time) {
	s, a := &p.authorityStates[i], p.policy.Authorities[i]
	remaining := s.tryTimes[:0]
	for _, t := range s.tryTimes {
		if now.Sub(t) < a.Window && !t.After(now) {
			remaining = append(remaining, t)
		}
	}
	s.tryTimes = remaining
	if horizon := now.Add(p.policy.MaxSpacing + a.Window); p.lastOutcome.RetryAfter == 0 && s.retryAt.After(horizon) {
		s.retryAt = now
	}
}

// RecordTry counts a try against the authority's rate limit.
func (p *Plan) RecordTry(now time.Time, t Try) {
	s := &p.authorityStates[t.Authority]
	if p.policy.Authorities[t.Authority].Tries > 0 {
		s.tryTimes = append(s.tryTimes, now)
	}
}

// RecordOutcome records the outcome of a try. The caller passes a certificate that was obtained to ReplaceCert.
func (p *Plan) RecordOutcome(now time.Time, t Try, o Outcome) {
	s := &p.authorityStates[t.Authority]
	p.lastOutcome, p.lastEndedAt = o, now
	if o.Kind == Obtained {
		s.failures, s.retryAt = 0, time.Time{}
		return
	}
	s.failures++
	wait := p.Spacing(now)
	switch o.Kind {
	case RateLimited, ServerError:
		wait = max(wait, min(o.RetryAfter, math.MaxInt64/2))
	case Rejected:
		wait = min(wait*rejectedFactor, max(p.policy.MaxSpacing, wait))
	case Unreachable:
		p.nextChallenge++
	case NoAccount:
		if s.failures == 1 { // the next try registers the account again
			wait = 0
		}
	}
	s.retryAt = now.Add(wait)
	if o.Kind == Local || o.Kind == Busy { // the fault is local, so no other authority is tried either
		for i := range p.authorityStates {
			p.authorityStates[i].retryAt = laterOf(p.authorityStates[i].retryAt, now.Add(wait))
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

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
