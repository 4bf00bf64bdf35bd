package monitor

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/fleet/health"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

const ms scheduler.Micros = 1000

func testConfig(self int) health.Config {
	return health.Config{
		Self: self, Incarnation: 1, Zones: []int{0, 0}, Probers: 2, Quorum: 2, SuspectAfter: 50 * ms, ProbeTimeout: 100 * ms,
		EvidenceLifetime: 6000 * ms, TakeoverAfter: 1000 * ms, ProbesPerNode: 40, MessageRate: 8192,
	}
}

var testBounds = Bounds{Inbox: 16, MaxProbeWait: testsupport.WaitTimeout}

// zone contains the monitors of two fronts that exchange messages, and the channels to which their hooks write.
type zone struct {
	monitors [2]*Monitor
	reports  [2]chan scheduler.Event
	probes   chan string
	answers  atomic.Bool // whether nodes answer probes
	logLines chan string
}

// newZone starts two monitors with the node "a".
func newZone(t *testing.T, b Bounds) *zone {
	z := &zone{probes: make(chan string, 1024), logLines: make(chan string, 1024)}
	z.answers.Store(true)
	start := time.Now()
	for i := range z.monitors {
		z.reports[i] = make(chan scheduler.Event, 16)
		m, err := New(testConfig(i), b, Hooks{
			Now: func() scheduler.Micros { return scheduler.Micros(time.Since(start)/time.Microsecond) + 1 },
			Probe: func(node string) scheduler.HealthChecked {
				z.probes <- node
				return scheduler.HealthChecked{Node: node, OK: z.answers.Load(), Queue: -1}
			},
			Report: func(e scheduler.Event) { z.reports[i] <- e },
			Send:   func(to int, message []byte) { z.monitors[to].Intercept(i, message) },
			Log:    testsupport.Log(func(line string) { z.logLines <- line }),
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

// A requested probe of a node that no front suspects starts immediately.
func TestProbeOfUnsuspectedNodeStartsImmediately(t *testing.T) {
	z := newZone(t, testBounds)
	if p := z.monitors[0].Probe("a"); !p.OK || p.Node != "a" {
		t.Errorf("probe result %+v, want success", p)
	}
	if node := testsupport.Await(t, "a probe", z.probes); node != "a" {
		t.Errorf("probed %q", node)
	}
}

// After a failed attempt at one front, both fronts probe and avoid the node. The scheduler's probe is deferred until the
// node answers again.
func TestZoneDetectsSilentAndReturnedNode(t *testing.T) {
	z := newZone(t, testBounds)
	z.answers.Store(false)
	if !z.monitors[0].AttemptStarted("a", "x", 0) {
		t.Fatal("attempt was not accepted")
	}
	z.monitors[0].AttemptEnded("a", scheduler.AttemptEnded{ID: "x", Result: scheduler.Unreachable})
	for _, reports := range z.reports {
		if e := testsupport.Await(t, "a report", reports); e.(scheduler.NodeSilent).Node != "a" {
			t.Errorf("reported %+v, want node a silent", e)
		}
	}
	answered := make(chan scheduler.HealthChecked, 1)
	go func() { answered <- z.monitors[1].Probe("a") }()
	testsupport.WaitFor(t, "further probes", func() bool { return len(z.probes) > 4 })
	select {
	case p := <-answered:
		t.Errorf("probe answered with %+v while the node is silent", p)
	default:
	}
	z.answers.Store(true)
	if p := testsupport.Await(t, "the answer", answered); !p.OK {
		t.Errorf("probe result %+v, want success", p)
	}
	c, err := z.monitors[0].Counters(t.Context())
	if err != nil || c.Avoided != 0 || c.Probes == 0 || c.Sent == 0 || c.SentBytes < c.Sent || c.Received == 0 || c.Drops() != 0 {
		t.Errorf("counters %+v, error %v", c, err)
	}
}

// A call of Probe returns as failed after MaxProbeWait, and when the monitor ends, even if the probe hook blocks forever.
func TestProbeWaitIsBounded(t *testing.T) {
	blockingHooks := Hooks{
		Now: func() scheduler.Micros { return 1 }, Probe: func(string) scheduler.HealthChecked { select {} }, Log: testsupport.Log(func(string) {}),
	}
	for what, maxWait := range map[string]time.Duration{"the bound": time.Millisecond, "the monitor's end": time.Hour} {
		m, err := New(testConfig(0), Bounds{Inbox: 16, MaxProbeWait: maxWait}, blockingHooks)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		answered := make(chan scheduler.HealthChecked, 1)
		go func() { answered <- m.Probe("a") }()
		if maxWait == time.Hour {
			testsupport.WaitFor(t, "the call", func() bool {
				m.waiters.mu.Lock()
				defer m.waiters.mu.Unlock()
				return len(m.waiters.byNode["a"]) == 1
			})
			cancel()
		}
		if p := testsupport.Await(t, what, answered); p.OK || p.Node != "a" || p.Queue != -1 {
			t.Errorf("%s: probe result %+v, want failure", what, p)
		}
		cancel()
		<-m.stopped
		m.waiters.mu.Lock()
		if n := len(m.waiters.byNode); n != 0 {
			t.Errorf("%s: %d nodes still have waiting calls", what, n)
		}
		m.waiters.mu.Unlock()
		if _, err := m.Counters(t.Context()); !errors.Is(err, ErrStopped) {
			t.Errorf("%s: error of Counters: %v, want ErrStopped", what, err)
		}
	}
}

// A full inbox never blocks its senders: it drops and counts starts of attempts and messages, and still accepts the ends
// of accepted attempts.
func TestFullInboxDoesNotBlockSenders(t *testing.T) {
	m, err := New(testConfig(0), Bounds{Inbox: 3, MaxProbeWait: time.Hour}, Hooks{
		Now: func() scheduler.Micros { return 1 }, Log: testsupport.Log(func(string) {}),
	})
	if err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for range 10 {
		if m.AttemptStarted("a", "x", 0) {
			accepted++
		}
	}
	for range accepted {
		m.AttemptEnded("a", scheduler.AttemptEnded{ID: "x"})
	}
	message := health.Message{Incarnation: 1, Sequence: 1, Sent: 1, Entries: []health.Entry{{Node: 1, State: health.Silent}}}
	if !m.Intercept(1, message.Encode()) {
		t.Error("a health message was not recognized")
	}
	if got := m.inbox.droppedCount(); accepted != 3 || got != 8 || len(m.inbox.drain()) != 6 {
		t.Errorf("%d accepted, %d dropped, want 3 and 8", accepted, got)
	}
}

// Every drop of a datagram or entry is counted, and each reason is logged once.
func TestDropsAreCountedAndLoggedOnce(t *testing.T) {
	z := newZone(t, testBounds)
	m := z.monitors[0]
	if m.Intercept(1, []byte("grant 1 2 a")) {
		t.Error("a message of another kind was taken for a health message")
	}
	good := health.Message{Incarnation: 1, Sequence: 1, Sent: 1, Entries: []health.Entry{{Node: 1, State: health.Silent}}}.Encode()
	for range 5 {
		if !m.Intercept(1, good[:5]) {
			t.Error("a truncated health message was not recognized")
		}
		m.CountDrop(DropUnknownSender, "from", "nowhere")
	}
	m.Intercept(1, good) // about an unknown node
	m.Intercept(1, good) // repeated
	testsupport.WaitFor(t, "the counts", func() bool {
		c, err := m.Counters(t.Context())
		d := c.Dropped
		return err == nil && c.Drops() == 12 && d[health.DropUnreadable] == 5 && d[DropUnknownSender] == 5 &&
			d[health.DropUnknown] == 1 && d[health.DropRepeated] == 1
	})
	logged := map[health.Drop]int{}
	for range 4 {
		line := testsupport.Await(t, "a line", z.logLines)
		for _, why := range []health.Drop{health.DropUnreadable, DropUnknownSender, health.DropUnknown, health.DropRepeated} {
			if strings.Contains(line, string(why)) {
				logged[why]++
			}
		}
	}
	if len(logged) != 4 {
		t.Errorf("logged %v, want each reason once", logged)
	}
	if len(z.logLines) != 0 {
		t.Errorf("logged a further line %q", <-z.logLines)
	}
}

// New and Reconfigure reject an invalid configuration with the name of the field.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	invalid := testConfig(0)
	invalid.Quorum = 1
	if _, err := New(invalid, testBounds, Hooks{}); err == nil || !strings.Contains(err.Error(), "quorum") {
		t.Errorf("New: error %v, want one about quorum", err)
	}
	z := newZone(t, testBounds)
	if err := z.monitors[0].Reconfigure(t.Context(), invalid); err == nil || !strings.Contains(err.Error(), "quorum") {
		t.Errorf("Reconfigure: error %v, want one about quorum", err)
	}
	if err := z.monitors[0].Reconfigure(t.Context(), testConfig(0)); err != nil {
		t.Error(err)
	}
}
