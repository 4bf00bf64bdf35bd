package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/lifecycle"
)

// clientConn is a client's connection. The fields from clients on are guarded by the lock of clients. Only the goroutine
// that reads from an idle connection may close it; other goroutines interrupt its read. If the connection were closed during
// a read, a request that arrived at that moment would be read and sent to a node, and its answer would be lost.
type clientConn struct {
	net.Conn
	raw      net.Conn    // the connection below TLS, if TLS is used
	hasInput atomic.Bool // data was read since the connection was last idle
	answered atomic.Bool // at least a part of an answer was written
	owing    atomic.Bool // a request has arrived completely and no byte of its answer was written
	gone     atomic.Bool // the client has closed its sending side, or the connection broke
	closing  atomic.Bool

	acceptDelay time.Duration // time that the first request may have waited to be read because accepting failed

	framing   framing   // used by the reading goroutine, like the next three fields
	headSince time.Time // when the current head began to arrive
	readAhead []byte    // data that arrived after a request that awaits its answer
	flooded   bool      // readAhead overflowed: the excess was dropped, and the connection closes after the answer

	reads struct { // the read deadline
		sync.Mutex
		deadline time.Time // as set by net/http
		woken    bool      // the read was interrupted by the front itself
	}

	clients       *clientConns
	stage         stage
	stageSince    time.Time // start of the stage; while the first request arrives, time of accepting
	served        bool      // at least one request is finished
	sentRequest   bool      // at least one request for the core has arrived
	markedClosing bool      // to be closed unless data has arrived
	handOff       func(net.Conn) error
}

// stage is the state of a connection.
type stage int

const (
	idle    stage = iota // no request has begun
	reading              // a request has begun to arrive and is incomplete
	busy                 // a complete request awaits its answer
	ending               // nothing more is read; the client reads the last answer
)

// Read returns the received data to net/http. While a request awaits its answer, net/http tries to read one more byte to
// detect that the client has left, and could not detect it after receiving that byte. So data that arrives meanwhile is kept
// in readAhead, up to a limit, and net/http sees only the end of the connection.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		if c.clients.shouldEnd(c) {
			return 0, io.EOF // net/http takes the client for gone; Close closes the connection or hands it over
		}
		owed := c.framing.complete()
		switch {
		case owed && len(c.readAhead) > 0: // reading single bytes would be slow
			piece := buffers.Get()
			n, err := c.Conn.Read(piece)
			c.noteEnd(err)
			c.bufferAhead(piece[:n])
			buffers.Put(piece)
			if c.resumeRead(err) {
				continue
			}
			return 0, err
		case len(c.readAhead) > 0:
			n := c.consume(p[:copy(p, c.readAhead)])
			c.readAhead = c.readAhead[n:]
			return n, nil
		case c.flooded && !owed:
			return 0, io.EOF
		}
		c.boundHead()
		n, err := c.Conn.Read(p)
		c.noteEnd(err)
		if n > 0 && c.framing.complete() { // the handler may have read the whole request meanwhile
			c.bufferAhead(p[:n])
			continue
		}
		if n > 0 {
			own := c.consume(p[:n])
			c.bufferAhead(p[own:n])
			return own, err
		}
		if !c.resumeRead(err) {
			return 0, err
		}
	}
}

// boundHead limits the time for a head that has begun to arrive. On a connection that was idle, net/http waits for the first
// four bytes as long as for a new request.
func (c *clientConn) boundHead() {
	if c.headSince.IsZero() || !c.framing.inHead() {
		return
	}
	by := c.headSince.Add(c.clients.limits.Clients.HeaderTimeout)
	c.reads.Lock()
	defer c.reads.Unlock()
	if !c.reads.woken && (c.reads.deadline.IsZero() || by.Before(c.reads.deadline)) {
		c.reads.deadline = by
		c.Conn.SetReadDeadline(by)
	}
}

// consume records data that net/http receives, and returns how many of its bytes belong to the current request. Any further
// bytes would be in net/http's buffer, invisible to this type.
func (c *clientConn) consume(p []byte) (own int) {
	if !c.hasInput.Swap(true) {
		c.headSince = time.Now()
	}
	return c.framing.consume(p)
}

// noteEnd records an error that ended the connection, as opposed to an interrupted or timed out read.
func (c *clientConn) noteEnd(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone.Store(true)
	}
}

func (c *clientConn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	c.owing.Store(false)
	return c.Conn.Write(p)
}

// takeAcceptDelay returns how long a request may have waited to be read, 0 for all requests after the first.
func (c *clientConn) takeAcceptDelay() time.Duration {
	delay := c.acceptDelay
	c.acceptDelay = 0
	return delay
}

// SetReadDeadline is called by net/http.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.reads.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// interruptRead makes the current read, or the next one, check whether the connection is to be closed.
func (c *clientConn) interruptRead() {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.reads.woken = true
	c.raw.SetReadDeadline(time.Unix(1, 0))
}

// resumeRead reports whether reading goes on: the read had no error, or was only interrupted. It restores the deadline of
// net/http.
func (c *clientConn) resumeRead(err error) bool {
	if err == nil {
		return true
	}
	c.reads.Lock()
	defer c.reads.Unlock()
	woken := c.reads.woken
	c.reads.woken = false
	return woken && errors.Is(err, os.ErrDeadlineExceeded) && c.Conn.SetReadDeadline(c.reads.deadline) == nil
}

// floodPause slows down a client whose data is dropped: one buffer of 32 KiB per pause, 32 MB per second.
const floodPause = time.Millisecond

// bufferAhead keeps data that arrives before the current answer is written. Beyond the limit the data is dropped buffer by
// buffer, so that the end of the connection after it is seen.
func (c *clientConn) bufferAhead(p []byte) {
	if len(p) == 0 {
		return
	}
	room := c.clients.limits.Clients.ReadAhead - len(c.readAhead)
	if c.flooded = c.flooded || len(p) > room; c.flooded {
		time.Sleep(floodPause)
	}
	c.readAhead = append(c.readAhead, p[:min(len(p), max(room, 0))]...)
}

// Close closes the connection. A client that was sent an answer may read it to its end first: closing a socket with unread
// bytes resets the connection and discards the answer in transit.
func (c *clientConn) Close() error {
	if c.owing.Load() && !c.gone.Load() && !c.hungUp() {
		c.clients.guard.Violated(lifecycle.EndIdle, "connection closed with a request unanswered")
	}
	if c.closing.Swap(true) { // closed a second time: the front stops, or needs the slot
		return c.Conn.Close()
	}
	pass := c.clients.beginEnding(c)
	passed := pass != nil && pass(c.raw) == nil
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !passed && c.answered.Load() && ok && half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(c.clients.limits.Clients.LastAnswerTimeout))
		io.Copy(io.Discard, c.Conn)
	}
	err := c.Conn.Close()
	c.clients.remove(c)
	return err
}

// hasPendingInput reports whether data that may be a request has arrived, read or still in the kernel.
func (c *clientConn) hasPendingInput() bool { return c.hasUnreadInput() || c.hasInput.Load() }

// hasUnreadInput reports whether the kernel holds unread bytes or the client has closed the connection.
func (c *clientConn) hasUnreadInput() bool { return !isIdle(c.raw) }

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}
