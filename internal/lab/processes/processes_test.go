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
	"otterturn/internal/standin"
)

// asFront in the environment has the test's own binary be a front, as the built program is.
const asFront = "OTTERTURN_TEST_FRONT"

func TestMain(m *testing.M) {
	if os.Getenv(asFront) != "" {
		if err := program.Platform(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// lab is a laboratory of few sizes.
func lab(t *testing.T) *Lab {
	t.Helper()
	return &Lab{
		Program: os.Args[0], Env: []string{asFront + "=1"}, Log: logWriter{t}, dir: t.TempDir(),
		Plan: Plan{Rates: []float64{20, 200}, Nodes: 4, Span: 2 * time.Second},
	}
}

// logWriter hands lines to a test's log.
type logWriter struct{ t *testing.T }

func (w logWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// Ten times as many requests take more processor time, though not ten times as much: a machine that is too slow for them
// serves fewer.
func TestRequestsTakeProcessorTime(t *testing.T) {
	points, err := lab(t).rates(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	few, many := points[0], points[1]
	if few.served <= 0 || many.served < 2*few.served || many.processor < 1.5*few.processor {
		t.Errorf("%+v and %+v", few, many)
	}
}

// Connections with a request that is held take memory and a descriptor each.
func TestConnectionsTakeMemoryAndDescriptors(t *testing.T) {
	l, many := lab(t), 300
	held := kinds[1]
	if !held.held || !held.full {
		t.Fatalf("%s: not of requests that are held", held.name)
	}
	none, err := l.connected(t.Context(), held, 0)
	if err != nil {
		t.Fatal(err)
	}
	some, err := l.connected(t.Context(), held, many)
	if err != nil {
		t.Fatal(err)
	}
	if each := (some.Resident - none.Resident) / int64(many); each < 4<<10 || some.Descriptors < none.Descriptors+many {
		t.Errorf("%d bytes each, %d descriptors of %d", each, some.Descriptors, none.Descriptors)
	}
}

// A change brings the entries that changed, to each front; SIGHUP brings the whole list, to each front.
func TestLinesOfAChange(t *testing.T) {
	for _, asked := range []bool{false, true} {
		const fronts, listed = 2, 30
		pushed, reread, err := lab(t).change(t.Context(), asked, fronts, listed)
		if err != nil {
			t.Fatal(err)
		}
		if pushed.lines < 2*fronts || reread.lines < fronts*listed || reread.bytes < 5*pushed.bytes {
			t.Errorf("asked %v: %+v, %+v", asked, pushed, reread)
		}
	}
}

// What one front sends another comes from the address by which that one knows it.
func TestRelayKeepsWhoSaidIt(t *testing.T) {
	r, err := newRelay(3)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	hears := func(i int) *net.UDPConn {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.fronts[i]))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetReadDeadline(time.Now().Add(standin.Patience))
		return c
	}
	first, last := hears(0), hears(2)
	to, err := net.ResolveUDPAddr("udp4", r.peers(0)[2])
	if err != nil {
		t.Fatal(err)
	}
	first.WriteTo([]byte("hello"), to)
	text := make([]byte, 16)
	n, from, err := last.ReadFrom(text)
	if err != nil || string(text[:n]) != "hello" || from.String() != r.peers(2)[0] {
		t.Errorf("%q from %v, %v: not %s", text[:n], from, err, r.peers(2)[0])
	}
	if r.Messages.Load() != 1 || r.Bytes.Load() != int64(n) {
		t.Errorf("%d messages, %d bytes", r.Messages.Load(), r.Bytes.Load())
	}
}

func TestFit(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	straight := fit(x, []float64{5, 7, 9, 11})
	if math.Abs(straight.Slope-2) > 1e-9 || math.Abs(straight.Intercept-3) > 1e-9 || straight.Error > 1e-9 || straight.Faster {
		t.Errorf("%+v", straight)
	}
	rough := fit(x, []float64{1, 3, 3, 5.5})
	if want := math.Sqrt(rough.Residual * rough.Residual / 5); math.Abs(rough.Slope-1.35) > 1e-9 || math.Abs(rough.Error-want) > 1e-9 {
		t.Errorf("%+v", rough)
	}
	if !fit([]float64{1, 2, 3, 4, 8}, []float64{1, 2.01, 3, 4, 64}).Faster {
		t.Error("a square was not found to grow faster")
	}
}

// Each named measure can be had, and one that fails says which it was.
func TestMeasuresAreNamed(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	l := &Lab{Program: "/nowhere/otterturn", Plan: Full(), Log: io.Discard}
	if _, err := l.Run(ended, "requests"); err == nil || err.Error()[:9] != "requests:" {
		t.Errorf("%v", err)
	}
}
