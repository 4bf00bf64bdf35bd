package monitor

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/fleet/health"
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

const ms scheduler.Micros = 1000

func testConfig(self int) health.Config {
	return health.Config{
		Self: self, Incarnation: 1, Zones: []int{0, 0}, Probers: 2, Quorum: 2, SuspectAfter: 50 * ms, ProbeTimeout: 100 * ms,
		EvidenceLifetime: 6000 * ms, TakeoverAfter: 1000 * ms, ProbesPerNode: 40, MessageRate: 8192,
	}
}

var testBounds = Bounds{Inbox: 16, MaxProbeWait: standin.Patience}

// zone is two fronts' monitors that hear each other, with what they act through.
type zone struct {
	monitors [2]*Monitor
	reports  [2]chan scheduler.Event
	probes   chan string
	answers  atomic.Bool // whether the nodes do
	lines    chan string
}

// newZone starts two monitors that know the node "a".
func newZone(t *testing.T, b Bounds) *zone {
	z := &zone{probes: make(chan string, 1024), lines: make(chan string, 1024)}
	z.answers.Store(true)
	began := time.Now()
	for i := range z.monitors {
		z.reports[i] = make(chan scheduler.Event, 16)
		m, err := New(testConfig(i), b, Hooks{
			Now: func() scheduler.Micros { return scheduler.Micros(time.Since(began)/time.Microsecond) + 1 },
			Probe: func(node string) scheduler.HealthChecked {
				z.probes <- node
				return scheduler.HealthChecked{Node: node, OK: z.answers.Load(), Queue: -1}
			},
			Report: func(e scheduler.Event) { z.reports[i] <- e },
			Send:   func(to int, message []byte) { z.monitors[to].Intercept(i, message) },
			Log:    standin.Log(func(line string) { z.lines <- line }),
		})
		if err != nil {
			t.Fatal(err)
		}
		m.UpdateEndpoints(scheduler.EndpointsChanged{Full: true, Endpoints: []scheduler.Endpoint{{Node: "a"}}})
		z.monitors[i] = m
	}
	for _, m := range z.monitors {
		go m.Run(t.Context())
	}
	return z
}

// A probe of a node that nobody suspects goes to the node at once.
func TestProbeOfANodeThatNobodySuspects(t *testing.T) {
	z := newZone(t, testBounds)
	if p := z.monitors[0].Probe("a"); !p.OK || p.Node != "a" {
		t.Errorf("%+v", p)
	}
	if node := standin.Await(t, "a probe", z.probes); node != "a" {
		t.Errorf("probed %q", node)
	}
}

// An attempt that failed at one front has both probe and both avoid the node; the scheduler's probe is held back until
// it answers again.
func TestZoneFindsANodeSilentAndBack(t *testing.T) {
	z := newZone(t, testBounds)
	z.answers.Store(false)
	if !z.monitors[0].AttemptStarted("a", "x", 0) {
		t.Fatal("no room")
	}
	z.monitors[0].AttemptEnded("a", scheduler.AttemptEnded{ID: "x", Result: scheduler.Unreachable})
	for _, reports := range z.reports {
		if e := standin.Await(t, "a report", reports); e.(scheduler.NodeSilent).Node != "a" {
			t.Errorf("reported %+v", e)
		}
	}
	answered := make(chan scheduler.HealthChecked, 1)
	go func() { answered <- z.monitors[1].Probe("a") }()
	standin.Until(t, "further probes", func() bool { return len(z.probes) > 4 })
	select {
	case p := <-answered:
		t.Errorf("answered %+v while the node is silent", p)
	default:
	}
	z.answers.Store(true)
	if p := standin.Await(t, "the answer", answered); !p.OK {
		t.Errorf("%+v", p)
	}
	c, err := z.monitors[0].Counters(t.Context())
	if err != nil || c.Avoided != 0 || c.Probes == 0 || c.Sent == 0 || c.SentBytes < c.Sent || c.Received == 0 || c.Drops() != 0 {
		t.Errorf("%+v, %v", c, err)
	}
}

