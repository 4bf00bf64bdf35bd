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
func (s *Pool[T]) Reconnect(name string) bool {
	ctx, release := context.WithTimeout(context.Background(), s.limits.Nodes.ConnectTimeout)
	defer release()
	s.mu.Lock()
	n := s.byName[name]
	if n == nil || s.open >= s.limits.Nodes.Conns && !s.closeLongestIdle() {
		s.mu.Unlock()
		return false
	}
	s.open++
	got := reservation[T]{node: n, dial: n.Dial}
	s.mu.Unlock()
	c, err := s.connect(ctx, name, got, AnyState)
	if err != nil {
		return false
	}
	s.Release(c, true)
	return true
}

// connect opens the connection for which a place in the pool is reserved.
func (s *Pool[T]) connect(ctx context.Context, name string, to reservation[T], wanted func(scheduler.NodeState) bool) (c *Conn[T], err error) {
	raw, err := s.dial(ctx, to.dial)
	if err == nil {
		c, err = s.start(ctx, raw)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.uncount()
		return nil, fmt.Errorf("connect to %s: %w", name, err)
	}
	c.node = to.node
	// Connecting took time: a drain that was announced in the meantime applies from its announcement, not from the next request.
	if s.byName[name] != to.node || !wanted(to.node.State) {
		s.closeConn(c)
		return nil, ErrNotAccepting
	}
	return c, nil
}

// start opens the session on a new connection, within the connect timeout.
func (s *Pool[T]) start(ctx context.Context, raw net.Conn) (*Conn[T], error) {
	raw.SetDeadline(time.Now().Add(s.limits.Nodes.ConnectTimeout))
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
