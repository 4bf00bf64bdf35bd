package scheduler

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestDeterminism(t *testing.T) {
	script := func() (all []Action) {
		h := newHarness(t, testSettings())
		for i := range 300 {
			id := "r" + string(rune('A'+i/64)) + string(rune('0'+i%64))
			a := h.after(3*ms, req(id, func(r *Request) { r.Shard = i%3 - 1; r.Plan = i % 3; r.Volume = id[:2] }))
			all = append(all, a...)
			for _, x := range startedIDs(a) {
				if i%7 != 0 {
					all = append(all, h.after(ms, h.end(x, OK, 20*ms))...)
				}
			}
		}
		return all
	}
	if a, b := script(), script(); !reflect.DeepEqual(a, b) {
		t.Error("the same events led to different actions")
	}
}

func TestFinishedRequestsAreRemoved(t *testing.T) {
	for _, span := range []Micros{0, 1000 * ms} {
		settings := testSettings()
		settings.RetryBudgetSpan = span
		h := newHarness(t, settings)
		for i := range 500 {
			id := fmt.Sprintf("r%d", i)
			h.step(req(id, func(r *Request) { r.Class, r.Key = 3, id }))
			o := h.end(id, Cancelled, 5*ms)
			o.Final = true
			h.after(10*ms, o)
		}
		if remaining := len(h.s.requests); remaining > 0 {
			t.Errorf("%d requests remain", remaining)
		}
	}
}

func TestUnknownIDsAndInvalidRequests(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step()
	h.step(AttemptEnded{ID: "?"}, ClientLeft{ID: "?"}, HealthChecked{Node: "?"}, TimerFired{})
	rejected, _ := finalAnswers(h.step(req("x", func(r *Request) { r.Class = 9 })))
	if !reflect.DeepEqual(rejected, []string{"x"}) {
		t.Errorf("rejected %v", rejected)
	}
	h.wantStarted(h.step(req("y", func(r *Request) { r.Units, r.Fronts = 0, 0 })), "y")
	h.step(h.end("y", OK, ms), h.end("y", OK, ms))
}

func TestInvalidSettings(t *testing.T) {
	cases := map[string]func(*Settings){
		"Tick":             func(s *Settings) { s.Tick = 0 },
		"MeanUnits":        func(s *Settings) { s.MeanUnits = 0 },
		"InitialCapacity":  func(s *Settings) { s.InitialCapacity = 0 },
		"Classes":          func(s *Settings) { s.Classes = nil },
		"Plans":            func(s *Settings) { s.Plans = nil },
		"LatencyObjective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Burst":            func(s *Settings) { s.Plans[3].Burst = 0 },
	}
	for field, edit := range cases {
		settings := testSettings()
		edit(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v, want one that names the field", field, err)
		}
	}
}

// The operators accept no decision module of more than 1,000 lines. Its files are those that the deploy file names.
func TestSizeOfTheModule(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, policy, _ := strings.Cut(string(deploy), "policy = [")
	policy, _, _ = strings.Cut(policy, "]")
	lines := 0
	for _, name := range strings.Split(policy, ",") {
		text, err := os.ReadFile("../" + strings.Trim(name, ` "`))
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 110 {
				t.Errorf("%s:%d has %d characters, want at most 110", name, i+1, n)
			}
		}
	}
	if lines > 1000 {
		t.Errorf("the module has %d non-blank lines, want at most 1000", lines)
	}
}

// All volumes used to be kept forever. Idle ones are removed, but one with a limit only when its bucket is full again: it
// would come back with a higher level than it had.
func TestIdleVolumesAreRemoved(t *testing.T) {
	h := newHarness(t, testSettings())
	h.advance(5 * second) // the buckets of the limit, 10 units per second up to 20, are full
	for i := range 100 {
		id := fmt.Sprint(i)
		h.step(req(id, func(r *Request) { r.Plan = i % 3 }))
		h.step(h.end(id, OK, ms))
	}
	limited := func(r *Request) { r.Volume, r.Plan, r.Units = "limited", 3, 8 }
	for _, id := range []string{"x", "y"} {
		h.after(ms, req(id, limited))
		h.step(h.end(id, OK, ms))
	}
	h.wantStarted(h.advance(slowInterval))
	if v, has := h.s.volumes.Get("limited"); !has || v.bucket.Level >= 20 {
		t.Errorf("volume whose bucket is not full: %+v", v)
	}
	h.advance(40 * second)
	if n, flows := h.s.volumes.Len(), h.s.flows.Len(); n+flows > 0 {
		t.Errorf("%d volumes and %d flows remain", n, flows)
	}
}