// Whoever waits for a probe is answered within the bound, and at the monitor's end.
func TestProbeEnds(t *testing.T) {
	blocked := Hooks{Now: func() scheduler.Micros { return 1 }, Probe: func(string) scheduler.HealthChecked { select {} }, Log: standin.Log(func(string) {})}
	for what, hold := range map[string]time.Duration{"the bound": time.Millisecond, "the monitor's end": time.Hour} {
		m, err := New(testConfig(0), Bounds{Inbox: 16, MaxProbeWait: hold}, blocked)
		if err != nil {
			t.Fatal(err)
		}
		ctx, end := context.WithCancel(t.Context())
		go m.Run(ctx)
		answered := make(chan scheduler.HealthChecked, 1)
		go func() { answered <- m.Probe("a") }()
		if hold == time.Hour {
			standin.Until(t, "the call", func() bool {
				m.waiters.mu.Lock()
				defer m.waiters.mu.Unlock()
				return len(m.waiters.byNode["a"]) == 1
			})
			end()
		}
		if p := standin.Await(t, what, answered); p.OK || p.Node != "a" || p.Queue != -1 {
			t.Errorf("%s: %+v", what, p)
		}
		end()
		<-m.stopped
		m.waiters.mu.Lock()
		if n := len(m.waiters.byNode); n != 0 {
			t.Errorf("%s: %d nodes are waited for", what, n)
		}
		m.waiters.mu.Unlock()
		if _, err := m.Counters(t.Context()); !errors.Is(err, ErrStopped) {
			t.Errorf("%s: counters: %v", what, err)
		}
	}
}

// Nobody who observes is ever held up: what finds no room is counted, and the end of what found some has room.
func TestFullInboxHoldsNobodyUp(t *testing.T) {
	m, err := New(testConfig(0), Bounds{Inbox: 3, MaxProbeWait: time.Hour}, Hooks{Now: func() scheduler.Micros { return 1 }, Log: standin.Log(func(string) {})})
	if err != nil {
		t.Fatal(err)
	}
	taken := 0
	for range 10 {
		if m.AttemptStarted("a", "x", 0) {
			taken++
		}
	}
	for range taken {
		m.AttemptEnded("a", scheduler.AttemptEnded{ID: "x"})
	}
	message := health.Message{Incarnation: 1, Sequence: 1, Sent: 1, Entries: []health.Entry{{Node: 1, State: health.Silent}}}
	if !m.Intercept(1, message.Encode()) {
		t.Error("a message was taken for none")
	}
	if got := m.inbox.droppedCount(); taken != 3 || got != 8 || len(m.inbox.drain()) != 6 {
		t.Errorf("%d taken, %d lost, want 3 and 8", taken, got)
	}
}

// What can't be read is counted, and each kind is logged once.
func TestDropsAreCountedAndLoggedOnce(t *testing.T) {
	z := newZone(t, testBounds)
	m := z.monitors[0]
	if m.Intercept(1, []byte("grant 1 2 a")) {
		t.Error("a note was taken for a message")
	}
	good := health.Message{Incarnation: 1, Sequence: 1, Sent: 1, Entries: []health.Entry{{Node: 1, State: health.Silent}}}.Encode()
	for range 5 {
		if !m.Intercept(1, good[:5]) {
			t.Error("a message that is cut was taken for none")
		}
		m.Drop(DropUnknownSender, "from", "nowhere")
	}
	m.Intercept(1, good) // of an unknown node
	m.Intercept(1, good) // and repeated
	standin.Until(t, "the counts", func() bool {
		c, err := m.Counters(t.Context())
		d := c.Dropped
		return err == nil && c.Drops() == 12 && d[health.DropUnreadable] == 5 && d[DropUnknownSender] == 5 && d[health.DropUnknown] == 1 && d[health.DropRepeated] == 1
	})
	logged := map[health.Drop]int{}
	for range 4 {
		line := standin.Await(t, "a line", z.lines)
		for _, why := range []health.Drop{health.DropUnreadable, DropUnknownSender, health.DropUnknown, health.DropRepeated} {
			if strings.Contains(line, string(why)) {
				logged[why]++
			}
		}
	}
	if len(logged) != 4 {
		t.Errorf("logged %v, want each reason once", logged)
	}
	if len(z.lines) != 0 {
		t.Errorf("logged %q", <-z.lines)
	}
}

// A configuration that is wrong is refused with the field's name, at the start and while it runs; then the old one holds.
func TestWrongConfiguration(t *testing.T) {
	wrong := testConfig(0)
	wrong.Quorum = 1
	if _, err := New(wrong, testBounds, Hooks{}); err == nil || !strings.Contains(err.Error(), "quorum") {
		t.Errorf("at the start: %v", err)
	}
	z := newZone(t, testBounds)
	if err := z.monitors[0].Reconfigure(t.Context(), wrong); err == nil || !strings.Contains(err.Error(), "quorum") {
		t.Errorf("while it runs: %v", err)
	}
	if err := z.monitors[0].Reconfigure(t.Context(), testConfig(0)); err != nil {
		t.Error(err)
	}
}
