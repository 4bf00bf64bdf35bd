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
	Addr          string
	Silent        atomic.Bool  // the node accepts connections and requests but answers nothing
	HoldsAttempts atomic.Bool  // the node answers probes but not attempts
	Opened        atomic.Int64 // connections so far
	Open          atomic.Int64 // connections now
	Requests      atomic.Int64 // attempts received
	Probes        atomic.Int64
	Received      atomic.Int64 // bytes received
	Wire          atomic.Int64 // bytes of closed connections that began while Silent was set, both ways, IP and TCP headers included

	workTime func(*http.Request) time.Duration // working time of an attempt, nil for none; set before the first attempt

	mu     sync.Mutex
	server *http.Server
	seen   map[string]attemptSpan // by the front's id prefix
}

// attemptSpan holds the times of a front's first and last attempt.
type attemptSpan struct{ first, last time.Time }

// answerBytes is the size of each answer's body.
const answerBytes = 1 << 10

var answerBody = make([]byte, answerBytes)

// discardLog discards the log of a node's server: broken client connections are expected.
var discardLog = log.New(io.Discard, "", 0)

// startNodes starts count nodes at separate addresses.
func startNodes(count int) ([]*Node, error) {
	var nodes []*Node
	for range count {
		n := &Node{Addr: ownHost() + ":0", seen: map[string]attemptSpan{}}
		if err := n.start(); err != nil {
			closeNodes(nodes)
			return nil, err
		}
		nodes = append(nodes, n)
	}
	return nodes, nil
}

// start starts the node's server; after a stop it gets the same address as before.
func (n *Node) start() error {
	l, err := net.Listen("tcp", n.Addr)
	if err != nil {
		return err
	}
	n.Addr = l.Addr().String()
	server := &http.Server{Handler: n, ErrorLog: discardLog}
	n.mu.Lock()
	n.server = server
	n.mu.Unlock()
	go server.Serve(&meter{Listener: l, opened: &n.Opened, open: &n.Open, received: &n.Received, wire: &n.Wire, countsWire: &n.Silent})
	return nil
}

// stop stops the node's server: its connections break, and new ones are refused.
func (n *Node) stop() {
	n.mu.Lock()
	server := n.server
	n.mu.Unlock()
	server.Close()
}

func closeNodes(nodes []*Node) {
	for _, n := range nodes {
		n.stop()
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

// unusedEntries returns entries of count nodes without a listener, which get no requests.
func unusedEntries(count int) []Entry {
	var out []Entry
	for i := range count {
		out = append(out, entry(i, unusedAddress))
	}
	return out
}

// ServeHTTP answers an attempt or a probe.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		n.Probes.Add(1)
		n.answer(w, r, nil, n.Silent.Load())
		return
	}
	n.Requests.Add(1)
	n.recordAttempt(idPrefixOf(r), time.Now())
	io.Copy(io.Discard, r.Body)
	if n.workTime != nil {
		time.Sleep(n.workTime(r))
	}
	n.answer(w, r, answerBody, n.Silent.Load() || n.HoldsAttempts.Load())
}

// answer writes the body, or waits until the front ends the request if hold is set.
func (n *Node) answer(w http.ResponseWriter, r *http.Request, body []byte, hold bool) {
	if hold {
		<-r.Context().Done()
		return
	}
	w.Write(body)
}

func (n *Node) recordAttempt(front string, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, known := n.seen[front]
	if !known {
		s.first = at
	}
	s.last = at
	n.seen[front] = s
}

// attemptTimes returns the times of a front's first and last attempt, and whether there was any.
func (n *Node) attemptTimes(front string) (attemptSpan, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, known := n.seen[front]
	return s, known
}
