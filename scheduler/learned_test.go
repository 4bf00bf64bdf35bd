package scheduler

import (
	"math"
	"reflect"
	"testing"
)

// recalled is a host that starts with what another one learned, before nodes as they are listed now.
func recalled(t *testing.T, l Learned, list ...Listing) *host {
	h := newHost(t, testSettings())
	h.s.now, h.now = l.At, l.At
	h.s.learn(Nodes{Full: true, List: list})
	h.s.Recall(l.At, l)
	return h
}

// What goes out comes in as it was, whichever parts it is taken in.
func TestLearnedComesBackAsItWas(t *testing.T) {
	h := newHost(t, testSettings())
	for i := range 60 {
		id := string(rune('A'+i%26)) + string(rune('a'+i/26))
		h.step(req(id, func(r *Request) { r.Volume, r.Plan = id, i%4 }))
		h.after(20*ms, h.end(id, OK, 20*ms))
	}
	whole, next := h.s.Learned(h.now, 0, math.MaxInt32)
	if next != 0 || len(whole.Nodes) < 2 || len(whole.Accounts) < 10 || len(whole.Leads) == 0 {
		t.Fatalf("%d nodes, %d accounts, %d leads, next %d", len(whole.Nodes), len(whole.Accounts), len(whole.Leads), next)
	}
	var list []Listing
	for _, k := range whole.Nodes {
		list = append(list, k.Listing)
	}
	again := recalled(t, whole, list...)
	var parts Learned
	for from := 0; ; {
		l, next := again.s.Learned(h.now, from, 1)
		parts.Nodes, parts.Accounts = append(parts.Nodes, l.Nodes...), append(parts.Accounts, l.Accounts...)
		parts.Leads = append(parts.Leads, l.Leads...)
		if from = next; from == 0 {
			break
		}
	}
	if !reflect.DeepEqual(parts.Nodes, whole.Nodes) {
		t.Errorf("nodes %+v\nwant %+v", parts.Nodes, whole.Nodes)
	}
	for i, a := range parts.Accounts {
		if w := whole.Accounts[i]; a.Volume != w.Volume || a.Plan != w.Plan || a.Reserve != w.Reserve || a.Hosts != w.Hosts {
			t.Errorf("account %+v, want %+v", a, w)
		}
	}
	whole.Nodes[0].Curve = append(whole.Nodes[0].Curve[:0], whole.Nodes[0].Curve...)
	if n := again.s.byName[whole.Nodes[0].Node]; len(n.Curve) > 0 && &n.Curve[0] == &whole.Nodes[0].Curve[0] {
		t.Error("the scheduler shares memory with what it was told")
	}
}

// A front restarts in the middle of a deploy of the nodes: one of them has started anew meanwhile, one has gone, one
// is new. What was learned of the first must not open it wide: it is cold.
func TestRestartAmidADeploy(t *testing.T) {
	now := Micros(1_000_000_000)
	l := Learned{At: now}
	for _, name := range []string{"a", "b", "gone"} {
		l.Nodes = append(l.Nodes, Known{Listing{Node: name, Shard: len(l.Nodes)}, Habits{Budget: 8, Target: 90e3, Usual: 9e3, Unit: 3e3}})
	}
	l.Leads = []Lead{{Volume: "v", Plan: 99, Shard: 0, Units: 5}} // of a plan that is not there any more
	l.Accounts = []Account{{Volume: "v", Plan: -1}}
	h := recalled(t, l, Listing{Node: "a"}, Listing{Node: "b", Shard: 1, Since: now - 1000*ms}, Listing{Node: "new", Shard: 2, Since: now})
	if n := h.s.byName["a"]; n.Usual != 9e3 || h.s.isCold(n) {
		t.Errorf("the node that stayed: %+v", n.Habits)
	}
	for _, name := range []string{"b", "new"} {
		if n := h.s.byName[name]; n.Usual != 0 || !h.s.isCold(n) {
			t.Errorf("%s: usual latency %v, cold %v; want nothing but the cold guard", name, n.Usual, h.s.isCold(n))
		}
	}
	var sent int
	for i := range 40 {
		id := "r" + string(rune('A'+i))
		sent += len(sends(h.step(req(id, func(r *Request) { r.Shard, r.Units = 1, 2 }))))
	}
	if most := int(h.s.set.ColdUnits) / 2; sent > most {
		t.Errorf("%d requests of 2 units sent at once to the node that came up, it bears %d", sent, most)
	}
	if h.s.volumes.Len() > 41 || h.s.byName["gone"] != nil {
		t.Error("what is not there any more came back")
	}
}

func TestForgetLeavesTheGuards(t *testing.T) {
	now := Micros(1_000_000_000)
	l := Learned{At: now, Nodes: []Known{{Listing{Node: "a"}, Habits{Budget: 2, Target: 90e3, Usual: 9e3, Errors: 0.9, Suspect: now}}}}
	h := recalled(t, l, Listing{Node: "a"})
	v := h.s.volume(Request{Volume: "v", Plan: 3, Hosts: 1})
	v.bucket.Level, v.reserve = 15, 1
	h.s.Forget("a", "")
	h.s.Forget("", "v")
	h.s.Forget("nobody", "nothing")
	if n := h.s.byName["a"]; n.failing() || n.Usual != 0 || !h.s.isCold(n) {
		t.Errorf("forgotten: %+v", n.Habits)
	}
	if v.bucket.Level != 0 || v.reserve != 0 {
		t.Errorf("forgotten: %+v, want an empty store", v)
	}
}

// Until its record is on disk, nothing is drawn from a store that was recalled; then no more than the lease.
func TestRecalledLimitWaitsForItsRecord(t *testing.T) {
	set := testSettings()
	set.Lease, set.LeaseLast = 200*ms, 60_000*ms
	h := newHost(t, set)
	h.s.Recall(h.now, Learned{At: h.now, Accounts: []Account{{Volume: "v", Plan: 3, Hosts: 1}}})
	v, _ := h.s.volumes.Get("v")
	v.bucket.Level, v.bucket.Bound = 18, h.now+60_000*ms
	ask := func(id string) []Action {
		return h.step(req(id, func(r *Request) { r.Volume, r.Plan, r.Units, r.Hosts = "v", 3, 5, 1 }))
	}
	h.wantSends(ask("early"))
	l, _ := h.s.Learned(h.now, 0, math.MaxInt32)
	var record Account
	for _, a := range l.Accounts {
		if a.Volume == "v" {
			record = a
		}
	}
	if record.Bucket.Lease != 10 || record.Bucket.Level < 18 { // 200 ms at 10 a second, and a largest request
		t.Fatalf("the record is %+v", record)
	}
	h.wantSends(h.after(ms, Recorded{There: true, Sure: true}), "early")
	h.step(h.end("early", OK, 5*ms))
	acts := ask("next")
	h.wantSends(acts, "next")
	low := false
	for _, a := range acts {
		_, is := a.(WriteDown)
		low = low || is
	}
	if !low {
		t.Error("the lease is used up, and no record is asked for")
	}
	h.step(h.end("next", OK, 5*ms))
	h.wantSends(ask("beyond"))
}
