package transport

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/memory"
)

// clientConn is a client's connection. The fields from clients on are guarded by the lock of clients. Only the goroutine
// that reads from an idle connection may close it; other goroutines interrupt its read. If the connection were closed during
// a read, a request that arrived at that moment would be read and sent to a node, and its answer would be lost.
type clientConn struct {
	net.Conn
	raw           net.Conn    // the connection below TLS, if TLS is used
	hasInput      atomic.Bool // data was read since the connection was last idle
	answerStarted atomic.Bool // at least a part of an answer was written
	answerOwed    atomic.Bool // a request has arrived completely and no byte of its answer was written
	clientGone    atomic.Bool // the client has closed its sending side, or the connection broke
	closeCalled   atomic.Bool

	acceptDelay time.Duration // time that the first request may have waited to be read because accepting failed
	readDelay   time.Duration // time that the current request has waited in the kernel; used by the reading goroutine and the handler

	requestParser                     // this and the next fields up to aheadMemory are used by the reading goroutine
	filtered      []byte              // bytes of the current request for which the last read had no room
	headStartedAt time.Time           // when the current request began to be passed on, zero before that
	readAhead     []byte              // data that arrived after a request that awaits its answer
	aheadLock     sync.Mutex          // guards readAhead and surplus against the handler, which only looks at them
	surplus       *surplus            // what arrived beyond readAhead, nil while all is kept
	aheadMemory   *memory.Reservation // of readAhead
	requestMemory *memory.Reservation // of the head and the body of the current request
	bodyReserved  int64               // bytes of requestMemory that are for the body; used by the handler

	reads struct { // the read deadline
		sync.Mutex
		deadline    time.Time // as set by net/http
		interrupted bool      // the read was interrupted by the front itself
	}
	deadlineChanged chan struct{} // receives an element when one of these was changed; has a buffer of one

	clients       *clientConns
	stage         stage
	stageSince    time.Time // start of the stage; while a request arrives, time of its last part
	requestSince  time.Time // when the request that is arriving began
	bodyBytes     int64     // bytes of its body that have arrived
	uploading     bool      // a long request is being sent to its node
	servedRequest bool      // at least one request is finished
	sentRequest   bool      // at least one request for the core has arrived
	markedClosing bool      // to be closed unless data has arrived
	handOff       func(net.Conn) error
}

// stage is the state of a connection.
type stage int

const (
	stageIdle           stage = iota // no request has begun
	stageReading                     // a request has begun to arrive and is incomplete
	stageAwaitingAnswer              // a complete request awaits its answer
	stageEnding                      // nothing more is read; the client reads the last answer
)

// Read returns the received data to net/http. While a request awaits its answer, net/http tries to read one more byte to
// detect that the client has left, and could not detect it after receiving that byte. So data that arrives meanwhile is kept
// in readAhead, up to a limit, and net/http sees only the end of the connection. Each byte is in one place: in filtered, then in readAhead,
// then in surplus or the kernel.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		if c.clients.shouldEnd(c) {
			return 0, io.EOF // to net/http the client has left; Close closes the connection or hands it over
		}
		requestComplete := c.framing.isComplete()
		switch {
		case len(c.filtered) > 0: // net/http may need it to see that the request is complete
			n := copy(p, c.filtered)
			c.filtered = c.filtered[n:]
			return n, nil
		case requestComplete && (len(c.readAhead) > 0 || c.surplus != nil):
			err := c.readMoreAhead(p[:1])
			if c.resumeRead(err) {
				continue
			}
			return 0, err
		case len(c.readAhead) > 0 && c.headStartedAt.IsZero() && c.hungUp():
			c.clientGone.Store(true)
			return 0, io.EOF // nothing is begun for a client that has left
		case len(c.readAhead) > 0:
			if n, err := c.consumeAhead(p); n > 0 || err != nil {
				return n, err
			}
			continue
		case c.surplus != nil:
			if err := c.answerSurplus(p); err != nil {
				return 0, err
			}
			continue
		}
		if n, done, err := c.readRequest(p); done {
			return n, err
		}
	}
}

