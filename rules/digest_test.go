package rules_test

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"

	"otterturn/rules"
	"otterturn/rules/cold"
)

// digestEvents is how many events the schedule of TestActionsDigest has.
const digestEvents = 100_000

// actionsDigest is the digest of the scheduler's actions over that schedule. It changes only where a decision is meant to
// change; the commit that changes it says why.
const actionsDigest = "88cb3e526a9695d3"

// TestActionsDigest holds the scheduler to the same actions for the same events: refactoring must not change a decision.
func TestActionsDigest(t *testing.T) {
	w := newDigestWorld(t)
	for w.events < digestEvents {
		w.advance()
	}
	if got := hex.EncodeToString(w.digest.Sum(nil)); got != actionsDigest {
		t.Errorf("digest %s over %d events and %d actions, want %s", got, w.events, w.actions, actionsDigest)
	}
	for kind := range digestKinds {
		if w.kinds[kind] == 0 {
			t.Errorf("the schedule brings no action of kind %d", kind)
		}
	}
}

// openAttempt is an attempt that the scheduler started and that has not ended.
type openAttempt struct {
	id     string
	number int
	node   string
	sent   rules.Micros
	endsAt rules.Micros
	result rules.Result
}

// openRequest is a request that the scheduler has and has not answered.
type openRequest struct {
	deadline rules.Micros
	attempts int
}

// digestWorld drives a scheduler through a seeded random schedule that reacts to its actions.
type digestWorld struct {
	t         *testing.T
	rng       *rand.Rand
	scheduler *rules.Scheduler
	now       rules.Micros
	nodes     []rules.Listing
	requests  map[string]*openRequest
	attempts  []openAttempt
	probes    []string
	alarmAt   rules.Micros
	created   int

	digest  hash.Hash
	events  int
	actions int
	kinds   [digestKinds]int
}

// Kinds of actions in the digest. Their numbers are part of it.
const (
	kindSend = iota
	kindRefuse
	kindFail
	kindCancel
	kindProbe
	kindWriteDown
	kindAsk
	kindGrant
	kindAlarm
	digestKinds
)

func digestSettings() rules.Settings {
	const ms = rules.Micros(1000)
	return rules.Settings{
		Hosts: 3, Number: 1, Peers: true, Tick: ms,
		Classes: []rules.Class{
			{Aim: 150 * ms, Repeat: rules.Safe, Worth: 3},
			{Aim: 300 * ms, Repeat: rules.Keyed, Group: rules.SameZone, Window: 2500 * ms, Worth: 2},
			{Aim: 750 * ms, Repeat: rules.Unsafe, Worth: 1},
			{Aim: 200 * ms, Repeat: rules.Keyed, Group: rules.SameShard, Window: 900 * ms, Worth: 2, InOrder: true},
			{Aim: 400 * ms, Repeat: rules.Keyed, Group: rules.AllNodes, Window: 2000 * ms, Worth: 0.5},
		},
		Plans: []rules.Plan{
			{Weight: 1},
			{Weight: 2, Reservation: 40},
			{Weight: 1, Limit: 60, Burst: 90, Slack: 9},
		},
		MeanUnits: 2.5, MostUnits: 8, Elsewhere: true, MaxOpen: 150, MaxTries: 3, Probing: true, Cancel: true,
		RetryAfter: true, MaxRetryAfter: 2000 * ms,
		ColdFrom: 0.25, Ramp: 10_000 * ms, FallMultiple: 4, FallSpan: 1000 * ms, ColdUnits: 12, KeyRest: 200 * ms,
		RetrySpan: 5000 * ms, RetrySpare: 10, RetryShare: 0.3,
		Lease: 2000 * ms, LeaseLast: 30_000 * ms,
	}
}

func newDigestWorld(t *testing.T) *digestWorld {
	t.Helper()
	s, err := rules.New(digestSettings(), 11)
	if err != nil {
		t.Fatal(err)
	}
	w := &digestWorld{t: t, rng: rand.New(rand.NewPCG(7, 0)), scheduler: s, now: 1_800_000_000_000_000,
		requests: map[string]*openRequest{}, digest: xxhash.New()}
	for i := range 12 {
		w.nodes = append(w.nodes, rules.Listing{Node: fmt.Sprint("node-", i), Zone: i % 3, Shard: i % 9})
	}
	w.step(rules.Nodes{Full: true, List: slices.Clone(w.nodes)})
	return w
}

