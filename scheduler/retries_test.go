package scheduler

import (
	"reflect"
	"testing"
)

func TestRetryFollowsIdempotency(t *testing.T) {
	cases := []struct {
		name     string
		class    int
		result   Result
		retried  bool
		rejected bool // final answer of a request that is not retried
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
			settings := testSettings()
			settings.SlowStart = 0
			h := newHarness(t, settings)
			h.step(req("x", func(r *Request) { r.Class = c.class }))
			a := h.after(10*ms, h.end("x", c.result, 10*ms))
			rejected, failed := finalAnswers(a)
			a = append(a, h.after(1000*ms, HealthChecked{Node: "a", OK: true})...)
			if got := len(startedIDs(a)) > 0; got != c.retried {
				t.Errorf("retried: %v", got)
			}
			if got := len(failed) > 0; got == c.retried || len(rejected) > 0 {
				t.Errorf("rejected %v, failed %v", rejected, failed)
			}
		})
	}
}

func TestRetryStaysWithinDedupWindow(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", func(r *Request) { r.Class = 1 }), req("y", func(r *Request) { r.Class = 4 }))
	_, failed := finalAnswers(h.after(1000*ms, h.end("x", Errored, 1000*ms)))
	rejected, _ := finalAnswers(h.step(h.end("y", Errored, 1000*ms)))
	if !reflect.DeepEqual(failed, []string{"x"}) || !reflect.DeepEqual(rejected, []string{"y"}) {
		t.Errorf("failed %v, rejected %v", failed, rejected)
	}
}

func TestMaxAttempts(t *testing.T) {
	h := newHarness(t, testSettings())
	h.wantStarted(h.step(req("x", nil)), "x")
	h.wantStarted(h.after(10*ms, h.end("x", Errored, 10*ms)), "x")
	h.wantStarted(h.after(10*ms, h.end("x", Errored, 10*ms)), "x")
	rejected, _ := finalAnswers(h.after(10*ms, h.end("x", Errored, 10*ms)))
	if !reflect.DeepEqual(rejected, []string{"x"}) {
		t.Errorf("rejected %v", rejected)
	}
}

func TestRetryBudget(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetSpan, settings.RetryBudgetMin, settings.RetryBudgetShare = 1000*ms, 1, 0.1
	h := newHarness(t, settings)
	h.step(req("x", nil))
	h.wantStarted(h.after(10*ms, h.end("x", Errored, 10*ms)), "x")
	h.wantStarted(h.after(10*ms, h.end("x", Errored, 10*ms)))
	if a := startedIDs(h.advance(900 * ms)); len(a) != 0 {
		t.Errorf("started %v", a)
	}
	h.wantStarted(h.advance(200*ms), "x")
}

func TestOneAttemptAtATime(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(req("x", nil))
	if a := startedIDs(h.advance(1900 * ms)); len(a) != 0 {
		t.Errorf("started %v", a)
	}
}

// newHarnessWithLoss returns a front at which an attempt timed out although two later ones were answered.
func newHarnessWithLoss(t *testing.T) *harness {
	settings := testSettings()
	settings.CancelAttempts = true
	h := newHarness(t, settings)
	h.wantStarted(h.step(req("x", nil), req("y", nil), req("z", nil)), "x", "y", "z")
	h.after(20*ms, h.end("y", OK, 20*ms), h.end("z", OK, 20*ms))
	h.after(1980*ms, h.end("x", TimedOut, 2000*ms))
	h.after(ms, HealthChecked{Node: "a", OK: true})
	return h
}

// A lost attempt was not cancelled once a retry would miss the objective, although a late answer may still have a value.
func TestLostAttemptIsCancelledAndRetried(t *testing.T) {
	for _, outstandingFor := range []Micros{120 * ms, 1000 * ms} {
		h := newHarnessWithLoss(t)
		h.wantStarted(h.step(req("u", nil), req("v", nil), req("w", nil)), "u", "v", "w")
		h.after(20*ms, h.end("v", OK, 20*ms), h.end("w", OK, 20*ms))
		var cancels []Action
		for _, a := range h.after(outstandingFor - 20*ms) {
			if _, ok := a.(CancelAttempt); ok {
				cancels = append(cancels, a)
			}
		}
		if !reflect.DeepEqual(cancels, []Action{CancelAttempt{ID: "u", Attempt: 0}}) {
			t.Errorf("cancelled %v, want u", cancels)
		}
		h.wantStarted(h.after(ms, h.end("u", Cancelled, outstandingFor)), "u")
	}
}

func TestAttemptIsKeptWithoutRecentLoss(t *testing.T) {
	settings := testSettings()
	settings.CancelAttempts = true
	h := newHarness(t, settings)
	h.step(req("u", nil), req("v", nil), req("w", nil))
	h.after(20*ms, h.end("v", OK, 20*ms), h.end("w", OK, 20*ms))
	for _, a := range h.advance(1000 * ms) {
		if _, ok := a.(CancelAttempt); ok {
			t.Errorf("an attempt was cancelled: %v", a)
		}
	}
}
