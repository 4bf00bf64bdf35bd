// Package nodes keeps the list of nodes and a small pool of connections to each. Both fronts use it; what runs
// on a connection is theirs.
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

// ErrNotAccepting tells that nothing may be sent to a node: it is not in the list, or drains.
var ErrNotAccepting = errors.New("the node takes nothing")

// Session opens what a front keeps on a connection, and tells whether one that stood idle is still good.
type Session[T any] struct {
	Open  func(net.Conn) (T, error)
	Alive func(net.Conn, T) bool
}

// Pool is the list of nodes as discovery told it, with the connections kept to each.
type Pool[T any] struct {
	limits    limits.Limits
	session   Session[T]
	dialer    Dial
	idle      atomic.Int64 // nanoseconds after which an idle connection is closed
	mu        sync.Mutex
	byName    map[string]*node[T]
	open      int           // connections, idle ones included
	roomFreed chan struct{} // closed, and made anew, once there may be room
}

// node is one start of a node; a restarted one has a new entry, so that what was kept to the old one is dropped.
type node[T any] struct {
	protocol.Host
	idle []*Conn[T] // the one used last comes last
}

// Conn is a connection that carries one exchange at a time.
type Conn[T any] struct {
	net.Conn
	Session   T
	node      *node[T]
	idleSince time.Time // since then
}

// State is a node as the operator sees it.
type State struct {
	protocol.Host
	Idle int // connections kept to it
}

// New returns an empty list.
func New[T any](l limits.Limits, s Session[T]) *Pool[T] {
	pool := &Pool[T]{
		limits: l, session: s, dialer: new(net.Dialer).DialContext,
		byName: map[string]*node[T]{}, roomFreed: make(chan struct{}),
	}
	pool.Reconfigure(l.Nodes)
	return pool
}

// Apply takes over a list, or changes of one, and returns the same news for the scheduler.
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

// uncount counts a connection out. The lock is held.
func (s *Pool[T]) uncount() {
	s.open--
	s.notifyRoom()
}

// notifyRoom wakes those who wait for room. The lock is held.
func (s *Pool[T]) notifyRoom() {
	close(s.roomFreed)
	s.roomFreed = make(chan struct{})
}

// Acquire returns a connection to a node, an idle one where there is one. Where all sockets are in use it waits
// for one: that is no news of the node. wanted tells whether the node may still be used in the state it is in now
// that the connection is up.
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

// reservation is an idle connection, or else the room for a new one, or what is closed once there may be some, or what
// tells that a connection that was given back just now may be used.
type reservation[T any] struct {
	node    *node[T]
	conn    *Conn[T]
	dial    string
	freed   <-chan struct{}
	settled <-chan time.Time
}

// reserve takes an idle connection that is still good, or the room for a new one.
func (s *Pool[T]) reserve(name string, wanted func(scheduler.NodeState) bool) (reservation[T], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.byName[name]
	if n == nil || !wanted(n.State) {
		return reservation[T]{}, ErrNotAccepting
	}
	// What comes behind an answer comes right behind it: one taken too soon would be found quiet, and its next
	// request be answered with that. But what was held leaves as an answer comes, so such a one is waited for: a
	// new connection would take longer, and its handshake is the node's work.
	settles := time.Duration(0)
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if rest := s.limits.Nodes.ReuseDelay - time.Since(c.idleSince); rest > 0 {
			settles = rest
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		// A request on a connection that the node has closed would end as a reset that may have run.
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

// closeLongestIdle closes the connection that has been idle longest, to whichever node. The lock is held.
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

// Release gives a connection back, to be kept where its last exchange ended cleanly.
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

// Run drops connections that stood idle for long, until ctx ends.
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

// CloseIdle drops all connections that stand idle.
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
