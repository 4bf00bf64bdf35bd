package transport

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/steady"
)

// listener hands connections to net/http, within the bound on all that are open: those that it accepts, and those that
// another process of the front passes on.
type listener struct {
	net.Listener
	accepting *accept.Listener
	retry     time.Duration // pause behind a failure to accept
	clients   *clientConns
	adopted   chan net.Conn
	incoming  chan accepted
	ended     chan struct{} // closed once nothing more is accepted
	end       sync.Once
	drained   chan struct{} // closed once all that was accepted is handed on

	mu      sync.Mutex
	resumed chan struct{} // nil while connections are accepted; closed once they are again
	closing bool
}

type accepted struct {
	conn  net.Conn
	delay time.Duration // for which it may have waited as accepting failed
	err   error
}

// drainTime is for how long connections are accepted yet that the kernel has as the listener closes. On a busy machine the next
// accept behind a failure comes some 10 ms later than its pause.
const drainTime = 50 * time.Millisecond

func newListener(l net.Listener, c *clientConns, passed chan net.Conn, retry time.Duration, onError func(error)) *listener {
	out := &listener{
		Listener: l, retry: retry, clients: c, adopted: passed,
		incoming: make(chan accepted), ended: make(chan struct{}), drained: make(chan struct{}),
	}
	out.accepting = accept.New(l, retry, func(err error) {
		onError(err)
		out.extendDrain()
	})
	go out.run()
	return out
}

// extendDrain has the kernel's connections be accepted yet as accepting fails, until all requests must be answered.
func (l *listener) extendDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tcp, ok := l.Listener.(*net.TCPListener); ok && l.closing && !l.clients.guard.Permits(lifecycle.EndIncomplete) {
		tcp.SetDeadline(time.Now().Add(l.retry + drainTime))
	}
}

func (l *listener) run() {
	defer close(l.drained)
	for {
		raw, err := l.accepting.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.wait() {
			continue
		}
		if err != nil && l.isClosing() {
			return
		}
		next := accepted{conn: raw, err: err}
		if raw != nil {
			l.clients.announce(1)
			if delay := l.accepting.Delay(); delay > 0 {
				next.delay = min(delay, sinceLastReceived(steady.Innermost(raw), delay))
			}
		}
		select {
		case l.incoming <- next:
		case <-l.ended:
			if raw != nil {
				l.clients.announce(-1)
				raw.Close()
			}
			return
		}
		if err != nil {
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
	case l.closing:
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
	var next accepted
	select {
	case next = <-l.incoming:
		if next.err != nil {
			return nil, next.err
		}
	case next.conn = <-l.adopted:
		l.clients.announce(1)
	case <-l.ended:
		return nil, net.ErrClosed
	}
	c := &clientConn{Conn: next.conn, raw: steady.Innermost(next.conn), clients: l.clients, acceptDelay: next.delay}
	if _, secure := next.conn.(*tls.Conn); !secure { // TLS has it below
		c.Conn = steady.Conn{Conn: next.conn}
	}
	l.clients.add(c)
	return c, nil
}

// drain begins to close the listener behind what the kernel has: closing the socket at once would reset those connections, with
// the requests that came on them. It tells whether nothing more is to come. Where another process of the front accepts, what the
// kernel has is that one's.
func (l *listener) drain() (closed bool) {
	tcp, ok := l.Listener.(*net.TCPListener)
	l.mu.Lock()
	begins := !l.closing
	paused := l.resumed != nil
	l.closing = true
	l.mu.Unlock()
	if !ok || paused {
		l.Close()
	} else if begins {
		tcp.SetDeadline(time.Now().Add(l.retry + drainTime)) // accepting may be in its pause
	}
	select {
	case <-l.drained:
		l.Close()
		return true
	case <-l.ended:
		return true
	default:
		return false
	}
}

func (l *listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// Close ends the listener at once. What was passed on and not taken is closed.
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
