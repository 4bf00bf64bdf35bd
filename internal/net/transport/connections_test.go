package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

func TestAttemptAtUnreachableOrSilentNode(t *testing.T) {
	l := testsupport.Listen(t)
	l.Close()
	if got := sendAttempt(t, newNodes(nil, l.Addr().String()), testsupport.WaitTimeout); got.Result != scheduler.Unreachable {
		t.Errorf("refused connection: result %v", got.Result)
	}
	silent := testsupport.Peer(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) })
	if got := sendAttempt(t, newNodes(nil, silent), 50*time.Millisecond); got.Result != scheduler.TimedOut {
		t.Errorf("silent node: result %v", got.Result)
	}
}

// A connection that is reset while it is opened, or before anything is written, says nothing about the node, and an attempt
// of which nothing was sent uses another connection. Which of the two cases the client sees depends on how fast the node is.
func TestConnectionResetWhileOpening(t *testing.T) {
	addr := testsupport.Peer(t, func(n int, c net.Conn) {
		if n%2 == 0 {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, served)
		}
	})
	for range 2000 {
		if got := sendAttempt(t, newNodes(nil, addr), testsupport.WaitTimeout); got.Result != scheduler.OK && !got.Alive {
			t.Fatalf("result %+v, want OK or an alive node", got)
		}
	}
}

// The front's limit on connections to nodes says nothing about one node: reported as the node being full, it kept requests
// from a node with free capacity. An idle connection to another node is closed to make room, and if there is none the
// attempt waits for one.
func TestConnectionLimitIsNotReportedAsNodeFull(t *testing.T) {
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	addr, _ := startNode(t, func(n int64, c net.Conn, _ *http.Request) {
		if n == 2 {
			started <- struct{}{}
			<-proceed
		}
		io.WriteString(c, served)
	})
	other, count := startNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	s := newNodes(func(l *limits.Limits) { l.Nodes.Conns = 1 }, addr, other)
	probe := NewHealthChecker(s, protocol.Settings{}, logs.Discard()).Check
	if got := sendAttempt(t, s, testsupport.WaitTimeout); got.Result != scheduler.OK {
		t.Errorf("first attempt: result %v", got.Result)
	}
	if !probe("node-1").OK {
		t.Error("health check failed though the other node's connection was idle")
	}
	first, second := make(chan scheduler.AttemptEnded, 1), make(chan scheduler.HealthChecked, 1)
	go func() { first <- sendAttempt(t, s, testsupport.WaitTimeout) }()
	testsupport.Await(t, "the attempt to begin", started)
	go func() { second <- probe("node-1") }()
	close(proceed)
	if got := testsupport.Await(t, "the outcome", first); got.Result != scheduler.OK {
		t.Errorf("attempt that held the connection: result %v", got.Result)
	}
	if !testsupport.Await(t, "the probe", second).OK || count.Load() != 2 {
		t.Errorf("health check that waited failed, or %d requests instead of 2", count.Load())
	}
}

// A request written to a connection that the node has closed ends with a reset, after which it may have run. So an idle
// connection is checked before it is used.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	ended := make(chan struct{}, 1)
	addr, _ := startNode(t, func(n int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, served)
		if n == 1 {
			c.Close()
			ended <- struct{}{}
		}
	})
	s := newNodes(nil, addr)
	sendAttempt(t, s, testsupport.WaitTimeout)
	testsupport.Await(t, "the node to close the connection", ended)
	if got := sendAttempt(t, s, testsupport.WaitTimeout); got.Result != scheduler.OK {
		t.Errorf("after the node closed an idle connection: result %v", got.Result)
	}
}

// No byte may be written on an old connection once the node has been restarted, or once a drain was announced while a
// connection was being opened.
func TestNodeChangesApplyBeforeTheFirstByte(t *testing.T) {
	conns := make(chan int, 8)
	addr := testsupport.Peer(t, func(n int, c net.Conn) {
		conns <- n
		for in := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, served)
		}
	})
	s := newNodes(nil, addr)
	sendAttempt(t, s, testsupport.WaitTimeout)
	testsupport.Await(t, "the first connection", conns)
	endpoints := endpointList(addr)
	endpoints.Hosts[0].StartedAt = 7
	s.Apply(endpoints)
	if got := sendAttempt(t, s, testsupport.WaitTimeout); got.Result != scheduler.OK {
		t.Errorf("after a restart: result %v", got.Result)
	}
	testsupport.Await(t, "a connection to the restarted node", conns)
	endpoints.Hosts[0].State = scheduler.Draining
	s.Apply(endpoints)
	if got := sendAttempt(t, s, testsupport.WaitTimeout); got.Result != scheduler.QueueFull {
		t.Errorf("draining node: result %v", got.Result)
	}
}