// advance lets some time pass and brings what is due then, with something new beside it.
func (w *digestWorld) advance() {
	w.now += rules.Micros(1 + w.rng.IntN(4000))
	var events []rules.Event
	if w.alarmAt > 0 && w.now >= w.alarmAt {
		w.alarmAt = 0
		events = append(events, rules.Alarm{})
	}
	events = append(events, w.endedAttempts()...)
	events = append(events, w.answeredProbes()...)
	events = append(events, w.something()...)
	w.step(events...)
}

// endedAttempts are the outcomes that are due.
func (w *digestWorld) endedAttempts() (events []rules.Event) {
	w.attempts = slices.DeleteFunc(w.attempts, func(a openAttempt) bool {
		if a.endsAt > w.now {
			return false
		}
		_, owed := w.requests[a.id]
		e := rules.Outcome{ID: a.id, Attempt: a.number, Result: a.result, Latency: w.now - a.sent,
			Final: a.result == rules.OK || !owed, Alive: w.rng.IntN(2) == 0}
		if w.rng.IntN(4) == 0 {
			e.Elsewhere = float64(w.rng.IntN(20))
		}
		if e.Final {
			delete(w.requests, a.id)
		}
		events = append(events, e)
		return true
	})
	return events
}

func (w *digestWorld) answeredProbes() (events []rules.Event) {
	for _, node := range w.probes {
		events = append(events, rules.Probed{Node: node, OK: w.rng.IntN(5) > 0, Queue: float64(w.rng.IntN(12) - 1)})
	}
	w.probes = nil
	return events
}

// something is an event at random: mostly a request.
func (w *digestWorld) something() []rules.Event {
	switch n := w.rng.IntN(1000); {
	case n < 700:
		return []rules.Event{w.newRequest()}
	case n < 720:
		return w.departure()
	case n < 735:
		return []rules.Event{w.changedNode()}
	case n < 740:
		return []rules.Event{rules.Room{Open: 20 + w.rng.IntN(200)}}
	case n < 760:
		return []rules.Event{rules.Asked{From: w.rng.IntN(4), Node: w.anyNode(), Wish: cold.Wish{
			Units: float64(w.rng.IntN(9)), Least: 1, Shown: cold.Shown{Served: 1, Units: 5, Time: 1}}}}
	case n < 780:
		return []rules.Event{rules.Granted{From: w.rng.IntN(3), Node: w.anyNode(), Units: float64(w.rng.IntN(9)),
			Until: w.now + rules.Micros(w.rng.IntN(100_000))}}
	case n < 784:
		return []rules.Event{rules.NodeSilent{Node: w.anyNode(), At: w.now}}
	case n < 794:
		w.learned()
		return []rules.Event{rules.Recorded{There: true, Sure: w.rng.IntN(2) == 0}}
	}
	return nil
}

func (w *digestWorld) newRequest() rules.Event {
	w.created++
	set := digestSettings()
	r := rules.Request{ID: fmt.Sprint("request-", w.created), Class: w.rng.IntN(len(set.Classes)),
		Plan: w.rng.IntN(len(set.Plans)), Units: float64(1 + w.rng.IntN(8)), Shard: w.rng.IntN(11) - 1, Hosts: 1 + w.rng.IntN(3),
		Left: rules.Micros(100_000 + w.rng.IntN(2_000_000))}
	r.Volume = fmt.Sprint("volume-", r.Plan, "-", w.rng.IntN(6))
	r.Key = fmt.Sprint("key-", w.rng.IntN(40))
	w.requests[r.ID] = &openRequest{deadline: w.now + r.Left}
	return r
}

// departure is a client that leaves.
func (w *digestWorld) departure() []rules.Event {
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
	return []rules.Event{rules.Lapsed{ID: id}}
}

