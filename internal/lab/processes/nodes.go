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

// Node is a stand-in that answers each request at once, and counts what comes. The model of a node's cores and queues
// (package model) is not wanted here: what a front takes is measured, not what it gets.
type Node struct {
	Addr     string
	Mute     atomic.Bool  // it takes connections and requests, and answers nothing
	Holds    atomic.Bool  // it answers probes alone, and holds attempts
	Opened   atomic.Int64 // connections so far
	Open     atomic.Int64 // connections now
	Requests atomic.Int64 // attempts that came
	Probes   atomic.Int64 // probes that came
	Received atomic.Int64 // bytes that came
	Wire     atomic.Int64 // bytes of connections that began while it was mute and have ended, both ways, with the heads of IP and TCP

	work func(*http.Request) time.Duration // what an attempt takes, nil for nothing; set before any comes

	mu     sync.Mutex
	server *http.Server
	seen   map[string]span // by the front's mark
}

// span is when the first and the last attempt of a front came.
type span struct{ first, last time.Time }

// answerBytes is the size of each answer's body.
const answerBytes = 1 << 10

var answerBody = make([]byte, answerBytes)

// quiet is the log of servers whose clients' ways are no news.
var quiet = log.New(io.Discard, "", 0)

// startNodes starts so many nodes, each with an address of its own.
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

// begin begins the node's process, at the address that it had before.
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

// kill ends the node's process: its connections break, and new ones are refused.
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

// entries lists nodes, one for each shard.
func entries(nodes []*Node) []Entry {
	var out []Entry
	for i, n := range nodes {
		out = append(out, entry(i, n.Addr))
	}
	return out
}

// listed are entries of so many nodes that are asked for nothing.
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

// answer answers, or waits until the front gives up.
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

// came tells when attempts of a front came, and whether any did.
func (n *Node) came(front string) (span, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, known := n.seen[front]
	return s, known
}
