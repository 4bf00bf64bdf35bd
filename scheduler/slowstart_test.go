package scheduler

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"otterturn/scheduler/slowstart"
)

// checkCold offers small requests at a cold node for a while, answers each after the delay (never for 0), and
// checks that within any fall span the sends stay within the answers plus the part. It returns the units
// sent.
func checkCold(h *host, d, delay Micros, part float64) (units int) {
	h.t.Helper()
	type entry struct {
		at    Micros
		units float64
	}
	var log []entry
	due := map[string]Micros{}
	var order []string
	for i, end := 0, h.now+d; h.now < end; i++ {
		var events []Event
		for _, x := range order {
			if delay > 0 && due[x] > 0 && due[x] <= h.now {
				events, due[x] = append(events, h.end(x, OK, delay)), 0
				log = append(log, entry{h.now, -1})
			}
		}
		id := fmt.Sprintf("r%d", i)
		for _, x := range sends(h.step(append(events, req(id, func(r *Request) { r.Units = 1 }))...)) {
			units++
			due[x], order, log = h.now+delay, append(order, x), append(log, entry{h.now, 1})
			sum := 0.0
			for _, e := range log {
				if e.at >= h.now-h.s.settings.OverloadSpan {
					sum += e.units
				}
			}
			if sum > part {
				h.t.Fatalf("%v units more than answered within a fall span, at most %v", sum, part)
			}
		}
		h.now += 4 * ms
	}
	return units
}

// coldPart is what two hosts may be granted within a span, 8 units less a third, grown by the guaranteed ramp of 6 s.
const coldPart = 8.0 * 2 / 3 * (1 + 3*0.6)

func coldHost(t *testing.T) *host { return coldHostOf(t, testSettings()) }

func coldHostOf(t *testing.T, set Settings) *host {
	h := newHost(t, set)
	l := running("a", 0)
	l.StartedAt = h.now
	h.step(EndpointsChanged{Endpoints: []Endpoint{l}})
	return h
}

func TestColdNodeThatDoesNotAnswerGetsItsPart(t *testing.T) {
	if units := checkCold(coldHost(t), 6*second, 0, coldPart); units < 4 {
		t.Errorf("only %d units", units)
	}
}

func TestColdNodeGetsWhatItAnswers(t *testing.T) {
	if units := checkCold(coldHost(t), 6*second, 50*ms, coldPart); units < 40 {
		t.Errorf("only %d units", units)
	}
}

func TestNodeThatFailedCountsAsCold(t *testing.T) {
	for _, result := range []Result{Reset, Unreachable} {
		h := newHost(t, testSettings())
		h.step(req("x", func(r *Request) { r.Class = 2 }))
		h.after(10*ms, h.end("x", result, 10*ms), ClientLeft{ID: "x"})
		h.after(500*ms, HealthChecked{Node: "a", OK: true})
		checkCold(h, 1000*ms, 50*ms, coldPart)
	}
}

// A host that has just begun has no demand to judge by. Its chance to send to a cold node was near one then, and so was
// that of hundreds of others. It sends nothing there that it was not granted, however often its clients come again.
func TestHostThatJustBeganAsksBeforeItSendsToAColdNode(t *testing.T) {
	set := testSettings()
	set.Fronts, set.PeerMessages = 300, true
	set.FrontIndex = -1 // never the granter
	h := coldHostOf(t, set)
	asks := []Action{}
	for i := range 20 {
		id := fmt.Sprintf("x%d", i)
		a := h.after(25*ms, req(id, nil), ClientLeft{ID: fmt.Sprintf("x%d", i-1)})
		h.wantSends(a)
		asks = append(asks, slices.DeleteFunc(a, func(a Action) bool { _, is := a.(RequestCapacity); return !is })...)
	}
	granter, _ := h.s.slowStart.Granter("a", h.now)
	if want := []Action{RequestCapacity{To: granter, Node: "a", StartedAt: h.s.nodesByName["a"].StartedAt, CapacityRequest: slowstart.CapacityRequest{Units: 2, MinUnits: 2}}}; !reflect.DeepEqual(asks, want) {
		t.Errorf("asks %v in half a second, want %v", asks, want)
	}
	until := h.now + 100*ms
	if _, may := h.s.slowStart.Granter("a", until-100*ms); !may {
		t.Fatal("no granter may grant at the time of this test")
	}
	h.wantSends(h.step(CapacityGranted{From: granter + 1, Node: "a", Units: 2, ValidUntil: until}))
	h.wantSends(h.step(CapacityGranted{From: granter, Node: "a", Units: 2, ValidUntil: until}), "x19")
}

