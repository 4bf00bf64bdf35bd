package backoff

import (
	"slices"
	"testing"
	"time"
)

// All fronts start at the same time and call a service that serves one call at a time; callers give up after 2 s. A front
// must have a new endpoint list within 6 s, so each must be served by then. A spread proportional to the fleet's size
// delayed the first calls of 1,024 fronts by up to a minute. The service has capacity for all fronts in half of the 6 s.
func TestSimultaneousStartsAreServed(t *testing.T) {
	const patience, timeLimit = 2 * time.Second, 6 * time.Second
	for _, fronts := range []int{10, 80, 350, 1024} {
		config := Config{
			Min: 50 * time.Millisecond, Max: 1300 * time.Millisecond,
			Spread: min(time.Duration(fronts)*60*time.Millisecond, 3*time.Second),
		}
		if served, took := simulate(fronts, config, timeLimit/2/time.Duration(fronts), patience); served < fronts || took > timeLimit {
			t.Errorf("%d fronts: %d served, the last after %v", fronts, served, took)
		}
	}
}

// The mean pause never exceeds Max, whatever the number of failures and the spread: an update may be available at any time.
func TestPausesAreBounded(t *testing.T) {
	b := New(Config{Min: 50 * time.Millisecond, Max: time.Second, Spread: time.Minute}, 1)
	for i := range 100 {
		if pause := b.Next(); pause > 1500*time.Millisecond {
			t.Errorf("pause %d is %v, want at most 1.5 times Max", i, pause)
		}
	}
}

// simulate runs fronts that call until they are served once. It returns how many were served, and when the last one was.
func simulate(fronts int, config Config, serviceTime, patience time.Duration) (served int, lastServed time.Duration) {
	type call struct {
		at   time.Duration
		from *Backoff
	}
	var calls []call
	for i := range fronts {
		b := New(config, int64(i))
		calls = append(calls, call{b.InitialDelay(), b})
	}
	freeAt := time.Duration(0) // when the service becomes free
	for len(calls) > 0 && lastServed < time.Hour {
		i := 0
		for j, c := range calls {
			if c.at < calls[i].at {
				i = j
			}
		}
		c := calls[i]
		calls = slices.Delete(calls, i, i+1)
		begin := max(c.at, freeAt)
		// After the caller has given up, the service works on the call all the same.
		if lastServed = max(lastServed, c.at); begin-c.at+serviceTime > patience {
			freeAt = min(begin, c.at+patience) + serviceTime
			calls = append(calls, call{c.at + patience + c.from.Next(), c.from})
			continue
		}
		freeAt, lastServed = begin+serviceTime, max(lastServed, begin+serviceTime)
		served++
	}
	return served, lastServed
}

// A service that is not shared is called at once and retried soon, but with growing pauses.
func TestUnsharedServiceIsRetriedSoon(t *testing.T) {
	b := New(Config{Min: 50 * time.Millisecond, Max: time.Second}, 1)
	if first := b.InitialDelay(); first != 0 {
		t.Errorf("first call is delayed by %v", first)
	}
	for i := range 20 {
		if pause := b.Next(); pause < 25*time.Millisecond || pause > 1500*time.Millisecond || i > 8 && pause < 500*time.Millisecond {
			t.Errorf("pause %d is %v", i, pause)
		}
	}
	b.Reset()
	if pause := b.Next(); pause > 75*time.Millisecond {
		t.Errorf("pause after Reset is %v, want at most 75 ms", pause)
	}
}
