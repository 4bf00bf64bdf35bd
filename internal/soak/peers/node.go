// Package peers emulates the surroundings of the fronts in a soak on loopback sockets: storage nodes, discovery and clients. Each adds
// its observations to the audit record. The package imports no package of the program.
package peers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/soak/audit"
)

// Clock returns the time since the start of the run.
type Clock func() time.Duration

// Behavior states how a node treats requests.
type Behavior struct {
	Name   string
	Delay  time.Duration // before an answer
	Hang   bool          // no answer
	Reset  bool          // the connection is reset once the request has arrived
	Reject bool          // the request is rejected
	Fail   bool          // the request is answered with an error
	Answer int           // length of the body of an answer in bytes; 0 for one that consists of the request's id
}

// The behaviors of nodes.
var (
	Healthy   = Behavior{Name: "well", Delay: 15 * time.Millisecond}
	Slow      = Behavior{Name: "slow", Delay: 350 * time.Millisecond}
	Hanging   = Behavior{Name: "hanging", Hang: true}
	Resetting = Behavior{Name: "breaking", Reset: true}
	Rejecting = Behavior{Name: "full", Reject: true}
	Failing   = Behavior{Name: "failing", Fail: true, Delay: 5 * time.Millisecond}
)

// Node is a storage node.
type Node struct {
	Name, Addr string

	clock       Clock
	record      *audit.Record
	idleTimeout time.Duration // idle connections are closed after this time
	listener    net.Listener

	mu       sync.Mutex
	behavior Behavior
	conns    map[net.Conn]struct{}

	healthChecks atomic.Int64 // number of health checks received
}

// NewNode starts a node.
func NewNode(name string, clock Clock, record *audit.Record, idleTimeout time.Duration) (*Node, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{
		Name: name, Addr: l.Addr().String(), clock: clock, record: record, idleTimeout: idleTimeout, listener: l, behavior: Healthy,
		conns: map[net.Conn]struct{}{},
	}
	go n.accept()
	return n, nil
}

// SetBehavior changes how the node treats requests from now on.
func (n *Node) SetBehavior(m Behavior) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.behavior = m
}

func (n *Node) currentBehavior() Behavior {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.behavior
}

// Close stops the node and closes its connections.
func (n *Node) Close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		c.Close()
	}
}

func (n *Node) accept() {
	for {
		c, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		go func() {
			n.serve(c)
			c.Close()
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.conns, c)
		}()
	}
}

func (n *Node) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(n.idleTimeout))
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := audit.Attempt{Node: n.Name, FirstByte: n.clock(), TimeLeft: -1}
		c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.ID = r.Header.Get("X-Correlation-Id")
		if left, err := time.ParseDuration(r.Header.Get("X-Time-Left") + "s"); err == nil {
			a.TimeLeft = left
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			n.record.AddAttempt(a)
			return
		}
		a.LastByte = n.clock()
		if a.ID == "" {
			if !n.answerHealthCheck(c) {
				return
			}
			continue
		}
		if !n.answer(c, in, &a, r.ContentLength) {
			return
		}
	}
}

// endlessCheckInterval is the number of health checks at a node of which one gets an answer that never ends.
const endlessCheckInterval = 3

// answerHealthCheck answers a health check. It reports whether the connection is still usable.
func (n *Node) answerHealthCheck(c net.Conn) bool {
	if n.healthChecks.Add(1)%endlessCheckInterval == 0 {
		sendEndlessAnswer(c)
		return false
	}
	const report = "TEXT backlog=0, outstanding=0"
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	return err == nil
}

// sendEndlessAnswer sends parts of an answer until the connection is closed.
func sendEndlessAnswer(c net.Conn) {
	const partBytes = 16 << 10
	part := fmt.Sprintf("%x\r\n%s\r\n", partBytes, strings.Repeat("x", partBytes))
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil {
		_, err = io.WriteString(c, part)
	}
}

// answer treats a request according to the node's present behavior and records the attempt. It reports whether the connection is still
// usable.
func (n *Node) answer(c net.Conn, in *bufio.Reader, a *audit.Attempt, length int64) bool {
	behavior := n.currentBehavior()
	defer func() { n.record.AddAttempt(*a) }()
	a.Ended = n.clock()
	switch {
	case behavior.Reject:
		a.Rejected = true
		_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case behavior.Reset:
		c.(*net.TCPConn).SetLinger(0)
		return false
	}
	ended := awaitEnd(c, in, behavior)
	a.Ended = n.clock() // taken before the answer is sent: the front may send again as soon as it has the answer
	if ended {
		return false
	}
	if behavior.Fail {
		_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	body := a.ID
	if length < 0 {
		body = strings.Repeat("x", 100<<10) // a long answer to a long request
	}
	if behavior.Answer > 0 {
		body = strings.Repeat("x", behavior.Answer)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// awaitEnd waits until the answer is due, and reports whether the front ended the connection before.
func awaitEnd(c net.Conn, in *bufio.Reader, behavior Behavior) (ended bool) {
	const maxWait = time.Minute
	wait := behavior.Delay
	if behavior.Hang {
		wait = maxWait
	}
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := in.Peek(1)
	c.SetReadDeadline(time.Time{})
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
