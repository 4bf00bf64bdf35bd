// Package histories plays certificates' years in virtual time against authorities that fail at random, and counts what
// ran out that need not have.
package histories

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"otterturn/internal/certs/plan"
)

// Planner is what History plays: this package's plan, or another way to renew.
type Planner interface {
	Next(now time.Time) plan.Try
	Began(now time.Time, t plan.Try)
	Ended(now time.Time, t plan.Try, o plan.Outcome)
	Renewed(c plan.Cert, draw float64)
}

// spell is a stretch of time in which an authority answers every try alike.
type spell struct {
	from, to time.Time
	outcome  plan.Outcome
}

// Count is what a history came to.
type Count struct {
	Renewals, Expiries, Avoidable int
	Beyond                        int // tries beyond an authority's limit, or before its Retry-After
}

// History plays one certificate's years against authorities that fail at random, in virtual time: a draw of the
// lifetime, of outages, of limits and of the length of a try. An expiry is avoidable if in the time that was left as
// renewal was due some authority was usable, without a limit in the way, for a stretch that is longer than two
// spacings of a plan at that time and two tries.
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
		if at.After(cert.NotAfter) { // nothing more is tried in time
			n.Expiries++
			if avoidable(policy, cert, spells, took) {
				n.Avoidable++
			}
			// Service is restored by hand, and the years go on.
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

// drawSpells draws an authority's bad times: short ones often, long ones seldom, some that last for most of a
// lifetime.
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

// at1 is how a try ends that begins at a time: well where no bad spell touches it.
func at1(spells []spell, begin time.Time, took time.Duration) plan.Outcome {
	for _, s := range spells {
		if s.from.Before(begin.Add(took)) && begin.Before(s.to) {
			return s.outcome
		}
	}
	return plan.Outcome{Kind: plan.Obtained}
}

// avoidable tells whether an authority was usable for long enough in the last third of a certificate's life.
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
				// A limit of five tries in an hour holds a sixth one off for as long.
				if until.Sub(at) > 2*(measure.Spacing(at)+took)+policy.Authorities[0].Window {
					return true
				}
			}
			at = later(at, s.to.Add(s.outcome.RetryAfter)) // asked in its last moment, it holds off for so long
			if !at.Before(c.NotAfter) {
				break
			}
		}
	}
	return false
}

// manager is the way of renewal that the plan replaced, as its documentation has it: up to an hour ahead of the
// time before the end, and after a failure again in half an hour to an hour; one authority, no limits kept.
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

// Report plays histories with the plan and with the manager before, and writes what they came to.
func Report(out io.Writer, histories int) (ours Count, err error) {
	var before Count
	for seed := range uint64(histories) {
		ours.add(History(seed, func(p plan.Policy, c plan.Cert, draw float64) Planner { return plan.New(p, c, draw) }))
		before.add(History(seed, newManager))
	}
	_, err = fmt.Fprintf(out, "histories: %d of six lifetimes; the plan %v; the manager before %v\n", histories, ours, before)
	return ours, err
}

func (n *Count) add(c Count) {
	n.Renewals, n.Expiries = n.Renewals+c.Renewals, n.Expiries+c.Expiries
	n.Avoidable, n.Beyond = n.Avoidable+c.Avoidable, n.Beyond+c.Beyond
}

func (n Count) String() string {
	return fmt.Sprintf("%d renewals, %d expiries, %d of them avoidable, %d tries beyond a limit", n.Renewals, n.Expiries,
		n.Avoidable, n.Beyond)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
