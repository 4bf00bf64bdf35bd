package processes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// host is a loopback address that this process alone uses: a port that was given back there is taken by nobody else.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// Ports for fronts, which open them later: below those that the kernel hands out.
const firstPort, lastPort = 12_000, 32_000

var ports atomic.Int64

// ownAddress is an address that this process gives to one front alone. It isn't tried here: a process that is started
// meanwhile would have the trial's socket for a moment, and the front find its address taken.
func ownAddress() string {
	return fmt.Sprintf("%s:%d", host(), firstPort+ports.Add(1)%(lastPort-firstPort))
}

// meter counts connections, and the bytes that pass over them. A counter that is nil is not kept.
type meter struct {
	net.Listener
	opened, open, sent, received *atomic.Int64
	wire                         *atomic.Int64 // both directions with the heads of IP and TCP, of connections that have ended
	wired                        *atomic.Bool  // and that began while this was so
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
	return &meteredConn{Conn: c, meter: m, wired: m.wired != nil && m.wired.Load()}, nil
}

type meteredConn struct {
	net.Conn
	meter  *meter
	wired  bool
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
		if c.wired {
			c.meter.wire.Add(wireBytes(c.Conn))
		}
	}
	return c.Conn.Close()
}

const (
	segmentHead   = 52 // bytes of IPv4 and TCP ahead of a segment, its time stamps included
	lastSegments  = 2  // a connection's own close, and the other side's word on it
	handshakeMore = 16 // bytes by which the two segments of a handshake are longer
)

// wireBytes is what a connection has taken in both directions, by the kernel's count of its segments; 0 where that is not
// to be had. The segments of its end are added.
func wireBytes(c net.Conn) int64 {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var total int64
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			segments := int64(info.Segs_in) + int64(info.Segs_out) + lastSegments
			total = segments*segmentHead + handshakeMore + int64(info.Bytes_received) + int64(info.Bytes_acked)
		}
	})
	return total
}
