package nodes

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// Guards against needless handshakes. Queued requests are sent when an answer arrives, and the connection of that answer must not be
// reused for a short time. Opening a new connection in each such case caused a fifth of all handshakes of a fleet.
func TestAcquireWaitsForReleasedConnection(t *testing.T) {
	var opened atomic.Int64
	addr := testsupport.Peer(t, func(_ int, c net.Conn) {
		opened.Add(1)
		c.Read(make([]byte, 1)) // until the connection is closed
	})
	l := testsupport.Limits()
	l.Nodes.ReuseDelay = 20 * time.Millisecond
	pool := New(l, Session[int]{Open: func(net.Conn) (int, error) { return 0, nil }, Alive: func(net.Conn, int) bool { return true }})
	pool.Apply(protocol.List{Full: true, Hosts: []protocol.Host{{Dial: addr, Endpoint: scheduler.Endpoint{Node: "a"}}}})
	first, err := pool.Acquire(context.Background(), "a", Running)
	if err != nil {
		t.Fatal(err)
	}
	pool.Release(first, true)
	ended, end := context.WithCancel(context.Background())
	end()
	if _, err := pool.Acquire(ended, "a", Running); err != context.Canceled {
		t.Errorf("error %v of a cancelled wait, want context.Canceled", err)
	}
	again, err := pool.Acquire(context.Background(), "a", Running)
	if err != nil || again != first {
		t.Errorf("error %v, a different connection: %v", err, again != first)
	}
	if time.Since(first.idleSince) < l.Nodes.ReuseDelay {
		t.Error("the connection was reused before ReuseDelay had passed")
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections were opened, want 1", opened.Load())
	}
}
