package scheduler_test

import (
	"cmp"
	"fmt"

	"otterturn/scheduler"
)

// perform adds an action to the digest and carries it out.
func (w *digestSimulation) perform(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		w.add(kindStartAttempt, a.ID, a.Node, a.BeginBy)
		w.start(a)
	case scheduler.Reject:
		w.add(kindReject, a.ID, a.RetryAfter, string(a.Reason))
		delete(w.requests, a.ID)
	case scheduler.Fail:
		w.add(kindFail, a.ID, string(a.Reason))
		delete(w.requests, a.ID)
	case scheduler.CancelAttempt:
		w.add(kindCancelAttempt, a.ID, a.Attempt)
		w.cancel(a)
	case scheduler.CheckHealth:
		w.add(kindCheckHealth, a.Node)
		w.healthChecks = append(w.healthChecks, a.Node)
	case scheduler.SaveState:
		w.add(kindSaveState)
	case scheduler.RequestCapacity:
		w.add(kindRequestCapacity, a.To, a.Node, a.StartedAt, a.Units, a.MinUnits, a.Report.Served, a.Report.Units, a.Report.Time)
	case scheduler.GrantCapacity:
		w.add(kindGrantCapacity, a.To, a.Node, a.Units, a.ValidUntil)
	case scheduler.SetTimer:
		w.add(kindSetTimer, a.At)
		w.timerAt = a.At
	default:
		w.t.Fatalf("unknown action type %T", a)
	}
}

func (w *digestSimulation) add(kind int, values ...any) {
	w.kinds[kind]++
	fmt.Fprintln(w.digest, append([]any{kind, int64(w.now)}, values...)...)
}

// start schedules the end of an attempt. Five of six attempts succeed, and nodes whose names end in a multiple of 4 are
// slow.
func (w *digestSimulation) start(a scheduler.StartAttempt) {
	r := w.requests[a.ID]
	if r == nil {
		w.t.Fatalf("%s is sent although it is not open", a.ID)
	}
	latency := scheduler.Micros(3000 + w.rng.IntN(60_000))
	if slow := a.Node[len(a.Node)-1]%4 == 0; slow {
		latency *= 6
	}
	result := scheduler.OK
	if w.rng.IntN(6) == 0 {
		result = []scheduler.Result{
			scheduler.Errored, scheduler.QueueFull, scheduler.TimedOut, scheduler.Unreachable, scheduler.Reset, scheduler.NotStarted,
			scheduler.Expired,
		}[w.rng.IntN(7)]
	}
	if result == scheduler.TimedOut {
		latency = max(latency, r.deadline-w.now)
	}
	w.attempts = append(w.attempts, openAttempt{
		id: a.ID, number: r.attempts, node: a.Node, sent: w.now,
		endsAt: w.now + latency, result: result,
	})
	r.attempts++
}

// cancel ends an attempt that the scheduler cancelled.
func (w *digestSimulation) cancel(c scheduler.CancelAttempt) {
	for i := range w.attempts {
		if a := &w.attempts[i]; a.id == c.ID && a.number == c.Attempt {
			a.endsAt, a.result = cmp.Or(min(a.endsAt, w.now+1000), w.now), scheduler.Cancelled
		}
	}
}
