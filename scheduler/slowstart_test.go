package scheduler

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"otterturn/scheduler/slowstart"
)

// checkSlowStart offers small requests to a node in slow start for a while and answers each after the delay (never if it
// is 0). It checks that within any overload span the units sent exceed those answered by maxExcess at most, and returns
// the units sent.
func checkSlowStart(h *harness, duration, delay Micros, maxExcess float64) (units int) {
	h.t.Helper()
	type entry struct {
		at    Micros
		units float64
	}
	var log []entry
	due := map[string]Micros{}
	var order []string
	for i, end := 0, h.now+duration; h.now < end; i++ {
		var events []Event
		for _, x := range order {
			if delay > 0 && due[x] > 0 && due[x] <= h.now {
				events, due[x] = append(events, h.end(x, OK, delay)), 0
				log = append(log, entry{h.now, -1})
			}
		}
		id := fmt.Sprintf("r%d", i)
		for _, x := range startedIDs(h.step(append(events, req(id, func(r *Request) { r.Units = 1 }))...)) {
			units++
			due[x], order, log = h.now+delay, append(order, x), append(log, entry{h.now, 1})
			sum := 0.0
			for _, e := range log {
				if e.at >= h.now-h.s.settings.OverloadSpan {
					sum += e.units
				}
			}
			if sum > maxExcess {
				h.t.Fatalf("%v units more than answered within an overload span, want at most %v", sum, maxExcess)
			}
		}
		h.now += 4 * ms
	}
	return units
}

// maxGrantedUnits is the maximum that two fronts may be granted within an overload span: 8 units less a third, multiplied
// by the guaranteed growth of the capacity within 6 s.
const maxGrantedUnits = 8.0 * 2 / 3 * (1 + 3*0.6)

func newColdHarness(t *testing.T) *harness { return newColdHarnessWith(t, testSettings()) }

func newColdHarnessWith(t *testing.T, settings Settings) *harness {
	h := newHarness(t, settings)
	l := runningAt("a", 0)
	l.StartedAt = h.now
	h.step(EndpointsChanged{Endpoints: []Endpoint{l}})
	return h
}

func TestUnresponsiveColdNodeIsSentGrantsOnly(t *testing.T) {
	if units := checkSlowStart(newColdHarness(t), 6*second, 0, maxGrantedUnits); units < 4 {
		t.Errorf("%d units, want at least 4", units)
	}
}

func TestColdNodeIsSentWhatItAnswers(t *testing.T) {
	if units := checkSlowStart(newColdHarness(t), 6*second, 50*ms, maxGrantedUnits); units < 40 {
		t.Errorf("%d units, want at least 40", units)
	}
}

func TestFailedNodeCountsAsCold(t *testing.T) {
	for _, result := range []Result{Reset, Unreachable} {
		h := newHarness(t, testSettings())
		h.step(req("x", func(r *Request) { r.Class = 2 }))
		h.after(10*ms, h.end("x", result, 10*ms), ClientLeft{ID: "x"})
		h.after(500*ms, HealthChecked{Node: "a", OK: true})
		checkSlowStart(h, 1000*ms, 50*ms, maxGrantedUnits)
	}
}

// A front that has just started knows nothing of its own demand. With a random admission, the chance to send to a node in
// slow start was near 1 then, for hundreds of fronts at once. So it sends nothing that it was not granted, however often
// its clients retry.
func TestStartedFrontRequestsCapacityOfColdNode(t *testing.T) {
	settings := testSettings()
	settings.Fronts, settings.PeerMessages = 300, true
	settings.FrontIndex = -1 // this front is never the granter
	h := newColdHarnessWith(t, settings)
	requests := []Action{}
	for i := range 20 {
		id := fmt.Sprintf("x%d", i)
		a := h.after(25*ms, req(id, nil), ClientLeft{ID: fmt.Sprintf("x%d", i-1)})
		h.wantStarted(a)
		requests = append(requests, slices.DeleteFunc(a, func(a Action) bool { _, is := a.(RequestCapacity); return !is })...)
	}
	granter, _ := h.s.slowStart.Granter("a", h.now)
	if want := []Action{RequestCapacity{
		To: granter, Node: "a", StartedAt: h.s.nodesByName["a"].StartedAt,
		CapacityRequest: slowstart.CapacityRequest{Units: 2, MinUnits: 2},
	}}; !reflect.DeepEqual(requests, want) {
		t.Errorf("capacity requests %v in half a second, want %v", requests, want)
	}
	until := h.now + 100*ms
	if _, may := h.s.slowStart.Granter("a", until-100*ms); !may {
		t.Fatal("no front may grant capacity at the time of this test")
	}
	h.wantStarted(h.step(CapacityGranted{From: granter + 1, Node: "a", Units: 2, ValidUntil: until}))
	h.wantStarted(h.step(CapacityGranted{From: granter, Node: "a", Units: 2, ValidUntil: until}), "x19")
}

