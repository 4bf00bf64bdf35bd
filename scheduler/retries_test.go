package scheduler

import (
	"reflect"
	"testing"
)

func TestEffects(t *testing.T) {
	cases := []struct {
		name    string
		class   int
		result  Result
		again   bool
		refused bool // final answer of a request that is not retried
	}{
		{"idempotent after a reset", 0, Reset, true, false},
		{"idempotent by key after an error", 1, Errored, true, false},
		{"not idempotent after an error", 2, Errored, false, false},
		{"not idempotent after a reset", 2, Reset, false, false},
		{"not idempotent after a full queue", 2, QueueFull, true, false},
		{"not idempotent, node unreachable", 2, Unreachable, true, false},
		{"not idempotent, not started", 2, NotStarted, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.SlowStart = 0
			h := newHost(t, set)
			h.step(req("x", func(r *Request) { r.Class = c.class }))
			a := h.after(10*ms, h.end("x", c.result, 10*ms))
			refused, failed := finals(a)
			a = append(a, h.after(1000*ms, HealthChecked{Node: "a", OK: true})...)
			if got := len(sends(a)) > 0; got != c.again {
				t.Errorf("retried: %v", got)
			}
			if got := len(failed) > 0; got == c.again || len(refused) > 0 {
				t.Errorf("rejected %v, failed %v", refused, failed)
			}
		})
	}
}

func TestKeyedRepeatStaysInsideItsWindow(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", func(r *Request) { r.Class = 1 }), req("y", func(r *Request) { r.Class = 4 }))
	_, failed := finals(h.after(1000*ms, h.end("x", Errored, 1000*ms)))
	refused, _ := finals(h.step(h.end("y", Errored, 1000*ms)))
	if !reflect.DeepEqual(failed, []string{"x"}) || !reflect.DeepEqual(refused, []string{"y"}) {
		t.Errorf("failed %v, rejected %v", failed, refused)
	}
}

func TestAttemptLimit(t *testing.T) {
	h := newHost(t, testSettings())
	h.wantSends(h.step(req("x", nil)), "x")
	h.wantSends(h.after(10*ms, h.end("x", Errored, 10*ms)), "x")
	h.wantSends(h.after(10*ms, h.end("x", Errored, 10*ms)), "x")
	refused, _ := finals(h.after(10*ms, h.end("x", Errored, 10*ms)))
	if !reflect.DeepEqual(refused, []string{"x"}) {
		t.Errorf("rejected %v", refused)
	}
}

func TestRetryAllowance(t *testing.T) {
	set := testSettings()
	set.RetryBudgetSpan, set.RetryBudgetMin, set.RetryBudgetShare = 1000*ms, 1, 0.1
	h := newHost(t, set)
	h.step(req("x", nil))
	h.wantSends(h.after(10*ms, h.end("x", Errored, 10*ms)), "x")
	h.wantSends(h.after(10*ms, h.end("x", Errored, 10*ms)))
	if a := sends(h.idle(900 * ms)); len(a) != 0 {
		t.Errorf("started %v", a)
	}
	h.wantSends(h.idle(200*ms), "x")
}

func TestOneAttemptAtATime(t *testing.T) {
	h := newHost(t, testSettings())
	h.step(req("x", nil))
	if a := sends(h.idle(1900 * ms)); len(a) != 0 {
		t.Errorf("started %v", a)
	}
}

// lossyHost returns a front at which an attempt timed out although two later ones were answered.
func lossyHost(t *testing.T) *host {
	set := testSettings()
	set.CancelAttempts = true
	h := newHost(t, set)
	h.wantSends(h.step(req("x", nil), req("y", nil), req("z", nil)), "x", "y", "z")
	h.after(20*ms, h.end("y", OK, 20*ms), h.end("z", OK, 20*ms))
	h.after(1980*ms, h.end("x", TimedOut, 2000*ms))
	h.after(ms, HealthChecked{Node: "a", OK: true})
	return h
}

// A lost attempt was not cancelled once a retry would miss the objective, although a late answer may still have a value.
func TestAttemptLostAtALossyNodeIsRepeated(t *testing.T) {
	for _, out := range []Micros{120 * ms, 1000 * ms} {
		h := lossyHost(t)
		h.wantSends(h.step(req("u", nil), req("v", nil), req("w", nil)), "u", "v", "w")
		h.after(20*ms, h.end("v", OK, 20*ms), h.end("w", OK, 20*ms))
		var cancels []Action
		for _, a := range h.after(out - 20*ms) {
			if _, ok := a.(CancelAttempt); ok {
				cancels = append(cancels, a)
			}
		}
		if !reflect.DeepEqual(cancels, []Action{CancelAttempt{ID: "u", Attempt: 0}}) {
			t.Errorf("cancelled %v, want u", cancels)
		}
		h.wantSends(h.after(ms, h.end("u", Cancelled, out)), "u")
	}
}

func TestAttemptIsLeftAloneWhereNoneWasLost(t *testing.T) {
	set := testSettings()
	set.CancelAttempts = true
	h := newHost(t, set)
	h.step(req("u", nil), req("v", nil), req("w", nil))
	h.after(20*ms, h.end("v", OK, 20*ms), h.end("w", OK, 20*ms))
	for _, a := range h.idle(1000 * ms) {
		if _, ok := a.(CancelAttempt); ok {
			t.Errorf("an attempt was cancelled: %v", a)
		}
	}
}
