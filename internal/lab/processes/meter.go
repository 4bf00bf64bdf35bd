package processes

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// ownHost returns a loopback address derived from the process id, so that no other process takes a port that was released.
func ownHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// Range of ports for fronts, which listen on them later: below the kernel's ephemeral ports.
const minPort, maxPort = 12_000, 32_000

var ports atomic.Int64

// newAddress returns an address for one front. It isn't tested by listening on it: a process started at the same time would
// inherit the socket for a moment, and the front would find its address in use.
func newAddress() string {
	return fmt.Sprintf("%s:%d", ownHost(), minPort+ports.Add(1)%(maxPort-minPort))
}

// meter is a listener that counts connections and their bytes. Nil counters are skipped.
type meter struct {
	net.Listener
	opened, open, sent, received *atomic.Int64
	wire                         *atomic.Int64 // bytes in both directions, IP and TCP headers included, of closed connections
	countsWire                   *atomic.Bool  // only connections accepted while this is set count in wire
}

func addTo(counter *atomic.Int64, n int) {
	if counter != nil {
		counter.Add(int64(n))
	}
}

// Accept accepts a connection and counts it.
func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	addTo(m.opened, 1)
	addTo(m.open, 1)
	return &meteredConn{Conn: c, meter: m, countsWire: m.countsWire != nil && m.countsWire.Load()}, nil
}

type meteredConn struct {
	net.Conn
	meter      *meter
	countsWire bool
	closed     atomic.Bool
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	addTo(c.meter.received, n)
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	addTo(c.meter.sent, n)
	return n, err
}

// Close closes the connection and updates the counters on the first call.
func (c *meteredConn) Close() error {
	if !c.closed.Swap(true) {
		addTo(c.meter.open, -1)
		if c.countsWire {
			c.meter.wire.Add(wireBytes(c.Conn))
		}
	}
	return c.Conn.Close()
}

const (
	segmentHeaderBytes = 52 // bytes of IPv4 and TCP headers per segment, TCP timestamps included
	closingSegments    = 2  // the FIN of this side and its acknowledgment
	synExtraBytes      = 16 // extra bytes of the two SYN segments of a handshake
)

// wireBytes returns the bytes of a connection in both directions, by the kernel's count of its segments and with the segments
// of its close added; 0 if the count is not available.
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
			segments := int64(info.Segs_in) + int64(info.Segs_out) + closingSegments
			total = segments*segmentHeaderBytes + synExtraBytes + int64(info.Bytes_received) + int64(info.Bytes_acked)
		}
	})
	return total
}
