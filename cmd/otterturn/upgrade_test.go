package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"otterturn/internal/testsupport"
)

// clientConn is a client connection that stays open during upgrades.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (s *site) connect(t *testing.T) *clientConn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

// requestStart returns the first part of a request; requestRest is the remaining part.
func requestStart(id string) string {
	return "GET " + readPath + " HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: read\r\nX-Plan: gold\r\n"
}

const requestRest = "X-Time-Left: 4000m\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n"

func (k *clientConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := k.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func (k *clientConn) readStatus(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (k *clientConn) request(t *testing.T, id string) int {
	t.Helper()
	k.send(t, requestStart(id)+requestRest)
	return k.readStatus(t)
}

func awaitLogLine(t *testing.T, p *process, what string) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Log(p.output)
		}
	}()
	testsupport.WaitFor(t, what, func() bool { return strings.Contains(p.output.String(), what) })
}

// During successive upgrades no client connection is closed, a node that an operator excluded stays excluded, a request id is accepted
// only once across all processes, and a request that is half received is answered by the process that began to read it.
func TestSuccessiveUpgrades(t *testing.T) {
	s := newSite(t)
	predecessor := s.start(t, s.control)
	awaitHealthy(t, s.control)
	clients := []*clientConn{s.connect(t), s.connect(t), s.connect(t)}
	split := s.connect(t)
	for _, c := range clients[:2] { // the third connection has not sent a request yet
		testsupport.WaitFor(t, "a served request", func() bool { return c.request(t, newRequestID()) == 200 })
	}
	usedID := newRequestID()
	if got := clients[0].request(t, usedID); got != 200 {
		t.Fatalf("first request with the id: status %d", got)
	}
	for round := range 3 {
		split.send(t, requestStart(newRequestID()))
		control := freeAddr(t)
		successor := s.start(t, control)
		awaitHealthy(t, control)
		awaitLogLine(t, predecessor, "handover sent")
		split.send(t, requestRest)
		if got := split.readStatus(t); got != 200 {
			t.Errorf("round %d: status %d for the request sent in two halves", round, got)
		}
		predecessor.stop(t)
		for i, c := range clients {
			if got := c.request(t, newRequestID()); got != 200 {
				t.Errorf("round %d: connection %d: status %d", round, i, got)
			}
		}
		if got := split.request(t, newRequestID()); got != 200 {
			t.Errorf("round %d: status %d for the next request on the connection of the request sent in two halves", round, got)
		}
		predecessor, s.control = successor, control
	}
	if status, _ := operatorCall(t, "POST", s.control, "/chunk-servers/s/maint"); status != 200 {
		t.Fatalf("excluding the node: status %d", status)
	}
	control := freeAddr(t)
	successor := s.start(t, control)
	awaitHealthy(t, control)
	predecessor.stop(t)
	if got := clients[1].request(t, newRequestID()); got == 200 {
		t.Error("a request was served after an upgrade while the only node was excluded")
	}
	if status, _ := operatorCall(t, "POST", control, "/chunk-servers/s/ready"); status != 200 {
		t.Errorf("readmitting the node: status %d", status)
	}
	if got := clients[1].request(t, newRequestID()); got != 200 {
		t.Errorf("request after the node was readmitted: status %d", got)
	}
	if got := clients[1].request(t, usedID); got != 400 {
		t.Errorf("request with an id that another process accepted: status %d", got)
	}
	successor.stop(t)
}

// If a successor is killed, the predecessor continues serving and hands over to the next one. If the predecessor is killed, the
// successor continues serving. A file of another version in the folder, or a client that sends garbage, does not block a start.
func TestFailedUpgrades(t *testing.T) {
	s := newSite(t)
	if err := os.WriteFile(filepath.Join(s.folder, "handover"), []byte("of another version"), 0o600); err != nil {
		t.Fatal(err)
	}
	predecessor := s.start(t, s.control)
	awaitHealthy(t, s.control)
	c := s.connect(t)
	testsupport.WaitFor(t, "a served request", func() bool { return c.request(t, newRequestID()) == 200 })
	bad, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: filepath.Join(s.folder, "handover"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(bad, "nonsense")
	awaitLogLine(t, predecessor, "upgrade rejected, predecessor continues serving")
	bad.Close()
	for range 2 {
		control := freeAddr(t)
		successor := s.start(t, control)
		awaitHealthy(t, control)
		awaitLogLine(t, predecessor, "handover sent")
		newClient := s.connect(t)
		if got := newClient.request(t, newRequestID()); got != 200 {
			t.Errorf("new client of the successor: status %d", got)
		}
		successor.Process.Kill()
		testsupport.Await(t, "the exit of the successor", successor.done)
		testsupport.WaitFor(t, "an answer of the predecessor to a new client", func() bool { return s.connect(t).request(t, newRequestID()) == 200 })
	}
	control := freeAddr(t)
	successor := s.start(t, control)
	awaitHealthy(t, control)
	predecessor.Process.Signal(syscall.SIGKILL)
	testsupport.Await(t, "the exit of the predecessor", predecessor.done)
	if got := s.connect(t).request(t, newRequestID()); got != 200 {
		t.Errorf("request after the predecessor was killed: status %d", got)
	}
	successor.stop(t)
}

// A predecessor suspended by SIGSTOP cannot hand over its use of the limits. The successor serves, but adds no tokens to the limits
// until the predecessor has ended.
func TestUpgradeWithSuspendedPredecessor(t *testing.T) {
	s := newSite(t)
	predecessor := s.start(t, s.control)
	awaitHealthy(t, s.control)
	if err := predecessor.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	control := freeAddr(t)
	successor := s.start(t, control)
	awaitHealthy(t, control)
	awaitLogLine(t, successor, "predecessor silent, limits suspended until it ends")
	predecessor.Process.Kill()
	awaitLogLine(t, successor, "predecessor ended, limits resumed")
	testsupport.WaitFor(t, "a served request", func() bool { return s.connect(t).request(t, newRequestID()) == 200 })
	successor.stop(t)
}