// readRequest reads bytes of the current request, or those behind it, from the client. It is not done if none of them are for net/http.
func (c *clientConn) readRequest(p []byte) (delivered int, done bool, err error) {
	c.limitHeadTime()
	n, err := c.Conn.Read(p)
	c.recordReadError(err)
	if n > 0 && c.framing.isComplete() { // the handler may have read the whole request meanwhile
		c.bufferAhead(p[:n])
		return 0, false, nil
	}
	if n > 0 {
		runtime.Gosched() // no other client waits for more than a part of this one's input
		kept, rejection := c.consumeRead(p, n)
		if kept > 0 || rejection != nil {
			return kept, true, cmp.Or(rejection, err)
		}
	}
	return 0, !c.resumeRead(err), err
}

// limitHeadTime limits the time for a head that has begun to arrive. On a connection that was idle, net/http waits for the
// first four bytes as long as for a new request.
func (c *clientConn) limitHeadTime() {
	if c.headStartedAt.IsZero() || !c.framing.isInHead() {
		return
	}
	headDeadline := c.headStartedAt.Add(c.clients.limits.Clients.HeaderTimeout)
	c.reads.Lock()
	defer c.reads.Unlock()
	if !c.reads.interrupted && (c.reads.deadline.IsZero() || headDeadline.Before(c.reads.deadline)) {
		c.reads.deadline = headDeadline
		c.Conn.SetReadDeadline(headDeadline)
	}
}

// recordReadError records an error that ended the connection, as opposed to an interrupted or timed out read.
func (c *clientConn) recordReadError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientGone.Store(true)
	}
}

func (c *clientConn) Write(p []byte) (int, error) {
	c.answerStarted.Store(true)
	c.answerOwed.Store(false)
	return c.Conn.Write(p)
}

// takeReadDelay returns how long the current request may have waited to be read, and resets that time.
func (c *clientConn) takeReadDelay() time.Duration {
	delay := max(c.acceptDelay, c.readDelay)
	c.acceptDelay, c.readDelay = 0, 0
	return delay
}

// measureReadDelay records how long ago the last byte of a request arrived that was read just now: it has waited in the kernel while the
// front had no slot for its connection, or no processor time. Short times count as 0.
func (c *clientConn) measureReadDelay() {
	if delay := timeSinceLastReceived(c.raw, 0); delay >= minLastByteWait {
		c.readDelay = delay
	}
}

// SetReadDeadline is called by net/http.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.reads.deadline = t
	c.notifyDeadline()
	return c.Conn.SetReadDeadline(t)
}

// interruptRead makes the current read, or the next one, check whether the connection is to be closed.
func (c *clientConn) interruptRead() {
	c.reads.Lock()
	defer c.reads.Unlock()
	c.reads.interrupted = true
	c.notifyDeadline()
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
	interrupted := c.reads.interrupted
	c.reads.interrupted = false
	return interrupted && errors.Is(err, os.ErrDeadlineExceeded) && c.Conn.SetReadDeadline(c.reads.deadline) == nil
}

// Close closes the connection. A client that was sent an answer may read it to its end first: closing a socket with unread
// bytes resets the connection and discards the answer in transit.
func (c *clientConn) Close() error {
	if c.answerOwed.Load() && !c.clientGone.Load() && !c.hungUp() {
		c.clients.guard.ReportViolation(lifecycle.EndIdle, "connection closed with a request unanswered")
	}
	if c.closeCalled.Swap(true) { // closed a second time: the front stops, or needs the slot
		return c.Conn.Close()
	}
	takeOver := c.clients.beginEnding(c)
	takenOver := takeOver != nil && takeOver(c.raw) == nil
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); !takenOver && c.answerStarted.Load() && ok &&
		halfCloser.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(c.clients.limits.Clients.LastAnswerTimeout))
		io.Copy(io.Discard, c.Conn)
	}
	err := c.Conn.Close()
	c.clients.remove(c)
	return err
}

// hasPendingInput reports whether data that may be a request has arrived, read or still in the kernel.
func (c *clientConn) hasPendingInput() bool { return c.hasUnreadInput() || c.hasInput.Load() }

// hasReadInput reports whether bytes were read that net/http has not been given, or are owed a refusal. It is called by the reading
// goroutine.
func (c *clientConn) hasReadInput() bool {
	return len(c.readAhead) > 0 || c.surplus != nil && c.surplus.refusals > 0
}

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
