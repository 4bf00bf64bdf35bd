// Package histories simulates years of certificate renewal in virtual time against authorities that fail at random, and
// counts the expiries that were avoidable.
package histories

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"otterturn/internal/certs/plan"
)

// Planner decides when a certificate is renewed. History runs it: package plan, or another strategy to compare with.
type Planner interface {
	Next(now time.Time) plan.Try
	RecordTry(now time.Time, t plan.Try)
	RecordOutcome(now time.Time, t plan.Try, o plan.Outcome)
	ReplaceCert(c plan.Cert, draw float64)
}

// faultPeriod is a period in which every try at an authority ends with the same outcome.
type faultPeriod struct {
	from, to time.Time
	outcome  plan.Outcome
}

// Count sums up a history.
type Count struct {
	Renewals, Expiries, Avoidable int
	OverLimit                     int // tries that exceed an authority's limit or ignore its Retry-After
}

// History simulates the renewals of one certificate over six lifetimes in virtual time. The seed draws the lifetime,
// outages, limits and the duration of a try. An expiry is avoidable if, between the due time of the renewal and the
// expiry, some authority was usable and not limited for longer than two spacings of the plan at that time and two tries.
func History(seed uint64, start func(plan.Policy, plan.Cert, float64) Planner) Count {
	rng := rand.New(rand.NewPCG(seed, 8))
	var count Count
	lifetime := []time.Duration{6 * 24 * time.Hour, 45 * 24 * time.Hour, 90 * 24 * time.Hour}[rng.IntN(3)]
	tryTime := time.Duration(5+rng.IntN(60)) * time.Second
	policy := plan.Policy{MinSpacing: 30 * time.Second, MaxSpacing: 12 * time.Hour}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	end := now.Add(6 * lifetime)
	authorities := 1 + rng.IntN(2)
	var faultPeriods [][]faultPeriod
	for i := range authorities {
		policy.Authorities = append(policy.Authorities, plan.Authority{Name: string(rune('a' + i)), Tries: 5, Window: time.Hour})
		faultPeriods = append(faultPeriods, drawFaultPeriods(rng, now, end.Add(lifetime), lifetime))
	}
	cert := plan.Cert{NotBefore: now, NotAfter: now.Add(lifetime)}
	planner := start(policy, cert, rng.Float64())
	tries := make([][]time.Time, authorities)
	retryAllowed := make([]time.Time, authorities)
	for now.Before(end) {
		try := planner.Next(now)
		at := later(now, try.At)
		if at.After(cert.NotAfter) { // no further try before the expiry
			count.Expiries++
			if wasAvoidable(policy, cert, faultPeriods, tryTime) {
				count.Avoidable++
			}
			// The certificate is replaced by hand 1 h later, and the history continues.
			now = cert.NotAfter.Add(time.Hour)
			cert = plan.Cert{NotBefore: now, NotAfter: now.Add(lifetime)}
			planner.ReplaceCert(cert, rng.Float64())
			continue
		}
		now = at
		i := try.Authority
		var recent []time.Time
		for _, b := range tries[i] {
			if now.Sub(b) < policy.Authorities[i].Window {
				recent = append(recent, b)
			}
		}
		tries[i] = append(recent, now)
		if len(recent) >= policy.Authorities[i].Tries || now.Before(retryAllowed[i]) {
			count.OverLimit++
		}
		planner.RecordTry(now, try)
		outcome := outcomeAt(faultPeriods[i], now, tryTime)
		now = now.Add(tryTime)
		planner.RecordOutcome(now, try, outcome)
		if outcome.RetryAfter > 0 {
			retryAllowed[i] = now.Add(outcome.RetryAfter)
		}
		if outcome.Kind == plan.Obtained {
			count.Renewals++
			cert = plan.Cert{NotBefore: now, NotAfter: now.Add(lifetime)}
			planner.ReplaceCert(cert, rng.Float64())
		}
	}
	return count
}

// drawFaultPeriods draws the periods in which an authority fails. Most are short; their mean length is drawn from 1 min to
// half a lifetime, so that some last for most of a lifetime.
func drawFaultPeriods(rng *rand.Rand, from, to time.Time, lifetime time.Duration) []faultPeriod {
	var out []faultPeriod
	for at := from; at.Before(to); {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(lifetime) / 4))
		length := time.Duration(rng.ExpFloat64() * float64([]time.Duration{time.Minute, time.Hour, 12 * time.Hour, lifetime / 4, lifetime / 2}[rng.IntN(5)]))
		o := plan.Outcome{Kind: []plan.Kind{
			plan.BadNonce, plan.RateLimited, plan.ServerError, plan.Stalled, plan.Invalid, plan.Unreachable, plan.Rejected, plan.NoAccount, plan.BadChain,
			plan.MalformedAnswer,
		}[rng.IntN(10)]}
		if o.Kind == plan.RateLimited && rng.IntN(2) == 0 {
			o.RetryAfter = min(time.Duration(rng.Int64N(int64(6*time.Hour))), length)
		}
		out = append(out, faultPeriod{at, at.Add(length), o})
		at = at.Add(length)
	}
	return out
}

