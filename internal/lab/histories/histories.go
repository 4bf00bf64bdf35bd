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
	Began(now time.Time, t plan.Try)
	Ended(now time.Time, t plan.Try, o plan.Outcome)
	Renewed(c plan.Cert, draw float64)
}

// spell is a period in which every try at an authority ends with the same outcome.
type spell struct {
	from, to time.Time
	outcome  plan.Outcome
}

// Count sums up a history.
type Count struct {
	Renewals, Expiries, Avoidable int
	Beyond                        int // tries that exceed an authority's limit or ignore its Retry-After
}

// History simulates the renewals of one certificate over six lifetimes in virtual time. The seed draws the lifetime,
// outages, limits and the duration of a try. An expiry is avoidable if, between the due time of the renewal and the
// expiry, some authority was usable and not limited for longer than two spacings of the plan at that time and two tries.
func History(seed uint64, start func(plan.Policy, plan.Cert, float64) Planner) Count {
	rng := rand.New(rand.NewPCG(seed, 8))
	var n Count
	life := []time.Duration{6 * 24 * time.Hour, 45 * 24 * time.Hour, 90 * 24 * time.Hour}[rng.IntN(3)]
	took := time.Duration(5+rng.IntN(60)) * time.Second
	policy := plan.Policy{Least: 30 * time.Second, Most: 12 * time.Hour}
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	end := now.Add(6 * life)
	authorities := 1 + rng.IntN(2)
	var spells [][]spell
	for i := range authorities {
		policy.Authorities = append(policy.Authorities, plan.Authority{Name: string(rune('a' + i)), Tries: 5, Window: time.Hour})
		spells = append(spells, drawSpells(rng, now, end.Add(life), life))
	}
	cert := plan.Cert{NotBefore: now, NotAfter: now.Add(life)}
	p := start(policy, cert, rng.Float64())
	tries := make([][]time.Time, authorities)
	heldOff := make([]time.Time, authorities)
	for now.Before(end) {
		t := p.Next(now)
		at := later(now, t.At)
		if at.After(cert.NotAfter) { // no further try before the expiry
			n.Expiries++
			if avoidable(policy, cert, spells, took) {
				n.Avoidable++
			}
			// The certificate is replaced by hand 1 h later, and the history continues.
			now = cert.NotAfter.Add(time.Hour)
			cert = plan.Cert{NotBefore: now, NotAfter: now.Add(life)}
			p.Renewed(cert, rng.Float64())
			continue
		}
		now = at
		i := t.Authority
		var recent []time.Time
		for _, b := range tries[i] {
			if now.Sub(b) < policy.Authorities[i].Window {
				recent = append(recent, b)
			}
		}
		tries[i] = append(recent, now)
		if len(recent) >= policy.Authorities[i].Tries || now.Before(heldOff[i]) {
			n.Beyond++
		}
		p.Began(now, t)
		o := at1(spells[i], now, took)
		now = now.Add(took)
		p.Ended(now, t, o)
		if o.RetryAfter > 0 {
			heldOff[i] = now.Add(o.RetryAfter)
		}
		if o.Kind == plan.Obtained {
			n.Renewals++
			cert = plan.Cert{NotBefore: now, NotAfter: now.Add(life)}
			p.Renewed(cert, rng.Float64())
		}
	}
	return n
}

// drawSpells draws the periods in which an authority fails, from minutes up to half a lifetime in the mean.
func drawSpells(rng *rand.Rand, from, to time.Time, life time.Duration) []spell {
	var out []spell
	for at := from; at.Before(to); {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(life) / 4))
		length := time.Duration(rng.ExpFloat64() * float64([]time.Duration{time.Minute, time.Hour, 12 * time.Hour, life / 4, life / 2}[rng.IntN(5)]))
		o := plan.Outcome{Kind: []plan.Kind{
			plan.BadNonce, plan.RateLimited, plan.ServerError, plan.Stalled, plan.Invalid, plan.Unreachable, plan.Rejected, plan.NoAccount, plan.BadChain,
			plan.Nonsense,
		}[rng.IntN(10)]}
		if o.Kind == plan.RateLimited && rng.IntN(2) == 0 {
			o.RetryAfter = min(time.Duration(rng.Int64N(int64(6*time.Hour))), length)
		}
		out = append(out, spell{at, at.Add(length), o})
		at = at.Add(length)
	}
	return out
}

