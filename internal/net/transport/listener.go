package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// listener bounds the connections that are open. Those past the bound for service are marked, so that they are
// told 503 at once; past the spare ones too, new ones wait in the kernel's queue.
type listener struct {
	net.Listener
	all    chan struct{} // a token for each open connection
	served int
}

func newListener(l net.Listener, served, spare int) *listener {
	return &listener{Listener: l, all: make(chan struct{}, served+spare), served: served}
}

func (l *listener) Accept() (net.Conn, error) {
	l.all <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.all
		return nil, err
	}
	return &clientConn{Conn: c, spare: len(l.all) > l.served, all: l.all}, nil
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	spare bool
	once  sync.Once
	all   chan struct{}
	came  atomic.Bool // something was read since it last stood idle
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.came.Store(true)
	}
	return n, err
}

func (c *clientConn) Close() error {
	c.once.Do(func() { <-c.all })
	return c.Conn.Close()
}

// crossed tells whether something has come that may be a request: read, or still in the kernel. net/http waits
// in a read of its own, so the descriptor is looked at beside it.
func (c *clientConn) crossed() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	err = raw.Control(func(fd uintptr) { waiting = !empty(fd) })
	return err != nil || waiting || c.came.Load()
}

// empty tells whether a socket is open with nothing to read.
func empty(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// plain is the connection under TLS, if that is spoken.
func plain(c net.Conn) *clientConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	cc, _ := c.(*clientConn)
	return cc
}

// clients are the connections that are open, with the time since when each carries no request.
type clients struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time // the zero time for one that carries a request
}

// track follows net/http's word on a connection.
func (s *clients) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.idle[c] = time.Now()
	case http.StateActive:
		s.idle[c] = time.Time{}
	case http.StateIdle:
		if cc := plain(c); cc != nil {
			cc.came.Store(false)
		}
		s.idle[c] = time.Now()
	default:
		delete(s.idle, c)
	}
}

// closeIdle closes what has carried no request for a while, and tells how many connections stay. One that a
// request is crossing is left alone; a client that finds a connection closed between requests opens another.
func (s *clients) closeIdle(since time.Time) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, at := range s.idle {
		if cc := plain(c); !at.IsZero() && at.Before(since) && cc != nil && !cc.crossed() {
			cc.Close() // net/http then says that it is closed
			delete(s.idle, c)
		}
	}
	return len(s.idle)
}

type spareKey struct{}

func markSpare(ctx context.Context, c net.Conn) context.Context {
	cc := plain(c)
	return context.WithValue(ctx, spareKey{}, cc != nil && cc.spare)
}

func isSpare(ctx context.Context) bool {
	spare, _ := ctx.Value(spareKey{}).(bool)
	return spare
}