// outcomeAt returns the outcome of a try that begins at a time: it succeeds unless it overlaps a fault period.
func outcomeAt(periods []faultPeriod, begin time.Time, tryTime time.Duration) plan.Outcome {
	for _, s := range periods {
		if s.from.Before(begin.Add(tryTime)) && begin.Before(s.to) {
			return s.outcome
		}
	}
	return plan.Outcome{Kind: plan.Obtained}
}

// wasAvoidable reports whether an authority was usable for long enough in the last third of a certificate's lifetime.
func wasAvoidable(policy plan.Policy, c plan.Cert, faultPeriods [][]faultPeriod, tryTime time.Duration) bool {
	from := c.NotAfter.Add(-time.Duration(float64(c.NotAfter.Sub(c.NotBefore)) / 3))
	reference := plan.New(policy, c, 0)
	for _, periods := range faultPeriods {
		at := from
		for _, s := range append(periods, faultPeriod{from: c.NotAfter}) {
			if s.from.After(at) {
				until := s.from
				if until.After(c.NotAfter) {
					until = c.NotAfter
				}
				// A limit of five tries per hour delays the sixth try by up to an hour.
				if until.Sub(at) > 2*(reference.Spacing(at)+tryTime)+policy.Authorities[0].Window {
					return true
				}
			}
			at = later(at, s.to.Add(s.outcome.RetryAfter)) // a try at the end of the period has to respect its Retry-After
			if !at.Before(c.NotAfter) {
				break
			}
		}
	}
	return false
}

// replacedManager renews as documented for the manager that package plan replaced: 30 days before the expiry, or a third of
// the lifetime if that is less, and up to an hour earlier. After a failure it tries again in 30 to 60 minutes. It uses one authority and
// respects no limits.
type replacedManager struct {
	cert        plan.Cert
	renewBefore time.Duration
	next        time.Time
	rng         *rand.Rand
}

func newReplacedManager(_ plan.Policy, c plan.Cert, draw float64) Planner {
	m := &replacedManager{renewBefore: min(30*24*time.Hour, c.NotAfter.Sub(c.NotBefore)/3), rng: rand.New(rand.NewPCG(uint64(draw*1e9), 1))}
	m.ReplaceCert(c, draw)
	return m
}

func (m *replacedManager) Next(time.Time) plan.Try       { return plan.Try{At: m.next} }
func (m *replacedManager) RecordTry(time.Time, plan.Try) {}
func (m *replacedManager) ReplaceCert(c plan.Cert, _ float64) {
	m.cert = c
	m.next = c.NotAfter.Add(-m.renewBefore - time.Duration(m.rng.Int64N(int64(time.Hour))))
}

func (m *replacedManager) RecordOutcome(now time.Time, _ plan.Try, o plan.Outcome) {
	if o.Kind != plan.Obtained {
		m.next = now.Add(30*time.Minute + time.Duration(m.rng.Int64N(int64(30*time.Minute))))
	}
}

// Report runs histories with the plan and with the manager that it replaced, and writes the sums of both.
func Report(out io.Writer, histories int) (planCount Count, err error) {
	var managerCount Count
	for seed := range uint64(histories) {
		planCount.add(History(seed, func(p plan.Policy, c plan.Cert, draw float64) Planner { return plan.New(p, c, draw) }))
		managerCount.add(History(seed, newReplacedManager))
	}
	_, err = fmt.Fprintf(out, "histories: %d of six lifetimes; the plan: %v; the replaced manager: %v\n", histories, planCount, managerCount)
	return planCount, err
}

func (n *Count) add(c Count) {
	n.Renewals, n.Expiries = n.Renewals+c.Renewals, n.Expiries+c.Expiries
	n.Avoidable, n.OverLimit = n.Avoidable+c.Avoidable, n.OverLimit+c.OverLimit
}

func (n Count) String() string {
	return fmt.Sprintf("%d renewals, %d expiries, %d of them avoidable, %d tries over a limit", n.Renewals, n.Expiries,
		n.Avoidable, n.OverLimit)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
