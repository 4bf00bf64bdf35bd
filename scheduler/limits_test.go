package scheduler

import (
	"fmt"
	"math"
	"testing"
)

func TestLimitIsNeverExceeded(t *testing.T) {
	h := newHarness(t, testSettings())
	limited := func(r *Request) { r.Plan, r.Volume, r.Fronts, r.Units = 3, "v", 2, 1 }
	start, units := h.now, 0.0
	for i := range 2000 {
		id := "r" + string(rune('A'+i/64)) + string(rune('0'+i%64))
		for _, x := range startedIDs(h.step(req(id, limited))) {
			units++
			h.after(ms, h.end(x, OK, ms))
		}
		h.now += 4 * ms
		// This front's part is half of 10 units per second, from an empty bucket.
		if maxUnits := 5 * float64(h.now-start) / float64(second); units > maxUnits {
			t.Fatalf("%v units after %v µs, want at most %v", units, h.now-start, maxUnits)
		}
	}
	if units < 40 {
		t.Errorf("%v units in 10 s, want at least 40", units)
	}
}

// A front that starts does not know what its former process drew. An empty bucket delayed the first requests of every
// volume beyond their objective. Instead the bucket starts with a part of the slack, which holds even if all fronts
// restart twice.
func TestRestartsOverdrawAtMostSlack(t *testing.T) {
	settings := testSettings()
	settings.Plans[3].Slack = 6
	now, level := 1000*second, 20.0
	for start := range 3 {
		var fronts [2]*harness
		for i := range fronts {
			fronts[i] = newHarness(t, settings)
			fronts[i].now, fronts[i].s.now, fronts[i].s.startedAt = now, now, now
		}
		for step := range 20_000 {
			if start < 2 && step > 20 { // the front is killed again
				break
			}
			now, level = now+ms, min(20, level+0.01)
			for _, h := range fronts {
				h.now = now
				id := fmt.Sprint("r", start, "-", step)
				started := startedIDs(h.step(req(id, func(r *Request) { r.Plan, r.Volume, r.Fronts, r.Units = 3, "v", 2, 1 })))
				if step == 0 && len(started) == 0 {
					t.Error("no request is sent at the start")
				}
				for _, x := range started {
					level--
					h.step(h.end(x, OK, ms))
				}
			}
			if level < -6 {
				t.Fatalf("start %d: the bucket of all fronts is overdrawn by %.2f units", start, -level)
			}
		}
	}
}

// Requests sent to nodes that are cut off have drawn their units, but no node has counted them. While they were queued
// for a retry, the bucket filled again: after the cut, all of them arrived in addition to a whole burst.
func TestLimitHoldsAfterNetworkCut(t *testing.T) {
	for _, result := range []Result{Unreachable, TimedOut} {
		settings := testSettings()
		settings.MaxAttempts, settings.SlowStart = 0, 0
		h := newHarness(t, settings)
		h.now += 10 * second // the bucket is full
		limited := func(r *Request) { r.Plan, r.Volume, r.Fronts, r.Units, r.TimeLeft = 3, "v", 2, 1, 60*second }
		counted, level, at := map[string]bool{}, 10.0, h.now
		for i := range 3000 {
			cut := i >= 200 && i < 1200
			var events []Event
			for _, x := range startedIDs(h.lastActions) {
				if cut {
					events = append(events, h.end(x, result, ms))
					continue
				}
				if level, at = min(10, level+5*float64(h.now-at)/float64(second)), h.now; !counted[x] {
					counted[x], level = true, level-1
				}
				if level < -1 {
					t.Fatalf("%v: the limit's bucket is overdrawn by %.1f units at %v", result, -level, h.now)
				}
				events = append(events, h.end(x, OK, ms))
			}
			for _, a := range h.lastActions {
				if p, is := a.(CheckHealth); is {
					events = append(events, HealthChecked{Node: p.Node, OK: !cut, Queue: -1})
				}
			}
			if i%20 == 0 {
				events = append(events, req(fmt.Sprint("r", i), limited))
			}
			h.after(5*ms, append(events, TimerFired{})...)
		}
		if len(counted) < 50 {
			t.Errorf("%v: %d requests in 15 s, want at least 50", result, len(counted))
		}
	}
}

func TestLowBucketKeepsTokensForHigherPriority(t *testing.T) {
	settings := testSettings()
	settings.Classes[4].Priority = 4
	h := newHarness(t, settings)
	limited := func(class int) func(*Request) {
		return func(r *Request) { r.Class, r.Plan, r.Volume, r.TimeLeft = class, 3, "v", 20*second }
	}
	h.step(req("x", limited(0)))
	h.advance(350 * ms) // a level of 3.5 units; a class of a quarter of the priority leaves 7.5 of 20 in the bucket
	h.wantStarted(h.step(req("y", limited(4))), "y")
	h.after(5*ms, h.end("y", OK, 5*ms))
	h.wantStarted(h.advance(700 * ms))
	h.wantStarted(h.advance(400*ms), "x")
}

func TestLowReservationIsKeptForHigherPriority(t *testing.T) {
	settings := testSettings()
	settings.Classes[4].Priority = 4
	h := newHarness(t, settings)
	v := h.s.volumeFor(req("x", func(r *Request) { r.Plan, r.Volume = 2, "v" }))
	v.reservationTag = float64(h.now - 100*ms)
	f := &flow{volume: v}
	var sh shard
	sh.busyFlows.Add(0, f)
	for class, want := range map[int]int{0: rankWeight, 4: rankReserved} {
		f.queued = []*request{{
			Request: Request{Units: 2}, class: &settings.Classes[class], volume: v,
			objectiveAt: h.now + second, deadline: h.now + 2*second,
		}}
		if _, rank := h.s.nextRequest(h.s.nodesByName["a"], &sh, math.Inf(1)); rank != want {
			t.Errorf("class %d has rank %d, want %d", class, rank, want)
		}
	}
}

func TestServiceElsewhereAdvancesReservationTag(t *testing.T) {
	for _, reported := range []bool{true, false} {
		settings := testSettings()
		settings.ServedElsewhereReported = reported
		h := newHarness(t, settings)
		reserved := func(r *Request) { r.Plan, r.Volume, r.Fronts = 2, "v", 2 }
		h.step(req("x", reserved))
		o := h.end("x", OK, 10*ms)
		o.ServedElsewhere = 1000
		h.after(10*ms, o)
		// The even part is 50 units per second. If the units served elsewhere are reported, the volume has had more than
		// one second of the whole 100.
		v, _ := h.s.volumes.Get("v")
		if due := v.reservationTag+1 <= float64(h.now); due == reported {
			t.Errorf("units reported %v: reservation tag due %v", reported, due)
		}
	}
}
