package nodes

import (
	"context"
	"fmt"
	"net"
	"time"

	"otterturn/scheduler"
)

// Reconnect opens a connection to a node after another one to it broke, and keeps it as an idle one. It reports whether the node
// accepted it. This tells a process that has died, which accepts none, from one that runs and closed a single connection.
func (p *Pool[T]) Reconnect(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.Nodes.ConnectTimeout)
	defer cancel()
	p.mu.Lock()
	n := p.byName[name]
	if n == nil || p.open >= p.limits.Nodes.Conns && !p.closeLongestIdle() {
		p.mu.Unlock()
		return false
	}
	p.open++
	place := reservation[T]{node: n, dial: n.Dial}
	p.mu.Unlock()
	c, err := p.connect(ctx, name, place, AnyState)
	if err != nil {
		return false
	}
	p.Release(c, true)
	return true
}

// connect opens the connection for which a place in the pool is reserved.
func (p *Pool[T]) connect(
	ctx context.Context, name string, place reservation[T], isAllowed func(scheduler.NodeState) bool,
) (c *Conn[T], err error) {
	raw, err := p.dial(ctx, place.dial)
	if err == nil {
		c, err = p.openSession(ctx, raw)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.decrementOpen()
		return nil, fmt.Errorf("connect to %s: %w", name, err)
	}
	c.node = place.node
	// Connecting took time: a drain that was announced in the meantime applies from its announcement, not from the next request.
	if p.byName[name] != place.node || !isAllowed(place.node.State) {
		p.closeConn(c)
		return nil, ErrNotAccepting
	}
	return c, nil
}

// openSession opens the session on a new connection, within the connect timeout.
func (p *Pool[T]) openSession(ctx context.Context, raw net.Conn) (*Conn[T], error) {
	raw.SetDeadline(time.Now().Add(p.limits.Nodes.ConnectTimeout))
	stopClose := context.AfterFunc(ctx, func() { raw.Close() })
	session, err := p.session.Open(raw)
	if !stopClose() && err == nil {
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
