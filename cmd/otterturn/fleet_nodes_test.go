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

	"otterturn/internal/standin"
)

// auditedNode is a storage node that counts what comes to it, by the front from which it comes. Each front has an
// address of its own for it.
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
	n.forget()
	for front := range fronts {
		n.addrs = append(n.addrs, standin.Peer(t, func(_ int, c net.Conn) { n.serve(front, c) }))
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

// count tells whether the request is to be answered.
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

// silence has the node answer nothing from now on, or again.
func (n *auditedNode) silence(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = on
}

// forget begins the count anew.
func (n *auditedNode) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.probes, n.attempts = map[int]int{}, map[int]int{}
}

// audit is what came to a node.
type audit struct {
	probes, attempts int
	probing          []int // fronts
}

func (n *auditedNode) audit() (a audit) {
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
