// Package nodes keeps the list of nodes and a pool of connections to them. The fronts for HTTP and for SFTP both use it, each with
// a session of its own protocol on a connection.
package nodes

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// ErrNotAccepting reports that nothing may be sent to a node because it is not on the endpoint list or is draining.
var ErrNotAccepting = errors.New("node is not on the endpoint list or is draining")

// Session has the functions that open a session of a protocol on a connection and report whether an idle one is still usable.
type Session[T any] struct {
	Open  func(net.Conn) (T, error)
	Alive func(net.Conn, T) bool
}

// Pool is the list of nodes from discovery, with the connections to each.
type Pool[T any] struct {
	limits    limits.Limits
	session   Session[T]
	dialer    Dial
	idle      atomic.Int64 // nanoseconds after which an idle connection is closed
	mu        sync.Mutex
	byName    map[string]*node[T]
	open      int           // connections, idle ones included
	roomFreed chan struct{} // closed and replaced when a place may have become free
}

// node is the entry of a node since its last start. A restarted node gets a new entry, so that the connections from before the
// restart are closed.
type node[T any] struct {
	protocol.Host
	idle []*Conn[T] // in the order of last use
}

// Conn is a connection with one exchange at a time.
type Conn[T any] struct {
	net.Conn
	Session   T
	node      *node[T]
	idleSince time.Time
}

// State is the state of a node, for operators.
type State struct {
	protocol.Host
	Idle int // idle connections
}

// New returns a pool without nodes.
func New[T any](l limits.Limits, s Session[T]) *Pool[T] {
	pool := &Pool[T]{
		limits: l, session: s, dialer: new(net.Dialer).DialContext,
		byName: map[string]*node[T]{}, roomFreed: make(chan struct{}),
	}
	pool.Reconfigure(l.Nodes)
	return pool
}

// Apply replaces the list of nodes, or applies changes to it, and returns the corresponding event for the scheduler.
func (s *Pool[T]) Apply(list protocol.List) scheduler.EndpointsChanged {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := scheduler.EndpointsChanged{Full: list.Whole}
	named := map[string]bool{}
	for _, h := range list.Hosts {
		news.Endpoints = append(news.Endpoints, h.Endpoint)
		named[h.Node] = true
		old := s.byName[h.Node]
		if old != nil && old.Dial == h.Dial && old.StartedAt == h.StartedAt && h.State != scheduler.Removed {
			old.Host = h
			continue
		}
		s.closeIdleOf(old)
		s.byName[h.Node] = &node[T]{Host: h}
		if h.State == scheduler.Removed {
			delete(s.byName, h.Node)
		}
	}
	for name, n := range s.byName {
		if list.Whole && !named[name] {
			s.closeIdleOf(n)
			delete(s.byName, name)
		}
	}
	return news
}

// closeIdleOf closes a node's idle connections. The lock is held.
func (s *Pool[T]) closeIdleOf(n *node[T]) {
	if n == nil {
		return
	}
	for _, c := range n.idle {
		s.closeConn(c)
	}
	n.idle = nil
}

// closeConn closes a connection. The lock is held.
func (s *Pool[T]) closeConn(c *Conn[T]) {
	c.Close()
	s.uncount()
}

// uncount removes a connection from the count. The lock is held.
func (s *Pool[T]) uncount() {
	s.open--
	s.notifyRoom()
}

// notifyRoom wakes the callers that wait for a place. The lock is held.
func (s *Pool[T]) notifyRoom() {
	close(s.roomFreed)
	s.roomFreed = make(chan struct{})
}

// Acquire returns a connection to a node: an idle one if possible, otherwise a new one. If all places are in use it waits for one,
// as this says nothing about the node. wanted reports whether the node may be used in a state; it is called again once a new
// connection is established.
func (s *Pool[T]) Acquire(ctx context.Context, name string, wanted func(scheduler.NodeState) bool) (*Conn[T], error) {
	got, err := s.reserve(name, wanted)
	for got.freed != nil || got.settled != nil {
		select {
		case <-got.settled:
		case <-got.freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		got, err = s.reserve(name, wanted)
	}
	if err != nil || got.conn != nil {
		return got.conn, err
	}
	return s.connect(ctx, name, got, wanted)
}

// reservation is the result of reserve: an idle connection (conn), a place for a new one (dial), a channel that is closed when a
// place may have become free (freed), or one that fires when a recently released connection may be used (settled).
type reservation[T any] struct {
	node    *node[T]
	conn    *Conn[T]
	dial    string
	freed   <-chan struct{}
	settled <-chan time.Time
}

// reserve reserves an idle connection that is still usable, or a place for a new one.
func (s *Pool[T]) reserve(name string, wanted func(scheduler.NodeState) bool) (reservation[T], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.byName[name]
	if n == nil || !wanted(n.State) {
		return reservation[T]{}, ErrNotAccepting
	}
	// Surplus bytes after an answer arrive right after it. If a connection were reused at once, they might not have arrived when
	// Alive checks for them, and would then be read as the answer to the next request. Queued requests are sent when an answer
	// arrives, so they wait for such a connection: a new one would take longer, and its handshake costs the node work.
	settles := time.Duration(0)
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if rest := s.limits.Nodes.ReuseDelay - time.Since(c.idleSince); rest > 0 {
			settles = rest
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		// A request on a connection that the node has closed would fail with a reset, after which it is unknown whether it ran.
		if time.Since(c.idleSince) < s.idleTimeout() && s.session.Alive(c.Conn, c.Session) {
			return reservation[T]{node: n, conn: c}, nil
		}
		s.closeConn(c)
	}
	if settles > 0 {
		return reservation[T]{settled: time.After(settles)}, nil
	}
	if s.open >= s.limits.Nodes.Conns && !s.closeLongestIdle() {
		return reservation[T]{freed: s.roomFreed}, nil
	}
	s.open++
	return reservation[T]{node: n, dial: n.Dial}, nil
}

// closeLongestIdle closes the connection that has been idle longest, of all nodes, and reports whether there was one. The lock is held.
func (s *Pool[T]) closeLongestIdle() bool {
	var longest *node[T]
	for _, n := range s.byName {
		if len(n.idle) > 0 && (longest == nil || n.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = n
		}
	}
	if longest == nil {
		return false
	}
	s.closeConn(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// Release returns a connection to the pool. It is kept if its last exchange ended cleanly, and closed otherwise.
func (s *Pool[T]) Release(c *Conn[T], clean bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !clean || s.byName[c.node.Node] != c.node || c.SetDeadline(time.Time{}) != nil {
		s.closeConn(c)
		return
	}
	c.idleSince = time.Now()
	c.node.idle = append(c.node.idle, c)
	s.notifyRoom()
}

// Run closes connections whose idle timeout has expired, until ctx ends.
func (s *Pool[T]) Run(ctx context.Context) {
	tick := time.NewTicker(s.limits.Nodes.IdleTimeout/4 + time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.expire(time.Now().Add(-s.idleTimeout()))
		}
	}
}

// CloseIdle closes all idle connections.
func (s *Pool[T]) CloseIdle() { s.expire(time.Now().Add(time.Hour)) }

func (s *Pool[T]) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.byName {
		for len(n.idle) > 0 && n.idle[0].idleSince.Before(before) {
			s.closeConn(n.idle[0])
			n.idle = n.idle[1:]
		}
	}
}
