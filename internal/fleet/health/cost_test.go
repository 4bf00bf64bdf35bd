package health

import (
	"fmt"
	"runtime"
	"testing"

	"otterturn/scheduler"
)

// newFullSizeMonitor returns a Monitor in a fleet of 1,200 fronts and 1,800 nodes, and the names of the nodes.
func newFullSizeMonitor(t testing.TB) (*Monitor, []string) {
	m, err := New(Defaults(0, 1, zonesOf(10, 120)))
	if err != nil {
		t.Fatal(err)
	}
	list := EndpointsChanged{Full: true}
	var names []string
	for i := range 1800 {
		names = append(names, fmt.Sprintf("node-%d", i))
		list.Nodes = append(list.Nodes, scheduler.Endpoint{Node: names[i], StartedAt: scheduler.Micros(i) * second})
	}
	m.Step(second, []Event{list})
	return m, names
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// A Monitor with 1,800 healthy nodes and requests to all of them must use at most 700,000 bytes.
func TestMemoryOfHealthyNodes(t *testing.T) {
	before := heapBytes()
	m, names := newFullSizeMonitor(t)
	now := 2 * second
	for i := range 20_000 {
		now += 1400
		id := fmt.Sprint(i)
		m.Step(now, []Event{AttemptStarted{Node: names[i%1800], ID: id}})
		m.Step(now+1000, []Event{AttemptEnded{Node: names[i%1800], ID: id, Result: scheduler.OK}})
	}
	used := int64(heapBytes()) - int64(before)
	t.Logf("%d bytes of heap, including node names", used)
	if used > 700_000 {
		t.Errorf("%d bytes of heap, want at most 700000", used)
	}
	for _, n := range m.byName {
		if n.investigation != nil {
			t.Fatal("a healthy node has an investigation")
		}
	}
	runtime.KeepAlive(m)
}

// After silent nodes have returned, their investigations and all pending work are discarded.
func TestInvestigationsAreDiscarded(t *testing.T) {
	w := newSimulation(1, zonesOf(1, 6), 10, nil)
	w.load(3, w.nodes, w.now+20*second)
	w.at(w.now+second, func() { w.setAll(true) })
	w.at(w.now+4*second, func() { w.setAll(false) })
	w.run(w.now + 20*second)
	for _, f := range w.fronts {
		kept := 0
		for _, n := range f.monitor.byName {
			if n.investigation != nil {
				kept++
			}
		}
		if kept > 0 {
			t.Errorf("front %d keeps investigations of %d nodes", f.number, kept)
		}
		if len(f.monitor.attempts) > 0 || len(f.monitor.due) > 0 || len(f.monitor.outbox.broadcasts) > 0 {
			t.Errorf("front %d keeps %d attempts and %d nodes due for review, or unfinished broadcasts",
				f.number, len(f.monitor.attempts), len(f.monitor.due))
		}
	}
}

// BenchmarkStepHealthy measures the start and end of an attempt at one of 1,800 healthy nodes, with 35 attempts outstanding.
func BenchmarkStepHealthy(b *testing.B) {
	m, names := newFullSizeMonitor(b)
	now := 2 * second
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 1400
		m.Step(now, []Event{AttemptStarted{Node: names[i%1800], ID: ids[i%4096]}})
		if j := i - 35; j >= 0 {
			m.Step(now+1, []Event{AttemptEnded{Node: names[j%1800], ID: ids[j%4096], Result: scheduler.OK}})
		}
	}
}

// BenchmarkStepSilentNodes measures the processing of a message from each of two fronts about 20 of 180 silent nodes.
func BenchmarkStepSilentNodes(b *testing.B) {
	m, names := newFullSizeMonitor(b)
	now := 2 * second
	sequence := uint32(0)
	steps := 0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10_000
		sequence++
		message := Message{Incarnation: 1, Sequence: sequence, Sent: now}
		for k := range 20 {
			node := (i*20 + k) % 180
			message.Entries = append(message.Entries, Entry{NodeKey(names[node]), encodeStart(scheduler.Micros(node) * second), Silent, 0})
		}
		m.Step(now, []Event{MessageReceived{1, message}, MessageReceived{2, message}})
		steps++
	}
	if c := m.Counters(); steps > 20 && c.Avoided != 180 {
		b.Errorf("%+v", c)
	}
}
