package transport

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"otterturn/internal/net/accept"
)

// listener hands connections to net/http, within the bound on all that are open: those that it accepts, and those that
// another process of the front passes on.
type listener struct {
	net.Listener
	accepting *accept.Listener
	clients   *clientConns
	adopted   chan net.Conn
	incoming  chan accepted
	ended     chan struct{}
	end       sync.Once

	mu      sync.Mutex
	resumed chan struct{} // nil while connections are accepted; closed once they are again
}

type accepted struct {
	conn net.Conn
	err  error
}

func newListener(l net.Listener, c *clientConns, passed chan net.Conn, retry time.Duration, onError func(error)) *listener {
	out := &listener{Listener: l, accepting: accept.New(l, retry, onError), clients: c, adopted: passed, incoming: make(chan accepted), ended: make(chan struct{})}
	go out.run()
	return out
}

func (l *listener) run() {
	for {
		raw, err := l.accepting.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.wait() {
			continue
		}
		select {
		case l.incoming <- accepted{raw, err}:
		case <-l.ended:
			if raw != nil {
				raw.Close()
			}
			return
		}
	}
}

// wait returns once connections are accepted again. It is false where they are not paused.
func (l *listener) wait() bool {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed == nil {
		return false
	}
	select {
	case <-resumed:
	case <-l.ended:
	}
	return true
}

// pause leaves new connections to other processes that listen on the same socket, or has them wait in the kernel.
func (l *listener) pause(yes bool) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case yes && l.resumed == nil:
		l.resumed = make(chan struct{})
		tcp.SetDeadline(time.Unix(1, 0))
	case !yes && l.resumed != nil:
		tcp.SetDeadline(time.Time{})
		close(l.resumed)
		l.resumed = nil
	}
}

// Accept takes a connection and makes room for it. What finds none waits here, and those behind it in the
// kernel's queue.
func (l *listener) Accept() (net.Conn, error) {
	var raw net.Conn
	select {
	case a := <-l.incoming:
		if a.err != nil {
			return nil, a.err
		}
		raw = a.conn
	case raw = <-l.adopted:
	case <-l.ended:
		return nil, net.ErrClosed
	}
	c := &clientConn{Conn: raw, raw: raw, clients: l.clients}
	if secure, ok := raw.(*tls.Conn); ok {
		c.raw = secure.NetConn()
	}
	l.clients.add(c)
	return c, nil
}

// Close ends the listener. What was passed on and not taken is closed.
func (l *listener) Close() error {
	l.end.Do(func() { close(l.ended) })
	for {
		select {
		case c := <-l.adopted:
			c.Close()
			continue
		default:
		}
		return l.accepting.Close()
	}
}
