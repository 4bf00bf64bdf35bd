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
	limits     limits.Limits
	session    Session[T]
	dialer     Dial
	idle       atomic.Int64 // nanoseconds after which an idle connection is closed
	mu         sync.Mutex
	byName     map[string]*node[T]
	open       int           // connections, idle ones included
	placeFreed chan struct{} // closed and replaced when a place may have become free
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
	idleSince time.Time // time of the last release
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
		byName: map[string]*node[T]{}, placeFreed: make(chan struct{}),
	}
	pool.Reconfigure(l.Nodes)
	return pool
}

// Apply replaces the list of nodes, or applies changes to it, and returns the corresponding event for the scheduler.
func (p *Pool[T]) Apply(list protocol.List) scheduler.EndpointsChanged {
	p.mu.Lock()
	defer p.mu.Unlock()
	event := scheduler.EndpointsChanged{Full: list.Full}
	named := map[string]bool{}
	for _, h := range list.Hosts {
		event.Endpoints = append(event.Endpoints, h.Endpoint)
		named[h.Node] = true
		old := p.byName[h.Node]
		if old != nil && old.Dial == h.Dial && old.StartedAt == h.StartedAt && h.State != scheduler.Removed {
			old.Host = h
			continue
		}
		p.closeIdleOf(old)
		p.byName[h.Node] = &node[T]{Host: h}
		if h.State == scheduler.Removed {
			delete(p.byName, h.Node)
		}
	}
	for name, n := range p.byName {
		if list.Full && !named[name] {
			p.closeIdleOf(n)
			delete(p.byName, name)
		}
	}
	return event
}

// closeIdleOf closes a node's idle connections. The caller holds the lock.
func (p *Pool[T]) closeIdleOf(n *node[T]) {
	if n == nil {
		return
	}
	for _, c := range n.idle {
		p.closeConn(c)
	}
	n.idle = nil
}

// closeConn closes a connection. The caller holds the lock.
func (p *Pool[T]) closeConn(c *Conn[T]) {
	c.Close()
	p.decrementOpen()
}

// decrementOpen removes a connection from the count. The caller holds the lock.
func (p *Pool[T]) decrementOpen() {
	p.open--
	p.notifyPlaceFreed()
}

// notifyPlaceFreed wakes the callers that wait for a place. The caller holds the lock.
func (p *Pool[T]) notifyPlaceFreed() {
	close(p.placeFreed)
	p.placeFreed = make(chan struct{})
}

// Acquire returns a connection to a node: an idle one if possible, otherwise a new one. If all places are in use it waits for one,
// as this says nothing about the node. isAllowed reports whether the node may be used in a state; it is called again once a new
// connection is established.
func (p *Pool[T]) Acquire(ctx context.Context, name string, isAllowed func(scheduler.NodeState) bool) (*Conn[T], error) {
	place, err := p.reserve(name, isAllowed)
	for place.freed != nil || place.reusable != nil {
		select {
		case <-place.reusable:
		case <-place.freed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		place, err = p.reserve(name, isAllowed)
	}
	if err != nil || place.conn != nil {
		return place.conn, err
	}
	return p.connect(ctx, name, place, isAllowed)
}

// reservation is the result of reserve: an idle connection (conn), a place for a new one (dial), a channel that is closed when a
// place may have become free (freed), or one that fires when a recently released connection may be used (reusable).
type reservation[T any] struct {
	node     *node[T]
	conn     *Conn[T]
	dial     string
	freed    <-chan struct{}
	reusable <-chan time.Time
}

// reserve reserves an idle connection that is still usable, or a place for a new one.
func (p *Pool[T]) reserve(name string, isAllowed func(scheduler.NodeState) bool) (reservation[T], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.byName[name]
	if n == nil || !isAllowed(n.State) {
		return reservation[T]{}, ErrNotAccepting
	}
	// Surplus bytes after an answer arrive right after it. If a connection were reused at once, they might not have arrived when
	// Alive checks for them, and would then be read as the answer to the next request. Queued requests are sent when an answer
	// arrives, so they wait for such a connection: a new one would take longer, and its handshake costs the node work.
	reuseIn := time.Duration(0)
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if remaining := p.limits.Nodes.ReuseDelay - time.Since(c.idleSince); remaining > 0 {
			reuseIn = remaining
			continue
		}
		n.idle = slices.Delete(n.idle, i, i+1)
		// A request on a connection that the node has closed would fail with a reset, after which it is unknown whether it ran.
		if time.Since(c.idleSince) < p.idleTimeout() && p.session.Alive(c.Conn, c.Session) {
			return reservation[T]{node: n, conn: c}, nil
		}
		p.closeConn(c)
	}
	if reuseIn > 0 {
		return reservation[T]{reusable: time.After(reuseIn)}, nil
	}
	if p.open >= p.limits.Nodes.Conns && !p.closeLongestIdle() {
		return reservation[T]{freed: p.placeFreed}, nil
	}
	p.open++
	return reservation[T]{node: n, dial: n.Dial}, nil
}

// closeLongestIdle closes the connection that has been idle longest, of all nodes, and reports whether there was one. The caller
// holds the lock.
func (p *Pool[T]) closeLongestIdle() bool {
	var longest *node[T]
	for _, n := range p.byName {
		if len(n.idle) > 0 && (longest == nil || n.idle[0].idleSince.Before(longest.idle[0].idleSince)) {
			longest = n
		}
	}
	if longest == nil {
		return false
	}
	p.closeConn(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// Release returns a connection to the pool. It is kept if its last exchange ended cleanly, and closed otherwise.
func (p *Pool[T]) Release(c *Conn[T], clean bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !clean || p.byName[c.node.Node] != c.node || c.SetDeadline(time.Time{}) != nil {
		p.closeConn(c)
		return
	}
	c.idleSince = time.Now()
	c.node.idle = append(c.node.idle, c)
	p.notifyPlaceFreed()
}

// Run closes connections whose idle timeout has expired, until ctx ends.
func (p *Pool[T]) Run(ctx context.Context) {
	tick := time.NewTicker(p.limits.Nodes.IdleTimeout/4 + time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.expire(time.Now().Add(-p.idleTimeout()))
		}
	}
}

// CloseIdle closes all idle connections.
func (p *Pool[T]) CloseIdle() { p.expire(time.Now().Add(time.Hour)) }

func (p *Pool[T]) expire(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.byName {
		for len(n.idle) > 0 && n.idle[0].idleSince.Before(before) {
			p.closeConn(n.idle[0])
			n.idle = n.idle[1:]
		}
	}
}