// changedNode drains a node, starts it again, or takes it from the list and brings it back.
func (w *digestWorld) changedNode() rules.Event {
	n := &w.nodes[w.rng.IntN(len(w.nodes))]
	switch {
	case n.State != rules.Running:
		n.State, n.Since = rules.Running, w.now
	case w.rng.IntN(2) == 0:
		n.State = rules.Draining
	default:
		n.State = rules.Gone
	}
	return rules.Nodes{List: []rules.Listing{*n}}
}

func (w *digestWorld) anyNode() string { return w.nodes[w.rng.IntN(len(w.nodes))].Node }

// learned reads what the scheduler knows, which also prepares the limits' records.
func (w *digestWorld) learned() {
	for from := 0; ; {
		var l rules.Learned
		l, from = w.scheduler.Learned(w.now, from, 16)
		fmt.Fprintf(w.digest, "%d %d %d;", len(l.Nodes), len(l.Accounts), len(l.Leads))
		if from == 0 {
			return
		}
	}
}

func (w *digestWorld) step(events ...rules.Event) {
	w.events += len(events)
	for _, a := range w.scheduler.Step(w.now, events) {
		w.actions++
		w.perform(a)
	}
}

// perform adds an action to the digest and carries it out.
func (w *digestWorld) perform(a rules.Action) {
	switch a := a.(type) {
	case rules.Send:
		w.add(kindSend, a.ID, a.Node, a.Until)
		w.start(a)
	case rules.Refuse:
		w.add(kindRefuse, a.ID, a.RetryAfter, string(a.Why))
		delete(w.requests, a.ID)
	case rules.Fail:
		w.add(kindFail, a.ID, string(a.Why))
		delete(w.requests, a.ID)
	case rules.Cancel:
		w.add(kindCancel, a.ID, a.Attempt)
		w.cancel(a)
	case rules.Probe:
		w.add(kindProbe, a.Node)
		w.probes = append(w.probes, a.Node)
	case rules.WriteDown:
		w.add(kindWriteDown)
	case rules.Ask:
		w.add(kindAsk, a.To, a.Node, a.Since, a.Units, a.Least, a.Shown.Served, a.Shown.Units, a.Shown.Time)
	case rules.Grant:
		w.add(kindGrant, a.To, a.Node, a.Units, a.Until)
	case rules.SetAlarm:
		w.add(kindAlarm, a.At)
		w.alarmAt = a.At
	default:
		w.t.Fatalf("an action of type %T", a)
	}
}

func (w *digestWorld) add(kind int, values ...any) {
	w.kinds[kind]++
	fmt.Fprintln(w.digest, append([]any{kind, int64(w.now)}, values...)...)
}

// start has an attempt end some time later, most of them well; one node of four is slow.
func (w *digestWorld) start(a rules.Send) {
	r := w.requests[a.ID]
	if r == nil {
		w.t.Fatalf("%s is sent without being owed an answer", a.ID)
	}
	latency := rules.Micros(3000 + w.rng.IntN(60_000))
	if slow := a.Node[len(a.Node)-1]%4 == 0; slow {
		latency *= 6
	}
	result := rules.OK
	if w.rng.IntN(6) == 0 {
		result = []rules.Result{rules.Errored, rules.Full, rules.TimedOut, rules.Unreachable, rules.Reset, rules.Moot,
			rules.Expired}[w.rng.IntN(7)]
	}
	if result == rules.TimedOut {
		latency = max(latency, r.deadline-w.now)
	}
	w.attempts = append(w.attempts, openAttempt{id: a.ID, number: r.attempts, node: a.Node, sent: w.now,
		endsAt: w.now + latency, result: result})
	r.attempts++
}

// cancel ends an attempt that the scheduler gave up.
func (w *digestWorld) cancel(c rules.Cancel) {
	for i := range w.attempts {
		if a := &w.attempts[i]; a.id == c.ID && a.number == c.Attempt {
			a.endsAt, a.result = cmp.Or(min(a.endsAt, w.now+1000), w.now), rules.Cancelled
		}
	}
}
