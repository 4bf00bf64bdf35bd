package world

import (
	"strings"
	"testing"

	"otterturn/internal/lab/model"
	"otterturn/scheduler"
)

// naive is a decider that sends each request to the running node of its shard and keeps the rules as long as no attempt
// fails. With a fault it breaks one rule on purpose.
type naive struct {
	fault string
	nodes map[int]scheduler.Endpoint
	open  map[string]scheduler.Request
}

func (d *naive) Step(now scheduler.Micros, events []scheduler.Event) (out []scheduler.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case scheduler.EndpointsChanged:
			known := d.nodes
			d.nodes = map[int]scheduler.Endpoint{}
			for _, l := range e.Endpoints {
				if l.State == scheduler.Running {
					d.nodes[l.Shard] = l
				} else if d.fault == "leaving" {
					d.nodes[l.Shard] = known[l.Shard]
				}
			}
		case scheduler.Request:
			d.open[e.ID] = e
			n, there := d.nodes[e.Shard]
			switch {
			case !there || e.Plan == 1 && d.fault != "limit":
				out = append(out, scheduler.Reject{ID: e.ID})
			default:
				out = append(out, scheduler.StartAttempt{ID: e.ID, Node: n.Node})
			}
			if d.fault == "twice at once" && e.ID == "read-1" {
				out = append(out, scheduler.StartAttempt{ID: e.ID, Node: n.Node})
			}
			if d.fault == "second answer" && e.ID == "plan-1" {
				out = append(out, scheduler.Reject{ID: e.ID})
			}
		case scheduler.AttemptEnded:
			r := d.open[e.ID]
			switch {
			case e.Final:
			case d.fault == "another shard" && r.Class == 1:
				out = append(out, scheduler.StartAttempt{ID: e.ID, Node: d.nodes[1-r.Shard].Node})
			case d.fault == "once" && r.Class == 2:
				out = append(out, scheduler.StartAttempt{ID: e.ID, Node: d.nodes[r.Shard].Node})
			case d.fault == "refused" && r.Class == 2 || r.Class == 0:
				out = append(out, scheduler.Reject{ID: e.ID})
			default:
				out = append(out, scheduler.Fail{ID: e.ID})
			}
		}
	}
	return out
}

// silent is a front that never answers.
type silent struct{}

func (silent) Submit(scheduler.Request)        {}
func (silent) Tell(scheduler.EndpointsChanged) {}
func (silent) End()                            {}

// The audit reports the violation of each rule, and nothing for a front that breaks none.
func TestAuditCatchesEveryBrokenRule(t *testing.T) {
	set := scheduler.Settings{
		Fronts: 1, Tick: 2000, MeanUnits: 2, MaxUnits: 8,
		Classes: []scheduler.Class{
			{LatencyObjective: 300_000, Priority: 1},
			{LatencyObjective: 300_000, Priority: 1, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameShard, DedupWindow: 3_000_000},
			{LatencyObjective: 300_000, Priority: 1, Idempotency: scheduler.NotIdempotent},
		},
		Plans: []scheduler.Plan{{Weight: 1}, {Weight: 1, Limit: 10, Burst: 20}},
	}
	for fault, want := range map[string]string{
		"": "", "second answer": "second final answer", "twice at once": "two attempts",
		"after the answer": "after its final answer", "another shard": "doesn't drop repeats", "once": "may have run",
		"refused": "though it may have run", "leaving": "after it was known to leave", "limit": "beyond its limit",
		"silence": "no final answer", "cold": "pushed over",
	} {
		cold := model.Parameters{Cores: 1, Speed: 1, Room: 1000, ColdFrom: 0.2, Ramp: 60_000_000, OverloadMultiple: 2.5, OverloadSpan: 1_000_000}
		nodes := []*model.Node{model.New(cold), model.New(cold)}
		w := New(set, nodes, 1, 500, 1)
		if fault == "silence" {
			w.AddFront(0, silent{})
		} else {
			w.StartFront(0, &naive{fault: fault, open: map[string]scheduler.Request{}})
		}
		ask := func(at scheduler.Micros, id string, class, plan, count int) {
			for i := range count {
				w.At(at+scheduler.Micros(i), func() {
					w.Submit(Request{Work: 20_000, Request: scheduler.Request{
						ID: id + string(rune('1'+i)), Class: class, Plan: plan, Volume: id, Units: 7,
						TimeLeft: 2_000_000,
					}})
				})
			}
		}
		ask(1_000_000, "read-", 0, 0, 3)
		ask(1_000_000, "plan-", 0, 1, 9)
		w.At(1_900_000, func() { w.Nodes[0].MalformedShare = 1 })
		ask(2_000_000, "write-", 1, 0, 1)
		ask(2_100_000, "once-", 2, 0, 1)
		w.At(3_000_000, func() {
			w.Nodes[0].MalformedShare, w.Nodes[0].State = 0, scheduler.Draining
			w.PublishNodeList(0)
		})
		ask(4_000_000, "read-late-", 0, 0, 1)
		w.At(8_000_000, func() {
			w.Nodes[0].State = scheduler.Running
			if w.PublishNodeList(0); fault == "cold" {
				w.Nodes[0].Restart(int64(w.Now))
			}
		})
		ask(9_000_000, "many-", 0, 0, 50)
		w.Run(15_000_000)
		found := strings.Join(w.Audit.Violations, "\n")
		if w.Audit.FailedNodes() > 0 {
			found += "pushed over"
		}
		if fault == "after the answer" { // not possible for a simulated front, only for one behind a socket
			w.Audit.AttemptStarted(0, "read-1", w.Nodes[0].Name)
			found = strings.Join(w.Audit.Violations, "\n")
		}
		if len(w.Audit.Unanswered()) > 0 {
			found += "no final answer"
		}
		if want == "" && found != "" || !strings.Contains(found, want) {
			t.Errorf("%q: found %q, want %q", fault, found, want)
		}
	}
}
