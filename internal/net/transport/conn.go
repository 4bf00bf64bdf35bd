package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// clientConn is a client's connection. What stands after clients is guarded by that one's lock.
type clientConn struct {
	net.Conn
	raw     net.Conn    // under TLS, if that is spoken
	came    atomic.Bool // something was read since it last stood idle
	woken   atomic.Bool // its read was ended to see whether it may be passed on
	framing framing     // of the goroutine that reads
	clients *clients
	stage   stage
	since   time.Time // in its stage; while the first request comes, since the connection was accepted
	served  bool      // a request is over
	used    bool      // one for the core has come
	passTo  func(net.Conn) error
}

// stage is what a connection is about.
type stage int

const (
	idle    stage = iota // no request has begun
	reading              // one has, and has not come whole
	busy                 // one is owed an answer
)

func (c *clientConn) Read(p []byte) (int, error) {
	for {
		if c.clients.passes(c) {
			return 0, io.EOF // to net/http the client has gone; Close passes it on
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.came.Store(true)
			c.framing.take(p[:n])
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.woken.Swap(false) {
			return n, err
		}
		if !c.clients.passes(c) { // a request had begun to come by then
			c.Conn.SetReadDeadline(c.clients.until(c))
		}
	}
}

func (c *clientConn) Close() error {
	c.clients.leave(c)
	if pass := c.passTo; pass != nil && pass(c.raw) == nil {
		c.passTo = nil
	}
	return c.Conn.Close()
}

// crossed tells whether something has come that may be a request: read, or still in the kernel. net/http waits
// in a read of its own, so the descriptor is looked at beside it.
func (c *clientConn) crossed() bool {
	s, ok := c.raw.(syscall.Conn)
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

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}
