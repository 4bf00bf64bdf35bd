package transport

import (
	"net"
	"time"
)

const (
	minBlockedRead  = time.Millisecond      // a longer read has waited for its client
	minLastByteWait = 50 * time.Millisecond // shorter waits count as 0
)

// bodyArrival determines an upper bound on the time that the last byte of a body has waited in the kernel. While a
// connection to a node is being opened, or the node accepts no data, nothing is read, but the client's time runs on.
type bodyArrival struct {
	caughtUpAt    time.Time // everything that had arrived by this time was read
	lastByteAfter time.Time // the last byte that was read arrived after this time
	chunked       bool      // a read that does not fill its buffer does not show that the kernel's buffer is empty
}

func newBodyArrival(chunked bool) bodyArrival {
	now := time.Now()
	return bodyArrival{caughtUpAt: now, lastByteAfter: now, chunked: chunked}
}

// recordRead records that a read into size bytes, which began at the given time, returned n bytes.
func (a *bodyArrival) recordRead(startedAt time.Time, n, size int) {
	if n == 0 {
		return
	}
	now := time.Now()
	blocked := now.Sub(startedAt) > minBlockedRead
	a.lastByteAfter = a.caughtUpAt
	if blocked {
		a.lastByteAfter = now
	}
	if blocked || n < size && !a.chunked {
		a.caughtUpAt = now
	}
}

// lastByteWait returns an upper bound on the time that the last byte had to wait, 0 if that is short.
func (a *bodyArrival) lastByteWait(c net.Conn) time.Duration {
	maxWait := time.Since(a.lastByteAfter)
	if maxWait < minLastByteWait {
		return 0
	}
	return min(maxWait, timeSinceLastReceived(c, maxWait))
}