// One of many hosts meets a cold node seldom: what it saw there helps the others only if the granter hears of it
// at once. What was seen of another start of the node counts for none.
func TestGranterHearsOfEachAnswerOfAColdNode(t *testing.T) {
	set := testSettings()
	set.Fronts, set.PeerMessages, set.FrontIndex = 300, true, -1
	h := coldHostOf(t, set)
	for may := false; !may; _, may = h.s.slowStart.Granter("a", h.now) {
		h.after(100 * ms)
	}
	h.after(25*ms, req("x", nil))
	granter, _ := h.s.slowStart.Granter("a", h.now)
	since := h.s.nodesByName["a"].StartedAt
	h.wantSends(h.step(CapacityGranted{From: granter, Node: "a", Units: 2, ValidUntil: h.now + 100*ms}), "x")
	told := slices.DeleteFunc(h.after(50*ms, AttemptEnded{ID: "x", Result: OK, Latency: 50 * ms, Final: true}),
		func(a Action) bool { _, is := a.(RequestCapacity); return !is })
	if len(told) != 1 || told[0].(RequestCapacity).To != granter || told[0].(RequestCapacity).StartedAt != since || told[0].(RequestCapacity).Units != 0 || told[0].(RequestCapacity).Report.Units != 2 {
		t.Errorf("told %+v", told)
	}
	h.s.capacityRequested(CapacityRequested{From: 1, Node: "a", StartedAt: since - 1, CapacityRequest: slowstart.CapacityRequest{Report: slowstart.LoadReport{Units: 9, Time: 0.1}}})
	if !h.s.allocators[0].Idle(h.now) {
		t.Error("what was seen of an earlier start counts")
	}
	h.s.capacityRequested(CapacityRequested{From: 1, Node: "a", StartedAt: since, CapacityRequest: slowstart.CapacityRequest{Report: slowstart.LoadReport{Units: 9, Time: 0.1}}})
	if h.s.allocators[0].Idle(h.now) {
		t.Error("what was seen of this start is forgotten at once")
	}
	h.step(EndpointsChanged{Endpoints: []Endpoint{{Node: "a", StartedAt: h.now}}})
	if len(h.s.allocators) > 0 {
		t.Error("what was seen counts for the next start")
	}
}

// Hosts that share a cold node, each with a part far below a request, together bring it to its capacity.
func TestColdNodeGrowsByItsAnswersAmongManyHosts(t *testing.T) {
	set := testSettings()
	set.Fronts, set.PeerMessages = 100, true
	var hosts []*host
	for i := range set.Fronts {
		set.FrontIndex = i
		h := newHost(t, set)
		h.s.rng = rand.New(rand.NewPCG(uint64(i), 0))
		l := running("c", 2)
		l.StartedAt = h.now
		h.step(EndpointsChanged{Endpoints: []Endpoint{l}})
		hosts = append(hosts, h)
	}
	// The node serves 20 units a second at its start, of which it always bears 8 and three times as much in
	// all, and warms no faster than guaranteed. All that the hosts ask for is at this one node of three.
	serves := func(i int) float64 { return 20 * (1 + 0.3*float64(i)/200) }
	credit := 0.0
	type entry struct {
		h  *host
		id string
	}
	var queue []entry
	var sent []Micros
	notes := map[int][]Event{} // on their way to hosts
	for i := range 1600 {
		credit = min(1, credit+serves(i)/200)
		served := credit < 1
		for k, h := range hosts {
			events := notes[k]
			delete(notes, k)
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
			for _, id := range sends(actions) {
				queue, sent = append(queue, entry{h, id}), append(sent, h.now)
			}
			for _, a := range actions {
				switch a := a.(type) {
				case RequestCapacity:
					notes[a.To] = append(notes[a.To], CapacityRequested{From: k, Node: a.Node, CapacityRequest: a.CapacityRequest})
				case GrantCapacity:
					notes[a.To] = append(notes[a.To], CapacityGranted{From: k, Node: a.Node, Units: a.Units, ValidUntil: a.ValidUntil})
				}
			}
		}
		last := Micros(0)
		for _, at := range sent {
			if at > hosts[0].now-set.OverloadSpan {
				last++
			}
		}
		if float64(last) > 3*serves(i) {
			t.Fatalf("%d units within a fall span, %.0f break the node", last, 3*serves(i))
		}
	}
	if len(sent) < 140 { // 159, of them 8 in each span by grants
		t.Errorf("only %d units in 8 s", len(sent))
	}
}
