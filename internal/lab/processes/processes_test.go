package processes

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"testing"
	"time"

	"otterturn/internal/program"
	"otterturn/internal/testsupport"
)

// asFront is the environment variable that makes the test binary run as a front, like the built program.
const asFront = "OTTERTURN_TEST_FRONT"

func TestMain(m *testing.M) {
	if os.Getenv(asFront) != "" {
		if err := program.ServePlatform(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// testLab returns a Lab with few small sizes.
func testLab(t *testing.T) *Lab {
	t.Helper()
	return &Lab{
		Program: os.Args[0], Env: []string{asFront + "=1"}, Log: logWriter{t}, dir: t.TempDir(),
		Plan: Plan{Rates: []float64{20, 200}, Nodes: 4, Span: 2 * time.Second},
	}
}

// logWriter writes lines to the log of a test.
type logWriter struct{ t *testing.T }

func (w logWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// Ten times the request rate takes more processor time. The test doesn't ask for ten times as much, because a slow machine
// serves fewer requests than wanted.
func TestHigherRateTakesMoreProcessorTime(t *testing.T) {
	points, err := testLab(t).measureRates(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	few, many := points[0], points[1]
	if few.served <= 0 || many.served < 2*few.served || many.processor < 1.5*few.processor {
		t.Errorf("at 20 requests per second %+v, at 200 %+v", few, many)
	}
}

// Each connection with a held request takes memory and a descriptor.
func TestConnectionsTakeMemoryAndDescriptors(t *testing.T) {
	l, count := testLab(t), 300
	held := connectionStates[1]
	if !held.held || !held.wholeRequest {
		t.Fatalf("%s: not the state with held requests", held.name)
	}
	none, err := l.usageWithClients(t.Context(), held, 0)
	if err != nil {
		t.Fatal(err)
	}
	some, err := l.usageWithClients(t.Context(), held, count)
	if err != nil {
		t.Fatal(err)
	}
	if size := (some.Resident - none.Resident) / int64(count); size < 4<<10 || some.Descriptors < none.Descriptors+count {
		t.Errorf("%d bytes per connection, %d descriptors with connections, %d without", size, some.Descriptors, none.Descriptors)
	}
}

// After a change discovery sends each front the changed entries; after SIGHUP it sends each front the full list.
func TestEntriesSentForChangeAndReload(t *testing.T) {
	for _, onRequest := range []bool{false, true} {
		const fronts, listed = 2, 30
		pushed, reloaded, err := testLab(t).measureChange(t.Context(), onRequest, fronts, listed)
		if err != nil {
			t.Fatal(err)
		}
		if pushed.entries < 2*fronts || reloaded.entries < fronts*listed || reloaded.bytes < 5*pushed.bytes {
			t.Errorf("asked %v: change %+v, SIGHUP %+v", onRequest, pushed, reloaded)
		}
	}
}

// A relayed message arrives from the address that the recipient has for the sender.
func TestRelayKeepsSenderAddress(t *testing.T) {
	r, err := newRelay(3)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	listen := func(i int) *net.UDPConn {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.fronts[i]))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetReadDeadline(time.Now().Add(testsupport.WaitTimeout))
		return c
	}
	first, last := listen(0), listen(2)
	to, err := net.ResolveUDPAddr("udp4", r.peersOf(0)[2])
	if err != nil {
		t.Fatal(err)
	}
	first.WriteTo([]byte("hello"), to)
	text := make([]byte, 16)
	n, from, err := last.ReadFrom(text)
	if err != nil || string(text[:n]) != "hello" || from.String() != r.peersOf(2)[0] {
		t.Errorf("received %q from %v, error %v; the sender's address is %s", text[:n], from, err, r.peersOf(2)[0])
	}
	if r.Messages.Load() != 1 || r.Bytes.Load() != int64(n) {
		t.Errorf("relay counted %d messages, %d bytes", r.Messages.Load(), r.Bytes.Load())
	}
}

func TestFitOfLinesAndQuadraticGrowth(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	straight := fit(x, []float64{5, 7, 9, 11})
	if math.Abs(straight.Slope-2) > 1e-9 || math.Abs(straight.Intercept-3) > 1e-9 || straight.SlopeError > 1e-9 || straight.Superlinear {
		t.Errorf("points on a line: %+v", straight)
	}
	scattered := fit(x, []float64{1, 3, 3, 5.5})
	if want := math.Sqrt(scattered.Residual * scattered.Residual / 5); math.Abs(scattered.Slope-1.35) > 1e-9 ||
		math.Abs(scattered.SlopeError-want) > 1e-9 {
		t.Errorf("points off a line: %+v", scattered)
	}
	if !fit([]float64{1, 2, 3, 4, 8}, []float64{1, 2.01, 3, 4, 64}).Superlinear {
		t.Error("quadratic growth was not detected")
	}
}

// Run accepts the name of a measurement, and the error of a failed one begins with its name.
func TestRunNamesFailedMeasurement(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	l := &Lab{Program: "/nowhere/otterturn", Plan: Full(), Log: io.Discard}
	if _, err := l.Run(cancelled, "requests"); err == nil || err.Error()[:9] != "requests:" {
		t.Errorf("error of a failed measurement: %v", err)
	}
}
