package transport

import (
	"net"
	"time"
)

const (
	blockedRead  = time.Millisecond      // a longer read has waited for its client
	shortArrival = 50 * time.Millisecond // shorter waits count as 0
)

// arrival determines an upper bound on the time that the last byte of a body has waited in the kernel. While a connection to
// a node is being opened, or the node accepts no data, nothing is read, but the client's time runs on.
type arrival struct {
	caughtUp time.Time // everything that had arrived by this time was read
	before   time.Time // the last byte that was read arrived after this time
	chunked  bool      // a read that does not fill its buffer does not show that the kernel's buffer is empty
}

func newArrival(chunked bool) arrival {
	now := time.Now()
	return arrival{caughtUp: now, before: now, chunked: chunked}
}

// read records that a read into size bytes, which began at the given time, returned n bytes.
func (a *arrival) read(began time.Time, n, size int) {
	if n == 0 {
		return
	}
	now := time.Now()
	blocked := now.Sub(began) > blockedRead
	a.before = a.caughtUp
	if blocked {
		a.before = now
	}
	if blocked || n < size && !a.chunked {
		a.caughtUp = now
	}
}

// waited returns an upper bound on the time that the last byte had to wait, 0 if that is short.
func (a *arrival) waited(c net.Conn) time.Duration {
	most := time.Since(a.before)
	if most < shortArrival {
		return 0
	}
	return min(most, sinceLastReceived(c, most))
}
