// Package transport holds the platform's sockets: the listener for clients, the connections to nodes, the watch
// on discovery and the probes.
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/rules"
)

// ErrNotTaking tells that nothing may be sent to a node: it is not in the list, drains, or no socket is left.
var ErrNotTaking = errors.New("the node takes nothing")

// Nodes is the list of nodes as discovery told it, with the connections kept to each.
type Nodes struct {
	limits limits.Limits
	mu     sync.Mutex
	byName map[string]*node
	open   int // connections, idle ones included
}

// node is one start of a node; a restarted one has a new entry, so that what was kept to the old one is dropped.
type node struct {
	protocol.Host
	idle []*conn // the one used last comes last
}

// conn is a connection that carries one exchange at a time.
type conn struct {
	net.Conn
	node *node
	r    *bufio.Reader
	idle time.Time // since then
}

// NewNodes returns an empty list.
func NewNodes(l limits.Limits) *Nodes { return &Nodes{limits: l, byName: map[string]*node{}} }

// Apply takes over a list, or changes of one, and returns the same news for the scheduler.
func (s *Nodes) Apply(list protocol.List) rules.Nodes {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := rules.Nodes{Full: list.Whole}
	named := map[string]bool{}
	for _, h := range list.Hosts {
		news.List = append(news.List, h.Listing)
		named[h.Node] = true
		old := s.byName[h.Node]
		if old != nil && old.Dial == h.Dial && old.Since == h.Since && h.State != rules.Gone {
			old.Host = h
			continue
		}
		s.drop(old)
		s.byName[h.Node] = &node{Host: h}
		if h.State == rules.Gone {
			delete(s.byName, h.Node)
		}
	}
	for name, n := range s.byName {
		if list.Whole && !named[name] {
			s.drop(n)
			delete(s.byName, name)
		}
	}
	return news
}

// drop closes a node's idle connections. The lock is held.
func (s *Nodes) drop(n *node) {
	if n == nil {
		return
	}
	for _, c := range n.idle {
		s.shut(c)
	}
	n.idle = nil
}

// shut closes a connection. The lock is held.
func (s *Nodes) shut(c *conn) {
	c.Close()
	s.open--
}

// acquire returns a connection to a node, an idle one where there is one. wanted tells whether the node may
// still be used in the state it is in now that the connection is up.
func (s *Nodes) acquire(ctx context.Context, name string, wanted func(rules.NodeState) bool) (*conn, error) {
	n, c, err := s.reserve(name, wanted)
	if err != nil || c != nil {
		return c, err
	}
	dialer := net.Dialer{Timeout: s.limits.Connect}
	raw, err := dialer.DialContext(ctx, "tcp", n.Dial)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.open--
		return nil, fmt.Errorf("connect to %s: %w", name, err)
	}
	c = &conn{Conn: raw, node: n, r: bufio.NewReader(raw)}
	// Coming up took time: a drain told meanwhile counts from when it was told, not from the next send.
	if s.byName[name] != n || !wanted(n.State) {
		s.shut(c)
		return nil, ErrNotTaking
	}
	return c, nil
}

// reserve takes an idle connection that is still good, or the room for a new one.
func (s *Nodes) reserve(name string, wanted func(rules.NodeState) bool) (*node, *conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.byName[name]
	if n == nil || !wanted(n.State) {
		return nil, nil, ErrNotTaking
	}
	for len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		// A request on a connection that the node has closed would end as a reset that may have run.
		if time.Since(c.idle) < s.limits.NodeIdle && alive(c.Conn) {
			return n, c, nil
		}
		s.shut(c)
	}
	if s.open >= s.limits.NodeConns {
		return nil, nil, fmt.Errorf("%w: all %d connections are in use", ErrNotTaking, s.open)
	}
	s.open++
	return n, nil, nil
}

// release gives a connection back, to be kept where its last exchange ended cleanly.
func (s *Nodes) release(c *conn, clean bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !clean || c.r.Buffered() > 0 || s.byName[c.node.Node] != c.node || c.SetDeadline(time.Time{}) != nil {
		s.shut(c)
		return
	}
	c.idle = time.Now()
	c.node.idle = append(c.node.idle, c)
}

// Run drops connections that stood idle for long, until ctx ends.
func (s *Nodes) Run(ctx context.Context) {
	tick := time.NewTicker(s.limits.NodeIdle/4 + time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.expire(time.Now().Add(-s.limits.NodeIdle))
		}
	}
}

func (s *Nodes) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.byName {
		for len(n.idle) > 0 && n.idle[0].idle.Before(before) {
			s.shut(n.idle[0])
			n.idle = n.idle[1:]
		}
	}
}

// alive tells whether a connection is open with nothing to read. An idle one that ended, or on which something
// came unasked, must not carry a request.
func alive(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var got error
	err = raw.Read(func(fd uintptr) bool {
		_, _, got = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && got == syscall.EAGAIN
}
