package backoff

import (
	"slices"
	"testing"
	"time"
)

// Fronts that start at one instant before a service where calls wait in turn, and those that waited for 2 s are dropped
// when they are reached. A front counts as told 6 s after there is news, so each is to be served by then: a spread that
// grew with the fleet had 1,024 fronts begin within a minute. The service bears so many calls in half of that time.
func TestFrontsThatStartTogetherAreServed(t *testing.T) {
	const patience, told = 2 * time.Second, 6 * time.Second
	for _, fronts := range []int{10, 80, 350, 1024} {
		f := Config{Min: 50 * time.Millisecond, Max: 1300 * time.Millisecond, Spread: min(time.Duration(fronts)*60*time.Millisecond, 3*time.Second)}
		if served, took := play(fronts, f, told/2/time.Duration(fronts), patience); served < fronts || took > told {
			t.Errorf("%d fronts: %d served within %v", fronts, served, took)
		}
	}
}

// No pause is longer, on the mean, than Max, however many calls failed and callers there are: news may come right then.
func TestPausesAreBounded(t *testing.T) {
	p := New(Config{Min: 50 * time.Millisecond, Max: time.Second, Spread: time.Minute}, 1)
	for i := range 100 {
		if wait := p.Next(); wait > 1500*time.Millisecond {
			t.Errorf("pause %d: %v", i, wait)
		}
	}
}

// play has every front call until it is served once, and tells how many were and when the last one was.
func play(fronts int, f Config, each, patience time.Duration) (served int, took time.Duration) {
	type call struct {
		at   time.Duration
		from *Backoff
	}
	var calls []call
	for i := range fronts {
		p := New(f, int64(i))
		calls = append(calls, call{p.InitialDelay(), p})
	}
	free := time.Duration(0) // the service is, from then on
	for len(calls) > 0 && took < time.Hour {
		i := 0
		for j, c := range calls {
			if c.at < calls[i].at {
				i = j
			}
		}
		c := calls[i]
		calls = slices.Delete(calls, i, i+1)
		begin := max(c.at, free)
		if took = max(took, c.at); begin-c.at+each > patience { // its work is lost all the same
			free = min(begin, c.at+patience) + each
			calls = append(calls, call{c.at + patience + c.from.Next(), c.from})
			continue
		}
		free, took = begin+each, max(took, begin+each)
		served++
	}
	return served, took
}

// A service of a front's own is asked at once, and again soon, but not without end.
func TestOwnService(t *testing.T) {
	p := New(Config{Min: 50 * time.Millisecond, Max: time.Second}, 1)
	if first := p.InitialDelay(); first != 0 {
		t.Errorf("first call after %v", first)
	}
	for i := range 20 {
		if wait := p.Next(); wait < 25*time.Millisecond || wait > 1500*time.Millisecond || i > 8 && wait < 500*time.Millisecond {
			t.Errorf("wait %d: %v", i, wait)
		}
	}
	p.Reset()
	if wait := p.Next(); wait > 75*time.Millisecond {
		t.Errorf("after a success: %v", wait)
	}
}
