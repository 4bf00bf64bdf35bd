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

// clientConn is a client's connection. What stands after clients is guarded by that one's lock. Its reads are those of
// one goroutine, which alone may end it while it stands idle: whoever wants that wakes it. Were the connection closed
// beside a read, a request that came in that moment would be read, sent on, and its answer be lost.
type clientConn struct {
	net.Conn
	raw      net.Conn    // under TLS, if that is spoken
	hasInput atomic.Bool // something was read since it last stood idle
	answered atomic.Bool // an answer, or some of it
	owing    atomic.Bool // a request came whole, and nothing of its answer is written
	gone     atomic.Bool // the client has ended its sending, or the connection broke
	closing  atomic.Bool

	acceptDelay time.Duration // for which the first request may have waited to be read, as accepting failed

	framing   framing   // of the goroutine that reads, as are
	headSince time.Time // when the head that comes began
	readAhead []byte    // what came behind a request that is owed its answer
	flooded   bool      // more came than that may hold: it was dropped, and the connection ends behind the answer

	reads struct { // when a read is to end
		sync.Mutex
		deadline time.Time // as net/http wants it
		woken    bool      // the read was ended for the front's own sake
	}

	clients       *clientConns
	stage         stage
	stageSince    time.Time // in its stage; while the first request comes, since the connection was accepted
	served        bool      // a request is over
	sentRequest   bool      // one for the core has come
	markedClosing bool      // it is to end, if nothing has come
	handOff       func(net.Conn) error
}

// stage is what a connection is about.
type stage int

const (
	idle    stage = iota // no request has begun
	reading              // one has, and has not come whole
	busy                 // one is owed an answer
	ending               // nothing more is read: the client reads the last answer
)

// Read gives net/http what comes. While a request is owed its answer net/http looks for one byte more, to learn whether
// the client has left, and would learn it no more behind that byte: so what comes then is kept here, up to a bound, and
// net/http hears of the end alone.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		if c.clients.shouldEnd(c) {
			return 0, io.EOF // to net/http the client has gone; Close ends it, or passes it on
		}
		owed := c.framing.complete()
		switch {
		case owed && len(c.readAhead) > 0: // one byte at a time would take long
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
		if n > 0 && c.framing.complete() { // it may have come whole by now
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

// boundHead has a head that has begun end in time. On a connection that rested net/http waits for its first four bytes as long as
// for a request.
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

// consume notes what net/http is given, and tells how much of it is of the request that comes: what is behind it would stand
// in net/http's buffer, unseen from here.
func (c *clientConn) consume(p []byte) (own int) {
	if !c.hasInput.Swap(true) {
		c.headSince = time.Now()
	}
	return c.framing.consume(p)
}

// noteEnd notes a read that ended the connection, rather than one that was woken or ran out of time.
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

// takeAcceptDelay tells for how long a request may have waited to be read, and nothing for those behind the first.
func (c *clientConn) takeAcceptDelay() time.Duration {
	delay := c.acceptDelay
	c.acceptDelay = 0
	return delay
}

// SetReadDeadline is net/http's.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.reads.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// interruptRead has the read that is under way, or the next one, look whether the connection is to end.
func (c *clientConn) interruptRead() {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.reads.woken = true
	c.raw.SetReadDeadline(time.Unix(1, 0))
}

// resumeRead tells whether a read that ended so was woken alone, or not ended at all. What net/http had set holds again.
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

// floodPause holds back who floods: a piece in so long, 32 MB a second.
const floodPause = time.Millisecond

// bufferAhead keeps what came ahead, and what comes with it. Of a flood the rest is dropped piece by piece, so that the end
// behind it is met.
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

// Close ends the connection. A client that was answered is let read that to its end: a close over bytes that were not
// read resets a connection, and takes along what is under way.
func (c *clientConn) Close() error {
	if c.owing.Load() && !c.gone.Load() && !c.hungUp() {
		c.clients.guard.Violated(lifecycle.EndIdle, "closed with a request unanswered")
	}
	if c.closing.Swap(true) { // the front ends, or wants the room
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

// hasPendingInput tells whether something has come that may be a request: read, or still in the kernel.
func (c *clientConn) hasPendingInput() bool { return c.hasUnreadInput() || c.hasInput.Load() }

// hasUnreadInput reports whether the kernel holds bytes that were not read, or the client has ended the connection.
func (c *clientConn) hasUnreadInput() bool { return !isIdle(c.raw) }

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}