// One of many fronts sends to a node in slow start rarely: its measurements help the others only if the granter gets them
// at once. Measurements of another start of the node are ignored.
func TestAnswersOfColdNodeAreReportedToGranter(t *testing.T) {
	settings := testSettings()
	settings.Fronts, settings.PeerMessages, settings.FrontIndex = 300, true, -1
	h := newColdHarnessWith(t, settings)
	for may := false; !may; _, may = h.s.slowStart.Granter("a", h.now) {
		h.after(100 * ms)
	}
	h.after(25*ms, req("x", nil))
	granter, _ := h.s.slowStart.Granter("a", h.now)
	startedAt := h.s.nodesByName["a"].StartedAt
	h.wantStarted(h.step(CapacityGranted{From: granter, Node: "a", Units: 2, ValidUntil: h.now + 100*ms}), "x")
	reports := slices.DeleteFunc(h.after(50*ms, AttemptEnded{ID: "x", Result: OK, Latency: 50 * ms, Final: true}),
		func(a Action) bool { _, is := a.(RequestCapacity); return !is })
	if len(reports) != 1 || reports[0].(RequestCapacity).To != granter || reports[0].(RequestCapacity).StartedAt != startedAt ||
		reports[0].(RequestCapacity).Units != 0 || reports[0].(RequestCapacity).Report.Units != 2 {
		t.Errorf("capacity requests %+v, want one report to the granter", reports)
	}
	h.s.capacityRequested(CapacityRequested{
		From: 1, Node: "a", StartedAt: startedAt - 1,
		CapacityRequest: slowstart.CapacityRequest{Report: slowstart.LoadReport{Units: 9, Time: 0.1}},
	})
	if !h.s.allocators[0].Idle(h.now) {
		t.Error("a report on an earlier start is not ignored")
	}
	h.s.capacityRequested(CapacityRequested{
		From: 1, Node: "a", StartedAt: startedAt,
		CapacityRequest: slowstart.CapacityRequest{Report: slowstart.LoadReport{Units: 9, Time: 0.1}},
	})
	if h.s.allocators[0].Idle(h.now) {
		t.Error("a report on the present start is lost")
	}
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}})
	if len(h.s.allocators) > 0 {
		t.Error("reports of the former start remain after a restart")
	}
}

// Many fronts share a node in slow start, each with a part far below one request. Together they must use its capacity as
// it grows.
func TestManyFrontsUseGrowingCapacityOfColdNode(t *testing.T) {
	settings := testSettings()
	settings.Fronts, settings.PeerMessages = 100, true
	var fronts []*harness
	for i := range settings.Fronts {
		settings.FrontIndex = i
		h := newHarness(t, settings)
		h.s.rng = rand.New(rand.NewPCG(uint64(i), 0))
		l := runningAt("c", 2)
		l.StartedAt = h.now
		h.step(EndpointsChanged{Endpoints: []Endpoint{l}})
		fronts = append(fronts, h)
	}
	// The node serves 20 units per second at its start. It always withstands 8 units, and three times its capacity in
	// all, and its capacity grows no faster than guaranteed. All requests are for this one node of three.
	serves := func(i int) float64 { return 20 * (1 + 0.3*float64(i)/200) }
	credit := 0.0
	type entry struct {
		h  *harness
		id string
	}
	var queue []entry
	var sent []Micros
	messages := map[int][]Event{} // messages in transit, by receiving front
	for i := range 1600 {
		credit = min(1, credit+serves(i)/200)
		served := credit < 1
		for k, h := range fronts {
			events := messages[k]
			delete(messages, k)
			if i%50 == k%50 {
				id := fmt.Sprintf("r%d.%d", k, i)
				events = append(events, req(id, func(r *Request) { r.Shard, r.Units, r.TimeLeft = 2, 1, 3*second }))
			}
			if len(queue) > 0 && queue[0].h == h && !served {
				served, credit = true, 0
				events = append(events, AttemptEnded{ID: queue[0].id, Result: OK, Latency: 50 * ms, Final: true})
				queue = queue[1:]
			}
			actions := h.after(5*ms, events...)
			for _, id := range startedIDs(actions) {
				queue, sent = append(queue, entry{h, id}), append(sent, h.now)
			}
			for _, a := range actions {
				switch a := a.(type) {
				case RequestCapacity:
					messages[a.To] = append(messages[a.To], CapacityRequested{From: k, Node: a.Node, CapacityRequest: a.CapacityRequest})
				case GrantCapacity:
					messages[a.To] = append(messages[a.To],
						CapacityGranted{From: k, Node: a.Node, Units: a.Units, ValidUntil: a.ValidUntil})
				}
			}
		}
		last := Micros(0)
		for _, at := range sent {
			if at > fronts[0].now-settings.OverloadSpan {
				last++
			}
		}
		if float64(last) > 3*serves(i) {
			t.Fatalf("%d units within an overload span, the node fails at %.0f", last, 3*serves(i))
		}
	}
	if len(sent) < 140 { // 159 were measured, 8 of them in each span by grants
		t.Errorf("%d units in 8 s, want at least 140", len(sent))
	}
}
