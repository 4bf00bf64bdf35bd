package health

import (
	"fmt"
	"runtime"
	"testing"

	"otterturn/scheduler"
)

// atFullSize is a Monitor of one front of 1,200 before 1,800 nodes.
func atFullSize(t testing.TB) (*Monitor, []string) {
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

// A Monitor that knows 1,800 healthy nodes and has requests at all of them takes well under 1 MB.
func TestMemoryOfHealthyNodes(t *testing.T) {
	before := heapBytes()
	m, names := atFullSize(t)
	now := 2 * second
	for i := range 20_000 {
		now += 1400
		id := fmt.Sprint(i)
		m.Step(now, []Event{AttemptStarted{Node: names[i%1800], ID: id}})
		m.Step(now+1000, []Event{AttemptEnded{Node: names[i%1800], ID: id, Result: scheduler.OK}})
	}
	took := int64(heapBytes()) - int64(before)
	t.Logf("%d bytes, names included", took)
	if took > 700_000 {
		t.Errorf("%d bytes", took)
	}
	for _, n := range m.byName {
		if n.investigation != nil {
			t.Fatal("trouble is kept of a healthy node")
		}
	}
	runtime.KeepAlive(m)
}

// What is kept of trouble goes with it.
func TestTroubleIsForgotten(t *testing.T) {
	w := newWorld(1, zonesOf(1, 6), 10, nil)
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
			t.Errorf("front %d keeps trouble of %d nodes", f.number, kept)
		}
		if len(f.monitor.attempts) > 0 || len(f.monitor.due) > 0 || len(f.monitor.outbox.rounds) > 0 {
			t.Errorf("front %d keeps %d attempts, %d due", f.number, len(f.monitor.attempts), len(f.monitor.due))
		}
	}
}

// BenchmarkStepHealthy is an attempt's start and end at one of 1,800 healthy nodes, 35 others being out.
func BenchmarkStepHealthy(b *testing.B) {
	m, names := atFullSize(b)
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

// BenchmarkStepTrouble is a message of two fronts about 20 of 180 silent nodes, and what follows from it.
func BenchmarkStepTrouble(b *testing.B) {
	m, names := atFullSize(b)
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
			message.Entries = append(message.Entries, Entry{NodeKey(names[node]), wireSince(scheduler.Micros(node) * second), Silent, 0})
		}
		m.Step(now, []Event{MessageReceived{1, message}, MessageReceived{2, message}})
		steps++
	}
	if c := m.Counters(); steps > 20 && c.Avoided != 180 {
		b.Errorf("%+v", c)
	}
}
