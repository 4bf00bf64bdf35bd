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
		MeanUnits: 2.5, MaxUnits: 8, ServedElsewhereReported: true, MaxOpen: 150, MaxAttempts: 3, HealthChecks: true, CancelAttempts: true,
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
	sim := &digestSimulation{
		t: t, rng: rand.New(rand.NewPCG(7, 0)), scheduler: s, now: 1_800_000_000_000_000,
		requests: map[string]*openRequest{}, digest: xxhash.New(),
	}
	for i := range 12 {
		sim.nodes = append(sim.nodes, scheduler.Endpoint{Node: fmt.Sprint("node-", i), Zone: i % 3, Shard: i % 9})
	}
	sim.step(scheduler.EndpointsChanged{Full: true, Endpoints: slices.Clone(sim.nodes)})
	return sim
}

// advance lets some time pass and handles the events that are due then and a random one.
func (sim *digestSimulation) advance() {
	sim.now += scheduler.Micros(1 + sim.rng.IntN(4000))
	var events []scheduler.Event
	if sim.timerAt > 0 && sim.now >= sim.timerAt {
		sim.timerAt = 0
		events = append(events, scheduler.TimerFired{})
	}
	events = append(events, sim.endedAttempts()...)
	events = append(events, sim.endedHealthChecks()...)
	events = append(events, sim.randomEvent()...)
	sim.step(events...)
}

// endedAttempts returns the outcomes that are due.
func (sim *digestSimulation) endedAttempts() (events []scheduler.Event) {
	sim.attempts = slices.DeleteFunc(sim.attempts, func(a openAttempt) bool {
		if a.endsAt > sim.now {
			return false
		}
		_, owed := sim.requests[a.id]
		e := scheduler.AttemptEnded{
			ID: a.id, Attempt: a.number, Result: a.result, Latency: sim.now - a.sent,
			Final: a.result == scheduler.OK || !owed, Alive: sim.rng.IntN(2) == 0,
		}
		if sim.rng.IntN(4) == 0 {
			e.ServedElsewhere = float64(sim.rng.IntN(20))
		}
		if e.Final {
			delete(sim.requests, a.id)
		}
		events = append(events, e)
		return true
	})
	return events
}

func (sim *digestSimulation) endedHealthChecks() (events []scheduler.Event) {
	for _, node := range sim.healthChecks {
		events = append(events, scheduler.HealthChecked{Node: node, OK: sim.rng.IntN(5) > 0, Queue: float64(sim.rng.IntN(12) - 1)})
	}
	sim.healthChecks = nil
	return events
}

// randomEvent returns a random event, in most cases a request.
func (sim *digestSimulation) randomEvent() []scheduler.Event {
	switch n := sim.rng.IntN(1000); {
	case n < 700:
		return []scheduler.Event{sim.newRequest()}
	case n < 720:
		return sim.clientLeaves()
	case n < 735:
		return []scheduler.Event{sim.nodeChange()}
	case n < 740:
		return []scheduler.Event{scheduler.OpenLimitChanged{MaxOpen: 20 + sim.rng.IntN(200)}}
	case n < 760:
		return []scheduler.Event{scheduler.CapacityRequested{From: sim.rng.IntN(4), Node: sim.randomNode(), CapacityRequest: slowstart.CapacityRequest{
			Units: float64(sim.rng.IntN(9)), MinUnits: 1, Report: slowstart.LoadReport{Served: 1, Units: 5, Time: 1},
		}}}
	case n < 780:
		return []scheduler.Event{scheduler.CapacityGranted{
			From: sim.rng.IntN(3), Node: sim.randomNode(), Units: float64(sim.rng.IntN(9)),
			ValidUntil: sim.now + scheduler.Micros(sim.rng.IntN(100_000)),
		}}
	case n < 784:
		return []scheduler.Event{scheduler.NodeSilent{Node: sim.randomNode(), ObservedAt: sim.now}}
	case n < 794:
		sim.exportLearned()
		return []scheduler.Event{scheduler.StateSaved{Readable: true, Latest: sim.rng.IntN(2) == 0}}
	}
	return nil
}

func (sim *digestSimulation) newRequest() scheduler.Event {
	sim.created++
	settings := digestSettings()
	r := scheduler.Request{
		ID: fmt.Sprint("request-", sim.created), Class: sim.rng.IntN(len(settings.Classes)),
		Plan:  sim.rng.IntN(len(settings.Plans)),
		Units: float64(1 + sim.rng.IntN(8)), Shard: sim.rng.IntN(11) - 1, Fronts: 1 + sim.rng.IntN(3),
		TimeLeft: scheduler.Micros(100_000 + sim.rng.IntN(2_000_000)),
	}
	r.Volume = fmt.Sprint("volume-", r.Plan, "-", sim.rng.IntN(6))
	r.Key = fmt.Sprint("key-", sim.rng.IntN(40))
	sim.requests[r.ID] = &openRequest{deadline: sim.now + r.TimeLeft}
	return r
}

// clientLeaves returns the event of a client that leaves.
func (sim *digestSimulation) clientLeaves() []scheduler.Event {
	if len(sim.requests) == 0 {
		return nil
	}
	ids := make([]string, 0, len(sim.requests))
	for id := range sim.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := ids[sim.rng.IntN(len(ids))]
	delete(sim.requests, id)
	return []scheduler.Event{scheduler.ClientLeft{ID: id}}
}

// nodeChange drains, restarts, removes or re-adds a random node.
func (sim *digestSimulation) nodeChange() scheduler.Event {
	n := &sim.nodes[sim.rng.IntN(len(sim.nodes))]
	switch {
	case n.State != scheduler.Running:
		n.State, n.StartedAt = scheduler.Running, sim.now
	case sim.rng.IntN(2) == 0:
		n.State = scheduler.Draining
	default:
		n.State = scheduler.Removed
	}
	return scheduler.EndpointsChanged{Endpoints: []scheduler.Endpoint{*n}}
}

func (sim *digestSimulation) randomNode() string { return sim.nodes[sim.rng.IntN(len(sim.nodes))].Node }

// exportLearned exports the learned state, which also prepares the records of the limits.
func (sim *digestSimulation) exportLearned() {
	for from := 0; ; {
		var l scheduler.Learned
		l, from = sim.scheduler.ExportLearned(sim.now, from, 16)
		fmt.Fprintf(sim.digest, "%d %d %d;", len(l.Nodes), len(l.Volumes), len(l.Flows))
		if from == 0 {
			return
		}
	}
}

func (sim *digestSimulation) step(events ...scheduler.Event) {
	sim.events += len(events)
	for _, a := range sim.scheduler.Step(sim.now, events) {
		sim.actions++
		sim.perform(a)
	}
}
