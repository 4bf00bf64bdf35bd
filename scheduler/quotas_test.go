package scheduler

import (
	"fmt"
	"math"
	"testing"
)

func TestLimitIsNeverPassed(t *testing.T) {
	h := newHost(t, testSettings())
	limited := func(r *Request) { r.Plan, r.Volume, r.Fronts, r.Units = 3, "v", 2, 1 }
	start, units := h.now, 0.0
	for i := range 2000 {
		id := "r" + string(rune('A'+i/64)) + string(rune('0'+i%64))
		for _, x := range sends(h.step(req(id, limited))) {
			units++
			h.after(ms, h.end(x, OK, ms))
		}
		h.now += 4 * ms
		// This host's part: half of 10 units a second, from an empty bucket.
		if most := 5 * float64(h.now-start) / float64(second); units > most {
			t.Fatalf("%v units after %v, at most %v", units, h.now-start, most)
		}
	}
	if units < 40 {
		t.Errorf("only %v units in 10 s", units)
	}
}

// A host that starts knows nothing of what its former self drew. Empty, its bucket kept the first requests of every
// volume waiting past their aim; what it has instead is a part of the slack, also if all hosts start anew twice.
func TestLimitStartsWithinTheSlack(t *testing.T) {
	set := testSettings()
	set.Plans[3].Slack = 6
	now, level := 1000*second, 20.0
	for start := range 3 {
		var hosts [2]*host
		for i := range hosts {
			hosts[i] = newHost(t, set)
			hosts[i].now, hosts[i].s.now, hosts[i].s.startedAt = now, now, now
		}
		for step := range 20_000 {
			if start < 2 && step > 20 { // it is killed again
				break
			}
			now, level = now+ms, min(20, level+0.01)
			for _, h := range hosts {
				h.now = now
				id := fmt.Sprint("r", start, "-", step)
				out := sends(h.step(req(id, func(r *Request) { r.Plan, r.Volume, r.Fronts, r.Units = 3, "v", 2, 1 })))
				if step == 0 && len(out) == 0 {
					t.Error("nothing leaves at the start")
				}
				for _, x := range out {
					level--
					h.step(h.end(x, OK, ms))
				}
			}
			if level < -6 {
				t.Fatalf("start %d: the store of all hosts is %.2f units below 0", start, -level)
			}
		}
	}
}

// Requests that were sent to nodes that are cut off have drawn their units, and no node has counted them. While they
// were held for another attempt the bucket filled again: once the cut was over they all arrived beside a whole burst.
func TestLimitHoldsBehindACut(t *testing.T) {
	for _, result := range []Result{Unreachable, TimedOut} {
		set := testSettings()
		set.MaxAttempts, set.SlowStart = 0, 0
		h := newHost(t, set)
		h.now += 10 * second // the bucket is full
		limited := func(r *Request) { r.Plan, r.Volume, r.Fronts, r.Units, r.TimeLeft = 3, "v", 2, 1, 60*second }
		counted, level, at := map[string]bool{}, 10.0, h.now
		for i := range 3000 {
			cut := i >= 200 && i < 1200
			var back []Event
			for _, x := range sends(h.last) {
				if cut {
					back = append(back, h.end(x, result, ms))
					continue
				}
				if level, at = min(10, level+5*float64(h.now-at)/float64(second)), h.now; !counted[x] {
					counted[x], level = true, level-1
				}
				if level < -1 {
					t.Fatalf("%v: %.1f units below the limit's store, %v after the start", result, -level, h.now)
				}
				back = append(back, h.end(x, OK, ms))
			}
			for _, a := range h.last {
				if p, is := a.(CheckHealth); is {
					back = append(back, HealthChecked{Node: p.Node, OK: !cut, Queue: -1})
				}
			}
			if i%20 == 0 {
				back = append(back, req(fmt.Sprint("r", i), limited))
			}
			h.after(5*ms, append(back, TimerFired{})...)
		}
		if len(counted) < 50 {
			t.Errorf("%v: only %d requests in 15 s", result, len(counted))
		}
	}
}

func TestLowBucketKeepsTokensForWhatIsWorthMore(t *testing.T) {
	set := testSettings()
	set.Classes[4].Priority = 4
	h := newHost(t, set)
	limited := func(class int) func(*Request) {
		return func(r *Request) { r.Class, r.Plan, r.Volume, r.TimeLeft = class, 3, "v", 20*second }
	}
	h.step(req("x", limited(0)))
	h.idle(350 * ms) // 3.5 units, of which a part of 20 keeps 7.5 from the class worth a quarter
	h.wantSends(h.step(req("y", limited(4))), "y")
	h.after(5*ms, h.end("y", OK, 5*ms))
	h.wantSends(h.idle(700 * ms))
	h.wantSends(h.idle(400*ms), "x")
}

func TestLowReservationIsKeptForWhatIsWorthMore(t *testing.T) {
	set := testSettings()
	set.Classes[4].Priority = 4
	h := newHost(t, set)
	v := h.s.volumeFor(req("x", func(r *Request) { r.Plan, r.Volume = 2, "v" }))
	v.reservationTag = float64(h.now - 100*ms)
	f := &flow{volume: v}
	var sh shard
	sh.busyFlows.Add(0, f)
	for class, want := range map[int]int{0: rankWeight, 4: rankReserved} {
		f.queued = []*request{{
			Request: Request{Units: 2}, class: &set.Classes[class], volume: v,
			objectiveAt: h.now + second, deadline: h.now + 2*second,
		}}
		if _, rank := h.s.nextRequest(h.s.nodesByName["a"], &sh, math.Inf(1)); rank != want {
			t.Errorf("class %d leaves at rank %d, want %d", class, rank, want)
		}
	}
}

func TestServiceElsewhereAdvancesTheReservation(t *testing.T) {
	for _, told := range []bool{true, false} {
		set := testSettings()
		set.ServedElsewhereTold = told
		h := newHost(t, set)
		reserved := func(r *Request) { r.Plan, r.Volume, r.Fronts = 2, "v", 2 }
		h.step(req("x", reserved))
		o := h.end("x", OK, 10*ms)
		o.ServedElsewhere = 1000
		h.after(10*ms, o)
		// The even part is 50 units a second; told, the volume has had its second and more of the whole 100.
		v, _ := h.s.volumes.Get("v")
		if due := v.reservationTag+1 <= float64(h.now); due == told {
			t.Errorf("told %v: tag due %v", told, due)
		}
	}
}
