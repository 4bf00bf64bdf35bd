package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// maxTestBytes is the number of bytes after which a peer of these tests stops to send. It is far above all limits on short
// messages, and all buffers of the kernel.
const maxTestBytes = 64 << 20

// sendUntilClosed writes pieces, with a pause after each, until the front closes the connection or maxTestBytes are sent. It
// reports whether the front closed the connection.
func sendUntilClosed(c net.Conn, piece string, pause time.Duration) bool {
	for sent := 0; sent < maxTestBytes; sent += len(piece) {
		if _, err := io.WriteString(c, piece); err != nil {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// loadReportSettings returns settings with which health checks are answered with a load report.
func loadReportSettings(t *testing.T) protocol.Settings {
	t.Helper()
	settings, err := protocol.ParseSettings([]byte(`{"report":{"how":"on_probe","fields":["backlog","outstanding"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// Guards against a front that exceeds its memory limit, or never checks a node again, because the answer to one health check does
// not end. Each such answer must end as malformed or at the check's timeout, and its connection must be closed; a further try
// on another connection shows that the node is healthy, if there is time for it.
func TestEndlessAnswerEndsHealthCheck(t *testing.T) {
	settings := loadReportSettings(t)
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	noise := strings.Repeat("noise 1 ", 1<<10)
	for _, c := range []struct {
		name, head, piece string
		pause             time.Duration
		want              bool // the node counts as healthy
	}{
		{"chunks", chunked, fmt.Sprintf("%x\r\n%s\r\n", len(noise), noise), 0, true},
		{"slow chunks", chunked, "1\r\nx\r\n", 10 * time.Millisecond, false},
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", noise, 0, true},
		{"length above the limit", "HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n", noise, 0, true},
		{"slow body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n", "x", 10 * time.Millisecond, false},
		{"head", "HTTP/1.1 200 OK\r\n", "X-Pad: " + noise[:100] + "\r\n", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan bool, 8)
			addr, _ := startNode(t, func(n int64, conn net.Conn, _ *http.Request) {
				if n > 1 {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					return
				}
				io.WriteString(conn, c.head)
				closed <- sendUntilClosed(conn, c.piece, c.pause)
			})
			pool := newNodes(func(l *limits.Limits) {
				if c.pause > 0 { // these cases wait for the timeout
					l.Nodes.BufferTimeout, l.Nodes.ProbeTimeout = 5*c.pause, 20*c.pause
				}
			}, addr)
			results := make(chan scheduler.HealthChecked, 1)
			go func() { results <- NewHealthChecker(pool, settings, logs.Discard()).Check("node-0") }()
			if got := testsupport.Await(t, "the end of the check", results); got.OK != c.want {
				t.Errorf("result %+v, want OK %v", got, c.want)
			}
			if !testsupport.Await(t, "the end of the answer", closed) {
				t.Errorf("the front read %d bytes and did not close the connection", maxTestBytes)
			}
			if got := sendAttempt(t, pool, testsupport.WaitTimeout); got.Result != scheduler.OK {
				t.Errorf("request after the check: %+v", got)
			}
		})
	}
}

// Guards against a leak of a place in the pool with each load report whose parts arrive slowly: the connection of such a report was
// neither reused nor closed, so that in the end no request could be sent.
func TestLoadReportInPartsReleasesConnection(t *testing.T) {
	const bufferTimeout = 20 * time.Millisecond
	addr, _ := startNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{"TEXT ", "backlog=2, ", "outstanding=3"} {
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
			time.Sleep(bufferTimeout)
		}
		io.WriteString(c, "0\r\n\r\n")
	})
	pool := newNodes(func(l *limits.Limits) { l.Nodes.Conns, l.Nodes.BufferTimeout = 1, bufferTimeout }, addr)
	checker := NewHealthChecker(pool, loadReportSettings(t), logs.Discard())
	for range 3 {
		if got := checker.Check("node-0"); !got.OK || got.Queue != 2 {
			t.Errorf("result %+v, want OK and a queue of 2", got)
		}
	}
}

// An endless answer to a health check must be named in the log, once for a series of them: without a line, growing memory was the
// only sign of it.
func TestMalformedHealthCheckAnswerIsLoggedOnce(t *testing.T) {
	addr, _ := startNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 200000000\r\n\r\n")
	})
	var lines []string
	checker := NewHealthChecker(newNodes(nil, addr), protocol.Settings{}, testsupport.Log(func(line string) { lines = append(lines, line) }))
	for range 2 {
		checker.Check("node-0")
	}
	if len(lines) != 1 || !strings.Contains(lines[0], "health check answer malformed") || !strings.Contains(lines[0], "node-0") {
		t.Errorf("logged %q, want one line about node-0", lines)
	}
}