// at1 returns the outcome of a try that begins at a time: it succeeds unless it overlaps a spell.
func at1(spells []spell, begin time.Time, took time.Duration) plan.Outcome {
	for _, s := range spells {
		if s.from.Before(begin.Add(took)) && begin.Before(s.to) {
			return s.outcome
		}
	}
	return plan.Outcome{Kind: plan.Obtained}
}

// avoidable reports whether an authority was usable for long enough in the last third of a certificate's lifetime.
func avoidable(policy plan.Policy, c plan.Cert, spells [][]spell, took time.Duration) bool {
	from := c.NotAfter.Add(-time.Duration(float64(c.NotAfter.Sub(c.NotBefore)) / 3))
	measure := plan.New(policy, c, 0)
	for _, bad := range spells {
		at := from
		for _, s := range append(bad, spell{from: c.NotAfter}) {
			if s.from.After(at) {
				until := s.from
				if until.After(c.NotAfter) {
					until = c.NotAfter
				}
				// A limit of five tries per hour delays the sixth try by up to an hour.
				if until.Sub(at) > 2*(measure.Spacing(at)+took)+policy.Authorities[0].Window {
					return true
				}
			}
			at = later(at, s.to.Add(s.outcome.RetryAfter)) // a try at the end of the spell has to respect its Retry-After
			if !at.Before(c.NotAfter) {
				break
			}
		}
	}
	return false
}

// manager renews as documented for the manager that package plan replaced: 30 days or a third of the lifetime before
// the expiry, and up to an hour earlier. After a failure it tries again in 30 to 60 minutes. It uses one authority and
// respects no limits.
type manager struct {
	cert   plan.Cert
	before time.Duration
	next   time.Time
	rng    *rand.Rand
}

func newManager(_ plan.Policy, c plan.Cert, draw float64) Planner {
	m := &manager{before: min(30*24*time.Hour, c.NotAfter.Sub(c.NotBefore)/3), rng: rand.New(rand.NewPCG(uint64(draw*1e9), 1))}
	m.Renewed(c, draw)
	return m
}

func (m *manager) Next(time.Time) plan.Try   { return plan.Try{At: m.next} }
func (m *manager) Began(time.Time, plan.Try) {}
func (m *manager) Renewed(c plan.Cert, _ float64) {
	m.cert = c
	m.next = c.NotAfter.Add(-m.before - time.Duration(m.rng.Int64N(int64(time.Hour))))
}

func (m *manager) Ended(now time.Time, _ plan.Try, o plan.Outcome) {
	if o.Kind != plan.Obtained {
		m.next = now.Add(30*time.Minute + time.Duration(m.rng.Int64N(int64(30*time.Minute))))
	}
}

// Report runs histories with the plan and with the manager that it replaced, and writes the sums of both.
func Report(out io.Writer, histories int) (ours Count, err error) {
	var before Count
	for seed := range uint64(histories) {
		ours.add(History(seed, func(p plan.Policy, c plan.Cert, draw float64) Planner { return plan.New(p, c, draw) }))
		before.add(History(seed, newManager))
	}
	_, err = fmt.Fprintf(out, "histories: %d of six lifetimes; the plan: %v; the replaced manager: %v\n", histories, ours, before)
	return ours, err
}

func (n *Count) add(c Count) {
	n.Renewals, n.Expiries = n.Renewals+c.Renewals, n.Expiries+c.Expiries
	n.Avoidable, n.Beyond = n.Avoidable+c.Avoidable, n.Beyond+c.Beyond
}

func (n Count) String() string {
	return fmt.Sprintf("%d renewals, %d expiries, %d of them avoidable, %d tries over a limit", n.Renewals, n.Expiries,
		n.Avoidable, n.Beyond)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
