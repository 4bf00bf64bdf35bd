package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// listener bounds the connections that are open. Those past the bound for service are marked, so that they are
// told 503 at once; past the spare ones too, new ones wait in the kernel's queue.
type listener struct {
	net.Listener
	all    chan struct{} // a token for each open connection
	served int
}

type clientConn struct {
	net.Conn
	spare bool
	once  sync.Once
	all   chan struct{}
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

func (c *clientConn) Close() error {
	c.once.Do(func() { <-c.all })
	return c.Conn.Close()
}

type spareKey struct{}

func markSpare(ctx context.Context, c net.Conn) context.Context {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	cc, ok := c.(*clientConn)
	return context.WithValue(ctx, spareKey{}, ok && cc.spare)
}

func isSpare(ctx context.Context) bool {
	spare, _ := ctx.Value(spareKey{}).(bool)
	return spare
}
