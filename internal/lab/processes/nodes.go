package processes

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Node is a stand-in that answers each request at once and counts its input. It does without the model of a node's cores and
// queues (package model), because the cost of the front is measured, not the service that it gets.
type Node struct {
	Addr     string
	Mute     atomic.Bool  // the node accepts connections and requests but answers nothing
	Holds    atomic.Bool  // the node answers probes but not attempts
	Opened   atomic.Int64 // connections so far
	Open     atomic.Int64 // connections now
	Requests atomic.Int64 // attempts received
	Probes   atomic.Int64 // probes received
	Received atomic.Int64 // bytes received
	Wire     atomic.Int64 // bytes of closed connections that began while Mute was set, both ways, IP and TCP headers included

	work func(*http.Request) time.Duration // working time of an attempt, nil for none; set before the first attempt

	mu     sync.Mutex
	server *http.Server
	seen   map[string]span // by the front's mark in request ids
}

// span holds the times of a front's first and last attempt.
type span struct{ first, last time.Time }

// answerBytes is the size of each answer's body.
const answerBytes = 1 << 10

var answerBody = make([]byte, answerBytes)

// quiet discards the log of a node's server: broken client connections are expected.
var quiet = log.New(io.Discard, "", 0)

// startNodes starts many nodes at separate addresses.
func startNodes(many int) ([]*Node, error) {
	var nodes []*Node
	for range many {
		n := &Node{Addr: host() + ":0", seen: map[string]span{}}
		if err := n.begin(); err != nil {
			closeNodes(nodes)
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// begin starts the node's server, after a kill at the same address as before.
func (n *Node) begin() error {
	l, err := net.Listen("tcp", n.Addr)
	if err != nil {
		return err
	}
	n.Addr = l.Addr().String()
	server := &http.Server{Handler: n, ErrorLog: quiet}
	n.mu.Lock()
	n.server = server
	n.mu.Unlock()
	go server.Serve(&meter{Listener: l, opened: &n.Opened, open: &n.Open, received: &n.Received, wire: &n.Wire, wired: &n.Mute})
	return nil
}

// kill stops the node's server: its connections break, and new ones are refused.
func (n *Node) kill() {
	n.mu.Lock()
	server := n.server
	n.mu.Unlock()
	server.Close()
}

func closeNodes(nodes []*Node) {
	for _, n := range nodes {
		n.kill()
	}
}

// entries returns the list entries of nodes; node i has shard i.
func entries(nodes []*Node) []Entry {
	var out []Entry
	for i, n := range nodes {
		out = append(out, entry(i, n.Addr))
	}
	return out
}

// listed returns entries of many nodes without a listener, which get no requests.
func listed(many int) []Entry {
	var out []Entry
	for i := range many {
		out = append(out, entry(i, nowhere))
	}
	return out
}

// ServeHTTP answers an attempt or a probe.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		n.Probes.Add(1)
		n.answer(w, r, nil, n.Mute.Load())
		return
	}
	n.Requests.Add(1)
	n.note(frontOf(r), time.Now())
	io.Copy(io.Discard, r.Body)
	if n.work != nil {
		time.Sleep(n.work(r))
	}
	n.answer(w, r, answerBody, n.Mute.Load() || n.Holds.Load())
}

// answer writes the body, or waits until the front ends the request if holds is set.
func (n *Node) answer(w http.ResponseWriter, r *http.Request, body []byte, holds bool) {
	if holds {
		<-r.Context().Done()
		return
	}
	w.Write(body)
}

func (n *Node) note(front string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, known := n.seen[front]
	if !known {
		s.first = at
	}
	s.last = at
	n.seen[front] = s
}

// came returns the times of a front's first and last attempt, and whether there was any.
func (n *Node) came(front string) (span, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, known := n.seen[front]
	return s, known
}
