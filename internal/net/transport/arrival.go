package transport

import (
	"net"
	"time"
)

const (
	blockedRead  = time.Millisecond      // a read that takes longer waited for its client
	shortArrival = 50 * time.Millisecond // what waited no longer to be read is not looked into
)

// arrival bounds for how long the last byte of a body has waited in the kernel: while a connection to a node is opened, or the node
// takes nothing, nothing is read, and the client's time runs all the same.
type arrival struct {
	caughtUp time.Time // all that had come by then was read
	before   time.Time // the same, as of before the last read that brought something
	chunked  bool      // a read that is not filled does not tell that the kernel has no more
}

func newArrival(chunked bool) arrival {
	now := time.Now()
	return arrival{caughtUp: now, before: now, chunked: chunked}
}

// read notes that a read into size bytes, which began at a time, brought n.
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

// waited tells for how long the last byte may have waited by now.
func (a *arrival) waited(c net.Conn) time.Duration {
	most := time.Since(a.before)
	if most < shortArrival {
		return 0
	}
	return min(most, sinceLastReceived(c, most))
}
