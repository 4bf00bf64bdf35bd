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

	"otterturn/internal/standin"
)

// kept is a client connection that stays open during upgrades.
type kept struct {
	net.Conn
	in *bufio.Reader
}

func (s *site) connect(t *testing.T) *kept {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &kept{c, bufio.NewReader(c)}
}

// head returns the first part of a request; rest is the remaining part.
func head(id string) string {
	return "GET " + piece + " HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: read\r\nX-Plan: gold\r\n"
}

const rest = "X-Time-Left: 4000m\r\nX-IO: units=1,shard=0,hosts=1\r\n\r\n"

func (k *kept) say(t *testing.T, text string) {
	t.Helper()
	if _, err := k.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func (k *kept) answer(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (k *kept) ask(t *testing.T, id string) int {
	t.Helper()
	k.say(t, head(id)+rest)
	return k.answer(t)
}

func logged(t *testing.T, p *process, what string) {
	t.Helper()
	defer func() {
		if t.Failed() {
			t.Log(p.output)
		}
	}()
	standin.Until(t, what, func() bool { return strings.Contains(p.output.String(), what) })
}

// During successive upgrades no client connection is closed, a node that an operator excluded stays excluded, a request id is accepted
// only once across all processes, and a request that is half received is answered by the process that began to read it.
func TestUpgrades(t *testing.T) {
	s := newSite(t)
	predecessor := s.start(t, s.control)
	healthy(t, s.control)
	clients := []*kept{s.connect(t), s.connect(t), s.connect(t)}
	half := s.connect(t)
	for _, c := range clients[:2] { // the third connection has not sent a request yet
		standin.Until(t, "a served request", func() bool { return c.ask(t, anID()) == 200 })
	}
	once := anID()
	if got := clients[0].ask(t, once); got != 200 {
		t.Fatalf("first request with the id: status %d", got)
	}
	for round := range 3 {
		half.say(t, head(anID()))
		control := freeAddr(t)
		successor := s.start(t, control)
		healthy(t, control)
		logged(t, predecessor, "handover sent")
		half.say(t, rest)
		if got := half.answer(t); got != 200 {
			t.Errorf("round %d: status %d for the request sent in two halves", round, got)
		}
		predecessor.stop(t)
		for i, c := range clients {
			if got := c.ask(t, anID()); got != 200 {
				t.Errorf("round %d: connection %d: status %d", round, i, got)
			}
		}
		if got := half.ask(t, anID()); got != 200 {
			t.Errorf("round %d: status %d for the next request on the connection of the request sent in two halves", round, got)
		}
		predecessor, s.control = successor, control
	}
	if status, _ := call(t, "POST", s.control, "/chunk-servers/s/maint"); status != 200 {
		t.Fatalf("excluding the node: status %d", status)
	}
	control := freeAddr(t)
	successor := s.start(t, control)
	healthy(t, control)
	predecessor.stop(t)
	if got := clients[1].ask(t, anID()); got == 200 {
		t.Error("a request was served after an upgrade while the only node was excluded")
	}
	if status, _ := call(t, "POST", control, "/chunk-servers/s/ready"); status != 200 {
		t.Errorf("readmitting the node: status %d", status)
	}
	if got := clients[1].ask(t, anID()); got != 200 {
		t.Errorf("request after the node was readmitted: status %d", got)
	}
	if got := clients[1].ask(t, once); got != 400 {
		t.Errorf("request with an id that another process accepted: status %d", got)
	}
	successor.stop(t)
}

// If a successor is killed, the predecessor continues serving and hands over to the next one. If the predecessor is killed, the
// successor continues serving. A file of another version in the folder, or a client that sends garbage, does not block a start.
func TestUpgradesThatFail(t *testing.T) {
	s := newSite(t)
	if err := os.WriteFile(filepath.Join(s.folder, "handover"), []byte("of another version"), 0o600); err != nil {
		t.Fatal(err)
	}
	predecessor := s.start(t, s.control)
	healthy(t, s.control)
	c := s.connect(t)
	standin.Until(t, "a served request", func() bool { return c.ask(t, anID()) == 200 })
	bad, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: filepath.Join(s.folder, "handover"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(bad, "nonsense")
	logged(t, predecessor, "upgrade rejected, predecessor continues serving")
	bad.Close()
	for range 2 {
		control := freeAddr(t)
		successor := s.start(t, control)
		healthy(t, control)
		logged(t, predecessor, "handover sent")
		fresh := s.connect(t)
		if got := fresh.ask(t, anID()); got != 200 {
			t.Errorf("new client of the successor: status %d", got)
		}
		successor.Process.Kill()
		standin.Await(t, "the exit of the successor", successor.done)
		standin.Until(t, "an answer of the predecessor to a new client", func() bool { return s.connect(t).ask(t, anID()) == 200 })
	}
	control := freeAddr(t)
	successor := s.start(t, control)
	healthy(t, control)
	predecessor.Process.Signal(syscall.SIGKILL)
	standin.Await(t, "the exit of the predecessor", predecessor.done)
	if got := s.connect(t).ask(t, anID()); got != 200 {
		t.Errorf("request after the predecessor was killed: status %d", got)
	}
	successor.stop(t)
}

// A predecessor suspended by SIGSTOP cannot hand over its use of the limits. The successor serves, but adds no tokens to the limits
// until the predecessor has ended.
func TestUpgradeBesideOneThatSaysNothing(t *testing.T) {
	s := newSite(t)
	predecessor := s.start(t, s.control)
	healthy(t, s.control)
	if err := predecessor.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	control := freeAddr(t)
	successor := s.start(t, control)
	healthy(t, control)
	logged(t, successor, "predecessor silent, limits suspended until it ends")
	predecessor.Process.Kill()
	logged(t, successor, "predecessor ended, limits resumed")
	standin.Until(t, "a served request", func() bool { return s.connect(t).ask(t, anID()) == 200 })
	successor.stop(t)
}
