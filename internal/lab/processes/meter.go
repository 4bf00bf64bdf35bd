package processes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// host is a loopback address that this process alone uses: a port that was given back there is taken by nobody else.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// freeAddress is an address for a front that is to be started.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", host()+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// meter counts connections, and the bytes that pass over them. A counter that is nil is not kept.
type meter struct {
	net.Listener
	opened, open, sent, received *atomic.Int64
}

func add(to *atomic.Int64, n int) {
	if to != nil {
		to.Add(int64(n))
	}
}

// Accept counts a connection in.
func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	add(m.opened, 1)
	add(m.open, 1)
	return &meteredConn{Conn: c, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter  *meter
	closed atomic.Bool
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	add(c.meter.received, n)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	add(c.meter.sent, n)
	return n, err
}

// Close counts the connection out, once.
func (c *meteredConn) Close() error {
	if !c.closed.Swap(true) {
		add(c.meter.open, -1)
	}
	return c.Conn.Close()
}
