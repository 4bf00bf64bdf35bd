package transport

import (
	"os"
	"time"
)

// overflowPause slows down a client whose data is dropped: one buffer of 32 KiB per pause, 32 MB per second.
const overflowPause = time.Millisecond

// bufferAhead keeps data that arrives before the current answer is written. As whatever changes readAhead or surplus while a handler may ask
// for later requests, it holds aheadLock.
func (c *clientConn) bufferAhead(p []byte) {
	if len(p) > 0 {
		c.aheadLock.Lock()
		defer c.aheadLock.Unlock()
		c.growAhead(len(c.readAhead) + len(p)) // without memory too: what was read has to be kept, and one read is no more than 4 KiB
		c.readAhead = append(c.readAhead, p...)
	}
}

// minReadAhead is the size of readAhead when it is first used, in bytes.
const minReadAhead = 512

// aheadRoom returns how many bytes may be read into readAhead now.
func (c *clientConn) aheadRoom() int {
	maxBytes := c.clients.limits.Clients.ReadAhead
	c.aheadLock.Lock()
	defer c.aheadLock.Unlock()
	if used := len(c.readAhead); used >= maxBytes || used == cap(c.readAhead) && !c.growAhead(max(used+1, minReadAhead)) {
		return 0
	}
	return min(cap(c.readAhead), maxBytes) - len(c.readAhead)
}

// growAhead makes readAhead large enough for the given number of bytes, and reports whether there was memory for it. The caller holds aheadLock.
func (c *clientConn) growAhead(needed int) bool {
	if needed <= cap(c.readAhead) {
		return true
	}
	size := max(needed, min(2*cap(c.readAhead), c.clients.limits.Clients.ReadAhead))
	if int64(size) > c.clients.limits.Memory.Free && !c.aheadMemory.Grow(int64(size)-c.aheadMemory.Bytes()) {
		return false
	}
	c.readAhead = append(make([]byte, 0, size), c.readAhead...)
	return true
}

// readMoreAhead waits for one byte, into p, and then takes what else has arrived: reading single bytes would be slow, and a larger buffer
// is held for no longer than that. Without room it leaves the bytes in the kernel for a short time, in which most requests are answered.
// Then it reads on, to notice when the client leaves.
func (c *clientConn) readMoreAhead(p []byte) error {
	room := c.aheadRoom()
	if c.surplus == nil && room == 0 {
		return c.awaitAnswer()
	}
	n, err := c.Conn.Read(p)
	c.recordReadError(err)
	c.takeAhead(p[:n])
	if err != nil || c.surplus == nil && n == room || !c.hasUnreadInput() {
		return err
	}
	buffer := c.clients.buffers.Get()
	defer c.clients.buffers.Put(buffer)
	size := len(buffer)
	if c.surplus == nil {
		size = min(size, room-n)
	}
	n, err = c.Conn.Read(buffer[:size])
	c.recordReadError(err)
	c.takeAhead(buffer[:n])
	if c.surplus != nil {
		time.Sleep(overflowPause)
	}
	return err
}

// takeAhead keeps bytes, or drops them if those before them were dropped.
func (c *clientConn) takeAhead(p []byte) {
	if c.surplus == nil {
		c.bufferAhead(p)
		return
	}
	c.aheadLock.Lock()
	defer c.aheadLock.Unlock()
	c.surplus.drop(p)
}

// awaitAnswer waits without reading until net/http ends the read, as it does after the answer. If that takes too long, it lets the next call
// drop what follows.
func (c *clientConn) awaitAnswer() error {
	maxUnread := c.clients.limits.Clients.MaxUnread
	timer := time.NewTimer(maxUnread)
	defer timer.Stop()
	for !c.isReadEnded() {
		select {
		case <-c.deadlineChanged:
		case <-timer.C:
			if c.answerOwed.Load() {
				c.beginSurplus()
				return nil
			}
			timer.Reset(maxUnread) // an answer that is being written shows when the client has left
		}
	}
	return os.ErrDeadlineExceeded
}

// isReadEnded reports whether a read would end now, or was interrupted.
func (c *clientConn) isReadEnded() bool {
	c.reads.Lock()
	defer c.reads.Unlock()
	return c.reads.interrupted || !c.reads.deadline.IsZero() && !time.Now().Before(c.reads.deadline)
}

// notifyDeadline wakes awaitAnswer.
func (c *clientConn) notifyDeadline() {
	select {
	case c.deadlineChanged <- struct{}{}:
	default:
	}
}

// beginSurplus keeps the complete requests in readAhead, and drops the one that is incomplete and those behind it.
func (c *clientConn) beginSurplus() {
	rest, complete := newSurplus(c.clients.limits.Requests, c.readAhead)
	c.discardAhead(c.readAhead[:complete])
	c.aheadLock.Lock()
	defer c.aheadLock.Unlock()
	c.surplus = rest
	c.clients.log.Debug("requests sent ahead exceed the limit", "client", c.RemoteAddr().String(), "kept_bytes", complete)
}

// discardAhead replaces readAhead by a part of it.
func (c *clientConn) discardAhead(rest []byte) {
	c.aheadLock.Lock()
	defer c.aheadLock.Unlock()
	if c.readAhead = rest; len(rest) == 0 {
		c.readAhead = nil
		c.aheadMemory.Release()
	}
}

// consumeAhead passes bytes of readAhead on to net/http.
func (c *clientConn) consumeAhead(p []byte) (delivered int, err error) {
	consumed, kept, err := c.consume(p, copy(p, c.readAhead))
	c.discardAhead(c.readAhead[consumed:])
	return c.deliver(p, kept), err
}

// hasLaterRequest reports whether a complete request was read behind the current one. It may be called by the handler.
func (c *clientConn) hasLaterRequest() bool {
	c.aheadLock.Lock()
	defer c.aheadLock.Unlock()
	if c.surplus != nil && c.surplus.refusals > 0 {
		return true
	}
	_, complete := newSurplus(c.clients.limits.Requests, c.readAhead)
	return complete > 0
}
