package scheduler_test

import (
	"cmp"
	"fmt"

	"otterturn/scheduler"
)

// perform adds an action to the digest and carries it out.
func (sim *digestSimulation) perform(a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		sim.add(kindStartAttempt, a.ID, a.Node, a.BeginBy)
		sim.start(a)
	case scheduler.Reject:
		sim.add(kindReject, a.ID, a.RetryAfter, string(a.Reason))
		delete(sim.requests, a.ID)
	case scheduler.Fail:
		sim.add(kindFail, a.ID, string(a.Reason))
		delete(sim.requests, a.ID)
	case scheduler.CancelAttempt:
		sim.add(kindCancelAttempt, a.ID, a.Attempt)
		sim.cancel(a)
	case scheduler.CheckHealth:
		sim.add(kindCheckHealth, a.Node)
		sim.healthChecks = append(sim.healthChecks, a.Node)
	case scheduler.SaveState:
		sim.add(kindSaveState)
	case scheduler.RequestCapacity:
		sim.add(kindRequestCapacity, a.To, a.Node, a.StartedAt, a.Units, a.MinUnits, a.Report.Served, a.Report.Units, a.Report.Time)
	case scheduler.GrantCapacity:
		sim.add(kindGrantCapacity, a.To, a.Node, a.Units, a.ValidUntil)
	case scheduler.SetTimer:
		sim.add(kindSetTimer, a.At)
		sim.timerAt = a.At
	default:
		sim.t.Fatalf("unknown action type %T", a)
	}
}

func (sim *digestSimulation) add(kind int, values ...any) {
	sim.kinds[kind]++
	fmt.Fprintln(sim.digest, append([]any{kind, int64(sim.now)}, values...)...)
}

// start schedules the end of an attempt. Five of six attempts succeed, and nodes whose names end in a multiple of 4 are
// slow.
func (sim *digestSimulation) start(a scheduler.StartAttempt) {
	r := sim.requests[a.ID]
	if r == nil {
		sim.t.Fatalf("%s is sent although it is not open", a.ID)
	}
	latency := scheduler.Micros(3000 + sim.rng.IntN(60_000))
	if slow := a.Node[len(a.Node)-1]%4 == 0; slow {
		latency *= 6
	}
	result := scheduler.OK
	if sim.rng.IntN(6) == 0 {
		result = []scheduler.Result{
			scheduler.Errored, scheduler.QueueFull, scheduler.TimedOut, scheduler.Unreachable, scheduler.Reset, scheduler.NotStarted,
			scheduler.Expired,
		}[sim.rng.IntN(7)]
	}
	if result == scheduler.TimedOut {
		latency = max(latency, r.deadline-sim.now)
	}
	sim.attempts = append(sim.attempts, openAttempt{
		id: a.ID, number: r.attempts, node: a.Node, sent: sim.now,
		endsAt: sim.now + latency, result: result,
	})
	r.attempts++
}

// cancel ends an attempt that the scheduler cancelled.
func (sim *digestSimulation) cancel(c scheduler.CancelAttempt) {
	for i := range sim.attempts {
		if a := &sim.attempts[i]; a.id == c.ID && a.number == c.Attempt {
			a.endsAt, a.result = cmp.Or(min(a.endsAt, sim.now+1000), sim.now), scheduler.Cancelled
		}
	}
}
