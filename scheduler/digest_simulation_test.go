package scheduler_test

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"otterturn/scheduler"
	"otterturn/scheduler/slowstart"
)

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	id     string
	number int
	node   string
	sent   scheduler.Micros
	endsAt scheduler.Micros
	result scheduler.Result
}

// openRequest is a request without a final answer.
type openRequest struct {
	deadline scheduler.Micros
	attempts int
}

// digestSimulation drives a scheduler through a seeded random schedule that reacts to its actions.
type digestSimulation struct {
	t            *testing.T
	rng          *rand.Rand
	scheduler    *scheduler.Scheduler
	now          scheduler.Micros
	nodes        []scheduler.Endpoint
	requests     map[string]*openRequest
	attempts     []openAttempt
	healthChecks []string
	timerAt      scheduler.Micros
	created      int

	digest  hash.Hash
	events  int
	actions int
	kinds   [kindCount]int
}

// Kinds of actions in the digest. Their numbers are part of the digest.
const (
	kindStartAttempt = iota
	kindReject
	kindFail
	kindCancelAttempt
	kindCheckHealth
	kindSaveState
	kindRequestCapacity
	kindGrantCapacity
	kindSetTimer
	kindCount
)

func digestSettings() scheduler.Settings {
	const ms = scheduler.Micros(1000)
	return scheduler.Settings{
		Fronts: 3, FrontIndex: 1, PeerMessages: true, Tick: ms,
		Classes: []scheduler.Class{
			{LatencyObjective: 150 * ms, Idempotency: scheduler.Idempotent, Priority: 3},
			{LatencyObjective: 300 * ms, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameZone, DedupWindow: 2500 * ms, Priority: 2},
			{LatencyObjective: 750 * ms, Idempotency: scheduler.NotIdempotent, Priority: 1},
			{LatencyObjective: 200 * ms, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameShard, DedupWindow: 900 * ms, Priority: 2, InOrder: true},
			{LatencyObjective: 400 * ms, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.AllNodes, DedupWindow: 2000 * ms, Priority: 0.5},
		},
		Plans: []scheduler.Plan{
			{Weight: 1},
			{Weight: 2, Reservation: 40},
			{Weight: 1, Limit: 60, Burst: 90, Slack: 9},
		},
		MeanUnits: 2.5, MaxUnits: 8, ServedElsewhereTold: true, MaxOpen: 150, MaxAttempts: 3, HealthChecks: true, CancelAttempts: true,
		RetryAfter: true, MaxRetryAfter: 2000 * ms,
		InitialCapacity: 0.25, SlowStart: 10_000 * ms, OverloadMultiple: 4, OverloadSpan: 1000 * ms, SlowStartUnits: 12, KeyPause: 200 * ms,
		RetryBudgetSpan: 5000 * ms, RetryBudgetMin: 10, RetryBudgetShare: 0.3,
		Lease: 2000 * ms, RecordLifetime: 30_000 * ms,
	}
}

func newDigestSimulation(t *testing.T) *digestSimulation {
	t.Helper()
	s, err := scheduler.New(digestSettings(), 11)
	if err != nil {
		t.Fatal(err)
	}
	w := &digestSimulation{
		t: t, rng: rand.New(rand.NewPCG(7, 0)), scheduler: s, now: 1_800_000_000_000_000,
		requests: map[string]*openRequest{}, digest: xxhash.New(),
	}
	for i := range 12 {
		w.nodes = append(w.nodes, scheduler.Endpoint{Node: fmt.Sprint("node-", i), Zone: i % 3, Shard: i % 9})
	}
	w.step(scheduler.EndpointsChanged{Full: true, Endpoints: slices.Clone(w.nodes)})
	return w
}

// advance lets some time pass and handles the events that are due then and a random one.
func (w *digestSimulation) advance() {
	w.now += scheduler.Micros(1 + w.rng.IntN(4000))
	var events []scheduler.Event
	if w.timerAt > 0 && w.now >= w.timerAt {
		w.timerAt = 0
		events = append(events, scheduler.TimerFired{})
	}
	events = append(events, w.endedAttempts()...)
	events = append(events, w.endedHealthChecks()...)
	events = append(events, w.randomEvent()...)
	w.step(events...)
}

// endedAttempts returns the outcomes that are due.
func (w *digestSimulation) endedAttempts() (events []scheduler.Event) {
	w.attempts = slices.DeleteFunc(w.attempts, func(a openAttempt) bool {
		if a.endsAt > w.now {
			return false
		}
		_, owed := w.requests[a.id]
		e := scheduler.AttemptEnded{
			ID: a.id, Attempt: a.number, Result: a.result, Latency: w.now - a.sent,
			Final: a.result == scheduler.OK || !owed, Alive: w.rng.IntN(2) == 0,
		}
		if w.rng.IntN(4) == 0 {
			e.ServedElsewhere = float64(w.rng.IntN(20))
		}
		if e.Final {
			delete(w.requests, a.id)
		}
		events = append(events, e)
		return true
	})
	return events
}

