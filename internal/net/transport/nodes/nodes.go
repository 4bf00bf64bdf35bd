// Package nodes keeps the list of nodes and a small pool of connections to each. Both fronts use it; what runs
// on a connection is theirs.
package nodes

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/rules"
)

// ErrNotTaking tells that nothing may be sent to a node: it is not in the list, drains, or no socket is left.
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
	mu      sync.Mutex
	byName  map[string]*node[T]
	open    int // connections, idle ones included
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
	return &Nodes[T]{limits: l, session: s, byName: map[string]*node[T]{}}
}

// Apply takes over a list, or changes of one, and returns the same news for the scheduler.
func (s *Nodes[T]) Apply(list protocol.List) rules.Nodes {
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
		s.byName[h.Node] = &node[T]{Host: h}
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
	s.open--
}

// Acquire returns a connection to a node, an idle one where there is one. wanted tells whether the node may
// still be used in the state it is in now that the connection is up.
func (s *Nodes[T]) Acquire(ctx context.Context, name string, wanted func(rules.NodeState) bool) (*Conn[T], error) {
	n, dial, c, err := s.reserve(name, wanted)
	if err != nil || c != nil {
		return c, err
	}
	dialer := net.Dialer{Timeout: s.limits.Connect}
	raw, err := dialer.DialContext(ctx, "tcp", dial)
	if err == nil {
		c, err = s.start(ctx, raw)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.open--
		return nil, fmt.Errorf("connect to %s: %w", name, err)
	}
	c.node = n
	// Coming up took time: a drain told meanwhile counts from when it was told, not from the next send.
	if s.byName[name] != n || !wanted(n.State) {
		s.shut(c)
		return nil, ErrNotTaking
	}
	return c, nil
}

// start opens the session on a new connection, within the time for connecting.
func (s *Nodes[T]) start(ctx context.Context, raw net.Conn) (*Conn[T], error) {
	raw.SetDeadline(time.Now().Add(s.limits.Connect))
	unhook := context.AfterFunc(ctx, func() { raw.Close() })
	session, err := s.session.Open(raw)
	if !unhook() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = raw.SetDeadline(time.Time{})
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &Conn[T]{Conn: raw, Session: session}, nil
}

// reserve takes an idle connection that is still good, or else the room for a new one and the address for it.
func (s *Nodes[T]) reserve(name string, wanted func(rules.NodeState) bool) (n *node[T], dial string, c *Conn[T], err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = s.byName[name]
	if n == nil || !wanted(n.State) {
		return nil, "", nil, ErrNotTaking
	}
	for len(n.idle) > 0 {
		c = n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		// A request on a connection that the node has closed would end as a reset that may have run.
		if time.Since(c.idle) < s.limits.NodeIdle && s.session.Alive(c.Conn, c.Session) {
			return n, "", c, nil
		}
		s.shut(c)
	}
	if s.open >= s.limits.NodeConns {
		return nil, "", nil, fmt.Errorf("%w: all %d connections are in use", ErrNotTaking, s.open)
	}
	s.open++
	return n, n.Dial, nil, nil
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
}

// Run drops connections that stood idle for long, until ctx ends.
func (s *Nodes[T]) Run(ctx context.Context) {
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

// States lists the nodes by name.
func (s *Nodes[T]) States() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []State
	for _, n := range s.byName {
		out = append(out, State{Host: n.Host, Idle: len(n.idle)})
	}
	slices.SortFunc(out, func(a, b State) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Running is the condition under which a node gets new work.
func Running(state rules.NodeState) bool { return state == rules.Running }

// AnyState is the condition for probes.
func AnyState(rules.NodeState) bool { return true }
