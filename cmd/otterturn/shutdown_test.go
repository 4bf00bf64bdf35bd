package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterturn/internal/testsupport"
)

// The platform sends SIGKILL after SIGTERM. The time between them is the longest deadline of a class, at most killMaxDeadline, plus
// killExtra.
const (
	killMaxDeadline = 3 * time.Second
	killExtra       = 700 * time.Millisecond
)

func killAfter(longest time.Duration) time.Duration { return min(longest, killMaxDeadline) + killExtra }

// shutdownSite is a front with one node, which answers after a delay, or never if the delay is negative.
type shutdownSite struct {
	addr, control, config string
	node, discovery       string
	received              atomic.Int64 // requests that reached the node
}

func newShutdownSite(t *testing.T, deadline, delay time.Duration) *shutdownSite {
	t.Helper()
	s := &shutdownSite{addr: freeAddr(t), control: freeAddr(t)}
	s.node = httpPeer(t, func(*http.Request) string {
		s.received.Add(1)
		if delay < 0 {
			return ""
		}
		time.Sleep(delay)
		return "index data"
	})
	list := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`, s.node)
	s.discovery = httpPeer(t, func(r *http.Request) string {
		if r.URL.Query().Get("from") == "42" {
			return ""
		}
		return list
	})
	s.config = writeTemp(t, "config.json", s.configText(deadline))
	return s
}

// configText returns the configuration with the given longest deadline.
func (s *shutdownSite) configText(deadline time.Duration) string {
	return strings.Replace(fmt.Sprintf(platformConfig, s.addr, s.discovery), `"giveUpUs":5000000`, fmt.Sprintf(`"giveUpUs":%d`, deadline.Microseconds()), 1)
}

// start starts the front and waits until it serves.
func (s *shutdownSite) start(t *testing.T, prepare func(*exec.Cmd)) *process {
	t.Helper()
	p := startWith(t, prepare, []string{"RELAY_CONFIG=" + s.config, "RELAY_CONTROL=" + s.control})
	s.awaitServing(t)
	return p
}

func (s *shutdownSite) awaitServing(t *testing.T) {
	t.Helper()
	awaitHealthy(t, s.control)
	testsupport.WaitFor(t, "the node on the endpoint list", func() bool {
		_, text := operatorCall(t, "GET", s.control, "/stats")
		return strings.Contains(text, "svc.chunk_servers_known:1|g")
	})
}

// requestHead returns the head of a request whose client waits for the given time.
func requestHead(method string, body int, wait time.Duration) (head string) {
	head = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %s\r\nX-Service-Class: read\r\nX-Plan: gold\r\nX-Time-Left: %dm\r\nX-IO: units=1,shard=0,hosts=1\r\n",
		method, readPath, newRequestID(), wait.Milliseconds())
	if body > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return head + "\r\n"
}

func dialFront(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// Guards against requests that have no answer at SIGKILL because their body ends late in the shutdown: the time until SIGKILL was
// read when the head arrived, and the request was forwarded for longer than the time that was left when the body ended.
func TestBodyCompletedDuringShutdownIsAnsweredBeforeKill(t *testing.T) {
	const deadline = time.Second
	s := newShutdownSite(t, deadline, -1)
	p := s.start(t, func(*exec.Cmd) {})
	before, after := dialFront(t, s.addr), dialFront(t, s.addr)
	put := requestHead("PUT", 10, deadline)
	io.WriteString(before, put+"12345")
	testsupport.WaitFor(t, "the beginning of a request", func() bool { return metricValue(t, s.control, "svc.in_flight") >= 0 })
	began := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // the test needs a fixed time within the shutdown
	io.WriteString(after, requestHead("PUT", 10, deadline)+"12345")
	time.Sleep(time.Until(began.Add(1100 * time.Millisecond)))
	kill := began.Add(killAfter(deadline))
	for name, c := range map[string]net.Conn{"head before SIGTERM": before, "head after SIGTERM": after} {
		io.WriteString(c, "67890")
		c.SetReadDeadline(kill)
		if _, err := readAnswer(c); err != nil && name != "" {
			defer t.Errorf("%s: no answer at the kill: %v", name, err)
		}
	}
	p.Process.Kill()
	testsupport.Await(t, "the exit of the program", p.done)
}

func readAnswer(c net.Conn) (status int, err error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// metricValue returns the value of a metric, -1 if the front does not report it.
func metricValue(t *testing.T, control, name string) (value int64) {
	t.Helper()
	_, text := operatorCall(t, "GET", control, "/stats")
	for _, line := range strings.Split(text, "\n") {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			fmt.Sscanf(rest, "%d|", &value)
			return value
		}
	}
	return -1
}

// eagerClients send requests on one connection each until the front closes it. They count requests without an answer at SIGKILL.
type eagerClients struct {
	wait       time.Duration
	all        sync.WaitGroup
	mu         sync.Mutex
	kill       time.Time // zero until the signal
	unanswered int
	answered   int
}

func (e *eagerClients) start(t *testing.T, addr string, many int) {
	for range many {
		c := dialFront(t, addr)
		e.all.Go(func() { e.ask(c) })
	}
}

func (e *eagerClients) killAt() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kill
}

func (e *eagerClients) ask(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := io.WriteString(c, requestHead("GET", 0, e.wait)); err != nil {
			return
		}
		for {
			c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			_, err := in.Peek(1)
			if kill := e.killAt(); errors.Is(err, os.ErrDeadlineExceeded) && (kill.IsZero() || time.Now().Before(kill)) {
				continue
			} else if errors.Is(err, os.ErrDeadlineExceeded) {
				e.count(&e.unanswered)
				return
			}
			break
		}
		c.SetReadDeadline(time.Now().Add(testsupport.WaitTimeout))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return // the front closed the connection between two requests
		}
		io.Copy(io.Discard, resp.Body)
		e.count(&e.answered)
		if resp.Close {
			return
		}
	}
}

func (e *eagerClients) count(n *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n++
}

// stopUnderLoad sends the signals under load, kills the front when the platform would, and expects that all requests have an answer then.
func (e *eagerClients) stopUnderLoad(t *testing.T, p *process, longest time.Duration, signals ...os.Signal) {
	t.Helper()
	kill := time.Now().Add(killAfter(longest))
	for _, s := range signals {
		p.Process.Signal(s)
	}
	e.mu.Lock()
	e.kill = kill
	e.mu.Unlock()
	e.all.Wait()
	p.Process.Kill()
	testsupport.Await(t, "the exit of the program", p.done)
	if e.unanswered > 0 {
		t.Errorf("%d requests had no answer at SIGKILL, %d were answered", e.unanswered, e.answered)
	}
}

// Number of clients in the shutdown tests, and the delay of the node's answers.
const (
	shutdownClients = 30
	nodeDelay       = 350 * time.Millisecond
)

// Guards against requests lost after a reload that shortens the longest deadline, and with it the time until SIGKILL: the shutdown
// used the settings of the start.
func TestShutdownUsesReloadedDeadline(t *testing.T) {
	const reloaded = 500 * time.Millisecond
	s := newShutdownSite(t, 3*time.Second, nodeDelay)
	p := s.start(t, func(*exec.Cmd) {})
	if err := os.WriteFile(s.config, []byte(s.configText(reloaded)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	testsupport.WaitFor(t, "the reload", func() bool { return metricValue(t, s.control, "svc.reloads_ok") == 1 })
	clients := &eagerClients{wait: reloaded}
	clients.start(t, s.addr, shutdownClients)
	testsupport.WaitFor(t, "answers", func() bool { clients.mu.Lock(); defer clients.mu.Unlock(); return clients.answered > 0 })
	clients.stopUnderLoad(t, p, reloaded, syscall.SIGTERM)
}
