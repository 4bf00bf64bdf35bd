// Package idleconns bounds the connections of a net/http server that have not sent a complete request.
package idleconns

import (
	"net"
	"net/http"
	"sync"
)

// Tracker tracks the connections that have not sent a complete request yet. At the maximum, a new connection closes the oldest one:
// idle connections must neither keep out active callers nor use up the file descriptors.
type Tracker struct {
	mu       sync.Mutex
	maxOpen  int
	accepted int
	open     map[net.Conn]int // sequence number by connection; without those that have sent a complete request
}

// New returns a tracker that allows the given number of connections.
func New(maxOpen int) *Tracker { return &Tracker{maxOpen: maxOpen, open: map[net.Conn]int{}} }

// Track is the ConnState function of a server.
func (c *Tracker) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew {
		delete(c.open, conn)
		return
	}
	for len(c.open) >= c.maxOpen {
		var oldest net.Conn
		for other, n := range c.open {
			if oldest == nil || n < c.open[oldest] {
				oldest = other
			}
		}
		delete(c.open, oldest)
		oldest.Close()
	}
	c.accepted++
	c.open[conn] = c.accepted
}