func (w *digestSimulation) endedHealthChecks() (events []scheduler.Event) {
	for _, node := range w.healthChecks {
		events = append(events, scheduler.HealthChecked{Node: node, OK: w.rng.IntN(5) > 0, Queue: float64(w.rng.IntN(12) - 1)})
	}
	w.healthChecks = nil
	return events
}

// randomEvent returns a random event, in most cases a request.
func (w *digestSimulation) randomEvent() []scheduler.Event {
	switch n := w.rng.IntN(1000); {
	case n < 700:
		return []scheduler.Event{w.newRequest()}
	case n < 720:
		return w.clientLeaves()
	case n < 735:
		return []scheduler.Event{w.nodeChange()}
	case n < 740:
		return []scheduler.Event{scheduler.OpenLimitChanged{MaxOpen: 20 + w.rng.IntN(200)}}
	case n < 760:
		return []scheduler.Event{scheduler.CapacityRequested{From: w.rng.IntN(4), Node: w.randomNode(), CapacityRequest: slowstart.CapacityRequest{
			Units: float64(w.rng.IntN(9)), MinUnits: 1, Report: slowstart.LoadReport{Served: 1, Units: 5, Time: 1},
		}}}
	case n < 780:
		return []scheduler.Event{scheduler.CapacityGranted{
			From: w.rng.IntN(3), Node: w.randomNode(), Units: float64(w.rng.IntN(9)),
			ValidUntil: w.now + scheduler.Micros(w.rng.IntN(100_000)),
		}}
	case n < 784:
		return []scheduler.Event{scheduler.NodeSilent{Node: w.randomNode(), ObservedAt: w.now}}
	case n < 794:
		w.exportLearned()
		return []scheduler.Event{scheduler.StateSaved{Readable: true, Latest: w.rng.IntN(2) == 0}}
	}
	return nil
}

func (w *digestSimulation) newRequest() scheduler.Event {
	w.created++
	settings := digestSettings()
	r := scheduler.Request{
		ID: fmt.Sprint("request-", w.created), Class: w.rng.IntN(len(settings.Classes)),
		Plan: w.rng.IntN(len(settings.Plans)), Units: float64(1 + w.rng.IntN(8)), Shard: w.rng.IntN(11) - 1, Fronts: 1 + w.rng.IntN(3),
		TimeLeft: scheduler.Micros(100_000 + w.rng.IntN(2_000_000)),
	}
	r.Volume = fmt.Sprint("volume-", r.Plan, "-", w.rng.IntN(6))
	r.Key = fmt.Sprint("key-", w.rng.IntN(40))
	w.requests[r.ID] = &openRequest{deadline: w.now + r.TimeLeft}
	return r
}

// clientLeaves returns the event of a client that leaves.
func (w *digestSimulation) clientLeaves() []scheduler.Event {
	if len(w.requests) == 0 {
		return nil
	}
	ids := make([]string, 0, len(w.requests))
	for id := range w.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := ids[w.rng.IntN(len(ids))]
	delete(w.requests, id)
	return []scheduler.Event{scheduler.ClientLeft{ID: id}}
}

// nodeChange drains, restarts, removes or re-adds a random node.
func (w *digestSimulation) nodeChange() scheduler.Event {
	n := &w.nodes[w.rng.IntN(len(w.nodes))]
	switch {
	case n.State != scheduler.Running:
		n.State, n.StartedAt = scheduler.Running, w.now
	case w.rng.IntN(2) == 0:
		n.State = scheduler.Draining
	default:
		n.State = scheduler.Removed
	}
	return scheduler.EndpointsChanged{Endpoints: []scheduler.Endpoint{*n}}
}

func (w *digestSimulation) randomNode() string { return w.nodes[w.rng.IntN(len(w.nodes))].Node }

// exportLearned exports the learned state, which also prepares the records of the limits.
func (w *digestSimulation) exportLearned() {
	for from := 0; ; {
		var l scheduler.Learned
		l, from = w.scheduler.ExportLearned(w.now, from, 16)
		fmt.Fprintf(w.digest, "%d %d %d;", len(l.Nodes), len(l.Volumes), len(l.Flows))
		if from == 0 {
			return
		}
	}
}

func (w *digestSimulation) step(events ...scheduler.Event) {
	w.events += len(events)
	for _, a := range w.scheduler.Step(w.now, events) {
		w.actions++
		w.perform(a)
	}
}
