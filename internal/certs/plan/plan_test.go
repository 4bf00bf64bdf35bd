package plan

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

const day = 24 * time.Hour

func newPolicy(n int) Policy {
	p := Policy{MinSpacing: 30 * time.Second, MaxSpacing: 12 * time.Hour}
	for i := range n {
		p.Authorities = append(p.Authorities, Authority{Name: string(rune('a' + i)), Tries: 5, Window: time.Hour})
	}
	return p
}

func TestDueWithThirdOfLifetimeLeftAndJitter(t *testing.T) {
	c := Cert{t0, t0.Add(90 * day)}
	for jitter, want := range map[float64]time.Duration{0: 60 * day, 0.5: 60*day - 36*time.Hour} {
		if got := New(newPolicy(1), c, jitter).Due().Sub(t0); got != want {
			t.Errorf("jitter %v: due after %v, want %v", jitter, got, want)
		}
	}
	p := New(newPolicy(1), c, 0.5)
	p.SetWindow(Window{t0.Add(10 * day), t0.Add(12 * day)})
	if got := p.Next(t0); got.At.Sub(t0) != 11*day || got.Why != "the authority asked for it" {
		t.Errorf("with a suggested window from day 10 to day 12: %+v, want day 11", got)
	}
	p.SetWindow(Window{t0.Add(89 * day), t0.Add(91 * day)})
	if got := p.Due().Sub(t0); got != 81*day {
		t.Errorf("with a suggested window around the expiry: due after %v, want a tenth of the lifetime left", got)
	}
	p.SetWindow(Window{t0.Add(2), t0.Add(1)}) // reversed
	if got := p.Due().Sub(t0); got != 81*day {
		t.Errorf("a window that ends before it starts moved the due time to %v", got)
	}
}

func TestTriesBecomeMoreFrequentBeforeExpiry(t *testing.T) {
	pol := newPolicy(1)
	pol.Authorities[0].Tries = 0
	p := New(pol, Cert{t0, t0.Add(90 * day)}, 0)
	var gaps []time.Duration
	now := p.Due()
	for tries := 0; now.Before(t0.Add(90*day)) && tries < 10_000; tries++ {
		next := p.Next(now)
		p.RecordTry(next.At, next)
		p.RecordOutcome(next.At, next, Outcome{Kind: Stalled})
		gaps = append(gaps, p.Next(next.At).At.Sub(next.At))
		now = p.Next(next.At).At
	}
	first, last := gaps[0], gaps[len(gaps)-1]
	if first != pol.MaxSpacing || last != pol.MinSpacing || len(gaps) > 500 {
		t.Errorf("%d tries, %v apart at the start and %v at the end", len(gaps), first, last)
	}
	for i := 1; i < len(gaps); i++ {
		if gaps[i] > gaps[i-1] {
			t.Fatalf("the gap between tries grew from %v to %v", gaps[i-1], gaps[i])
		}
	}
}

func TestNextTryAfterEachOutcome(t *testing.T) {
	for _, c := range []struct {
		outcome   Outcome
		authority int
		after     time.Duration // from now
	}{
		{Outcome{Kind: ServerError}, 0, 12 * time.Hour},
		{Outcome{Kind: RateLimited, RetryAfter: 20 * time.Hour}, 0, 20 * time.Hour},
		{Outcome{Kind: RateLimited, RetryAfter: 10 * day}, 1, 0}, // too long to wait, so the second authority is next
		{Outcome{Kind: NoAccount}, 0, 0},
		{Outcome{Kind: Local}, 0, 12 * time.Hour},
	} {
		p := New(newPolicy(2), Cert{t0, t0.Add(90 * day)}, 0)
		now := p.Due()
		try := p.Next(now)
		p.RecordTry(now, try)
		p.RecordOutcome(now, try, c.outcome)
		if got := p.Next(now); got.Authority != c.authority || got.At.Sub(now) != c.after {
			t.Errorf("%v: authority %d after %v, want authority %d after %v",
				c.outcome, got.Authority, got.At.Sub(now), c.authority, c.after)
		}
	}
	p := New(newPolicy(2), Cert{t0, t0.Add(90 * day)}, 0)
	now := p.Due()
	for range fallbackFailures {
		try := p.Next(now)
		now = try.At
		p.RecordTry(now, try)
		p.RecordOutcome(now, try, Outcome{Kind: Unreachable})
	}
	if got := p.Next(now); got.Authority != 1 || got.Challenge != fallbackFailures {
		t.Errorf("after %d consecutive failures: %+v, want the second authority and the next challenge type", fallbackFailures, got)
	}
}

func TestRenewalRequestedByOperator(t *testing.T) {
	p := New(newPolicy(1), Cert{t0, t0.Add(90 * day)}, 0)
	p.RequestRenewal()
	if got := p.Next(t0.Add(day)); !got.At.Equal(t0.Add(day)) {
		t.Errorf("after the operator's request: %+v, want a try at once", got)
	}
	p.ReplaceCert(Cert{t0.Add(day), t0.Add(91 * day)}, 0)
	if got := p.Next(t0.Add(day)); !got.At.Equal(t0.Add(61 * day)) {
		t.Errorf("after the renewal: %+v, want a try when the new certificate is due", got)
	}
}

func TestLevels(t *testing.T) {
	p := New(newPolicy(1), Cert{t0, t0.Add(90 * day)}, 0)
	for at, want := range map[time.Duration]Level{0: Fine, 61 * day: Fine, 76 * day: Late, 88 * day: Close, 90 * day: Expired} {
		if got := p.Level(t0.Add(at)); got != want {
			t.Errorf("after %v: level %v, want %v", at, got, want)
		}
	}
}

// Checks the plan after random outcomes while the system clock is set forward and back: the next try is always at an
// existing authority, and once the clock is right again it is at most 14 hours away.
func TestClockSetForwardAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(newPolicy(2), Cert{t0, t0.Add(90 * day)}, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
		now := t0.Add(70 * day)
		for range rapid.IntRange(1, 30).Draw(t, "tries") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(30*day), int64(30*day)).Draw(t, "step")))
			try := p.Next(now)
			if try.Authority < 0 || try.Authority > 1 {
				t.Fatalf("try at an unknown authority: %+v", try)
			}
			p.RecordTry(now, try)
			p.RecordOutcome(now, try, Outcome{Kind: Kind(rapid.IntRange(1, int(Busy)).Draw(t, "kind"))})
		}
		now = t0.Add(80 * day)
		if wait := p.Next(now).At.Sub(now); wait > 14*time.Hour {
			t.Fatalf("the next try is %v away", wait)
		}
	})
}
