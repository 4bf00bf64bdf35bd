package scheduler

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// loadDriver drives one front's scheduler with a given number of nodes and volumes. Requests are sent at once and
// answered in order, so that a given number of them stays outstanding.
type loadDriver struct {
	s                       *Scheduler
	now                     Micros
	nodes, volumes, created int
	openIDs                 []string // started requests in order, without those answered
	outstanding             int
}

func newLoadDriver(t testing.TB, nodes, volumes, outstanding int) *loadDriver {
	settings := testSettings()
	s, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	l := &loadDriver{s: s, now: 1_800_000_000_000_000, nodes: nodes, volumes: volumes, outstanding: outstanding}
	list := EndpointsChanged{Full: true}
	for i := range nodes {
		list.Endpoints = append(list.Endpoints, Endpoint{Node: "n" + strconv.Itoa(i), Shard: i})
	}
	s.Step(l.now, []Event{list})
	for range volumes + 3*outstanding + 1000 {
		l.handleNext()
	}
	return l
}

// handleNext handles a new request and the answer to the oldest one.
func (l *loadDriver) handleNext() {
	l.now += 1000
	id := strconv.Itoa(l.created)
	l.created++
	events := []Event{Request{ID: id, Volume: "v" + strconv.Itoa(l.created%l.volumes), Units: 2, Shard: l.created * 7 % l.nodes, Fronts: 1, TimeLeft: 2_000_000}}
	if len(l.openIDs) > l.outstanding {
		events = append(events, AttemptEnded{ID: l.openIDs[0], Result: OK, Latency: 20_000, Final: true})
		l.openIDs = l.openIDs[1:]
	}
	for _, a := range l.s.Step(l.now, events) {
		if a, ok := a.(StartAttempt); ok {
			l.openIDs = append(l.openIDs, a.ID)
		}
	}
}

// BenchmarkStep measures a step with one request and one answer, by the number of nodes and volumes: without outstanding
// requests and with 200. 'make step-cost' prints the results.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 10_000} {
		for _, volumes := range []int{100, 10_000, 100_000} {
			for _, out := range []int{0, 200} {
				b.Run(fmt.Sprintf("nodes=%d/volumes=%d/out=%d", nodes, volumes, out), func(b *testing.B) {
					l := newLoadDriver(b, nodes, volumes, min(out, 5*nodes))
					b.ReportAllocs()
					for b.Loop() {
						l.handleNext()
					}
				})
			}
		}
	}
}

// Within one run, a step costs about as much with 10,000 nodes as with 10.
func TestStepCostIsIndependentOfNodeCount(t *testing.T) {
	small, large := newLoadDriver(t, 10, 1000, 0), newLoadDriver(t, 10_000, 1000, 0)
	measure := func(l *loadDriver) (best time.Duration) {
		for range 9 { // the two loads alternate and the minimum counts, as a busy machine slows both down
			start := time.Now()
			for range 2000 {
				l.handleNext()
			}
			if elapsed := time.Since(start); best == 0 || elapsed < best {
				best = elapsed
			}
		}
		return best
	}
	fewNodes, manyNodes := measure(small), measure(large)
	t.Logf("%v per step with 10 nodes, %v with 10,000", fewNodes/2000, manyNodes/2000)
	if manyNodes > 4*fewNodes { // a factor of 2 was measured; a scan of all nodes in each step cost a factor of 500
		t.Errorf("2,000 steps took %v with 10 nodes and %v with 10,000, want at most 4 times as long", fewNodes, manyNodes)
	}
}

// An endless series of new volumes must not use ever more memory: they are removed as fast as they arrive.
func TestIdleVolumesAreRemovedUnderLoad(t *testing.T) {
	l := newLoadDriver(t, 10, 1, 0)
	l.volumes = 1 << 40 // a new volume for each request
	maxVolumes := 0
	for range 60_000 {
		l.handleNext()
		maxVolumes = max(maxVolumes, l.s.volumes.Len())
	}
	// 1,000 volumes arrive per second. A volume is kept until its reservation has accumulated again, a flow for 32 s.
	if flows := l.s.flows.Len(); maxVolumes > 10_000 || flows > 50_000 {
		t.Errorf("up to %d volumes and finally %d flows of 60,000 are kept, want at most 10,000 and 50,000", maxVolumes, flows)
	}
	for range 200_000 {
		l.now += 1000
		l.s.Step(l.now, nil)
	}
	if remaining := l.s.volumes.Len() + l.s.flows.Len(); remaining > 5 {
		t.Errorf("%d volumes and flows are kept after 200 s without requests, want at most 5", remaining)
	}
}

// BenchmarkListReplacedWhole replaces an endpoint list of 10,000 nodes by one of 10,000 others.
func BenchmarkListReplacedWhole(b *testing.B) {
	s, err := New(testSettings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := Micros(1_800_000_000_000_000)
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		list := EndpointsChanged{Full: true}
		for i := range 10_000 {
			list.Endpoints = append(list.Endpoints, Endpoint{Node: fmt.Sprint("n", n, "-", i), Shard: i, StartedAt: 1})
		}
		now += 1_000_000
		b.StartTimer()
		s.Step(now, []Event{list})
	}
}

// BenchmarkBytes measures the memory, in bytes, of a node, of an idle volume with a flow and of a queued request.
func BenchmarkBytes(b *testing.B) {
	for _, c := range []struct {
		what string
		make func(l *loadDriver, i int)
	}{
		{"node", func(l *loadDriver, i int) {
			l.s.Step(l.now, []Event{EndpointsChanged{Endpoints: []Endpoint{{Node: fmt.Sprint("new", i), Shard: i}}}})
		}},
		{"volume", func(l *loadDriver, _ int) { l.handleNext() }},
		{"held", func(l *loadDriver, i int) {
			l.s.Step(l.now, []Event{Request{ID: fmt.Sprint("held", i), Volume: fmt.Sprint("u", i), Units: 2, Shard: 1 << 30, Fronts: 1, TimeLeft: 1 << 40}})
		}},
	} {
		b.Run(c.what, func(b *testing.B) {
			const count = 2000
			l := newLoadDriver(b, 10, 1, 0)
			l.volumes = 1 << 40
			used := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := used()
			for i := range count {
				c.make(l, i)
			}
			b.ReportMetric(float64(used()-before)/count, "B/"+c.what)
			runtime.KeepAlive(l)
		})
	}
}
