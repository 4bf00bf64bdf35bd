// Package nodes keeps the list of nodes and a small pool of connections to each. Both fronts use it; what runs
// on a connection is theirs.
package nodes

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// ErrNotTaking tells that nothing may be sent to a node: it is not in the list, or drains.
var ErrNotTaking = errors.New("the node takes nothing")

// Session opens what a front keeps on a connection, and tells whether one that stood idle is still good.
type Session[T any] struct {
	Open  func(net.Conn) (T, error)
	Alive func(net.Conn, T) bool
}

// Nodes is the list of nodes as discovery told it, with the connections kept to each.
type Nodes[T any] struct {
	limits  limits.Limits
	session Session[T]
	dialer  Dial
	mu      sync.Mutex
	byName  map[string]*node[T]
	open    int           // connections, idle ones included
	freed   chan struct{} // closed, and made anew, once there may be room
}

// node is one start of a node; a restarted one has a new entry, so that what was kept to the old one is dropped.
type node[T any] struct {
	protocol.Host
	idle []*Conn[T] // the one used last comes last
}

// Conn is a connection that carries one exchange at a time.
type Conn[T any] struct {
	net.Conn
	Session T
	node    *node[T]
	idle    time.Time // since then
}

// State is a node as the operator sees it.
type State struct {
	protocol.Host
	Idle int // connections kept to it
}

// New returns an empty list.
func New[T any](l limits.Limits, s Session[T]) *Nodes[T] {
	return &Nodes[T]{limits: l, session: s, dialer: new(net.Dialer).DialContext,
		byName: map[string]*node[T]{}, freed: make(chan struct{})}
}

// Apply takes over a list, or changes of one, and returns the same news for the scheduler.
func (s *Nodes[T]) Apply(list protocol.List) scheduler.EndpointsChanged {
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
		s.drop(old)
		s.byName[h.Node] = &node[T]{Host: h}
		if h.State == scheduler.Removed {
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
func (s *Nodes[T]) drop(n *node[T]) {
	if n == nil {
		return
	}
	for _, c := range n.idle {
		s.shut(c)
	}
	n.idle = nil
}

// shut closes a connection. The lock is held.
func (s *Nodes[T]) shut(c *Conn[T]) {
	c.Close()
	s.left()
}

// left counts a connection out. The lock is held.
func (s *Nodes[T]) left() {
	s.open--
	s.note()
}

// note wakes those who wait for room. The lock is held.
func (s *Nodes[T]) note() {
	close(s.freed)
	s.freed = make(chan struct{})
}

// Acquire returns a connection to a node, an idle one where there is one. Where all sockets are in use it waits
// for one: that is no news of the node. wanted tells whether the node may still be used in the state it is in now
// that the connection is up.
func (s *Nodes[T]) Acquire(ctx context.Context, name string, wanted func(scheduler.NodeState) bool) (*Conn[T], error) {
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

// reserved is an idle connection, or else the room for a new one, or what is closed once there may be some, or what
// tells that a connection that was given back just now may be used.
type reserved[T any] struct {
	node    *node[T]
	conn    *Conn[T]
	dial    string
	freed   <-chan struct{}
	settled <-chan time.Time
}

// reserve takes an idle connection that is still good, or the room for a new one.
func (s *Nodes[T]) reserve(name string, wanted func(scheduler.NodeState) bool) (reserved[T], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.byName[name]
	if n == nil || !wanted(n.State) {
		return reserved[T]{}, ErrNotTaking
	}
	// What comes behind an answer comes right behind it: one taken too soon would be found quiet, and its next
	// request be answered with that. But what was held leaves as an answer comes, so such a one is waited for: a
	// new connection would take longer, and its handshake is the node's work.
	settles := time.Duration(0)
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if rest := s.limits.Nodes.ReuseDelay - time.Since(c.idle); rest > 0 {
			settles = rest
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		// A request on a connection that the node has closed would end as a reset that may have run.
		if time.Since(c.idle) < s.limits.Nodes.IdleTimeout && s.session.Alive(c.Conn, c.Session) {
			return reserved[T]{node: n, conn: c}, nil
		}
		s.shut(c)
	}
	if settles > 0 {
		return reserved[T]{settled: time.After(settles)}, nil
	}
	if s.open >= s.limits.Nodes.Conns && !s.closeLongest() {
		return reserved[T]{freed: s.freed}, nil
	}
	s.open++
	return reserved[T]{node: n, dial: n.Dial}, nil
}

// closeLongest closes the connection that has been idle longest, to whichever node. The lock is held.
func (s *Nodes[T]) closeLongest() bool {
	var longest *node[T]
	for _, n := range s.byName {
		if len(n.idle) > 0 && (longest == nil || n.idle[0].idle.Before(longest.idle[0].idle)) {
			longest = n
		}
	}
	if longest == nil {
		return false
	}
	s.shut(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// Release gives a connection back, to be kept where its last exchange ended cleanly.
func (s *Nodes[T]) Release(c *Conn[T], clean bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !clean || s.byName[c.node.Node] != c.node || c.SetDeadline(time.Time{}) != nil {
		s.shut(c)
		return
	}
	c.idle = time.Now()
	c.node.idle = append(c.node.idle, c)
	s.note()
}

// Run drops connections that stood idle for long, until ctx ends.
func (s *Nodes[T]) Run(ctx context.Context) {
	tick := time.NewTicker(s.limits.Nodes.IdleTimeout/4 + time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.expire(time.Now().Add(-s.limits.Nodes.IdleTimeout))
		}
	}
}

// CloseIdle drops all connections that stand idle.
func (s *Nodes[T]) CloseIdle() { s.expire(time.Now().Add(time.Hour)) }

func (s *Nodes[T]) expire(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.byName {
		for len(n.idle) > 0 && n.idle[0].idle.Before(before) {
			s.shut(n.idle[0])
			n.idle = n.idle[1:]
		}
	}
}
