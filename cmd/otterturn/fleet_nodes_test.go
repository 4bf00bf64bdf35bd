package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"otterturn/internal/testsupport"
)

// auditedNode is a storage node that counts the requests it receives per front. It has a separate address for each front.
type auditedNode struct {
	name  string
	addrs []string // by front

	mu       sync.Mutex
	silent   bool
	probes   map[int]int // by front
	attempts map[int]int
}

func newAuditedNode(t *testing.T, name string, fronts int) *auditedNode {
	n := &auditedNode{name: name}
	n.resetCounts()
	for front := range fronts {
		n.addrs = append(n.addrs, testsupport.Peer(t, func(_ int, c net.Conn) { n.serve(front, c) }))
	}
	return n
}

func (n *auditedNode) serve(front int, c net.Conn) {
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if n.count(front, r) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nindex")
		}
	}
}

// count counts the request and reports whether the node answers it.
func (n *auditedNode) count(front int, r *http.Request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/read/") {
		n.attempts[front]++
	} else {
		n.probes[front]++
	}
	return !n.silent
}

// setSilent makes the node stop answering, or answer again.
func (n *auditedNode) setSilent(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = on
}

// resetCounts resets the counts.
func (n *auditedNode) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probes, n.attempts = map[int]int{}, map[int]int{}
}

// requestCounts holds the number of requests that a node received.
type requestCounts struct {
	probes, attempts int
	probing          []int // fronts that sent probes
}

func (n *auditedNode) counts() (a requestCounts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for front, count := range n.probes {
		a.probes, a.probing = a.probes+count, append(a.probing, front)
	}
	for _, count := range n.attempts {
		a.attempts += count
	}
	slices.Sort(a.probing)
	return a
}
