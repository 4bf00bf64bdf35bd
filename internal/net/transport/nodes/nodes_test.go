package nodes

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/net/protocol"
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

// What was held leaves the moment an answer comes. The connection that the answer came on is not to be used for a
// moment, and a new one each time was a fifth of all handshakes that a fleet paid for.
func TestNextRequestWaitsForTheConnectionJustGivenBack(t *testing.T) {
	var opened atomic.Int64
	addr := standin.Peer(t, func(_ int, c net.Conn) {
		opened.Add(1)
		c.Read(make([]byte, 1)) // until it is closed
	})
	l := standin.Limits()
	l.Nodes.ReuseDelay = 20 * time.Millisecond
	s := New(l, Session[int]{Open: func(net.Conn) (int, error) { return 0, nil }, Alive: func(net.Conn, int) bool { return true }})
	s.Apply(protocol.List{Whole: true, Hosts: []protocol.Host{{Dial: addr, Endpoint: scheduler.Endpoint{Node: "a"}}}})
	first, err := s.Acquire(context.Background(), "a", Running)
	if err != nil {
		t.Fatal(err)
	}
	s.Release(first, true)
	ended, end := context.WithCancel(context.Background())
	end()
	if _, err := s.Acquire(ended, "a", Running); err != context.Canceled {
		t.Errorf("error %v of a wait that was given up", err)
	}
	again, err := s.Acquire(context.Background(), "a", Running)
	if err != nil || again != first {
		t.Errorf("%v, another connection: %v", err, again != first)
	}
	if time.Since(first.idleSince) < l.Nodes.ReuseDelay {
		t.Error("used again too soon")
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections opened", opened.Load())
	}
}
