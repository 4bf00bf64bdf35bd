// Package accept has a server go on accepting where that fails for a while. net/http ends a server at the first error that it does
// not call temporary, and waits up to a second behind the others; accept(2) names errors of the network, of the client and of
// resources that all pass. The package accepts and retries; what a connection carries is its caller's.
package accept

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// permanentAfter is for how long an error may last that names the listening socket itself, until it is the caller's.
const permanentAfter = 5 * time.Second

// emptyAfter is how long an accept takes at the least that waited for a connection to come: one that finds some in the kernel's
// queue takes less, on a busy machine too.
const emptyAfter = 100 * time.Millisecond

// Listener retries what fails. Only one goroutine may accept.
type Listener struct {
	net.Listener
	pause   time.Duration
	onError func(error)
	closed  atomic.Bool

	failingSince time.Time // zero where the queue was found empty since the last failure
	delay        time.Duration
}

// New returns a listener that tries again after a pause. onError hears of each failure, nil for nobody.
func New(l net.Listener, pause time.Duration, onError func(error)) *Listener {
	if onError == nil {
		onError = func(error) {}
	}
	return &Listener{Listener: l, pause: pause, onError: onError}
}

// Accept returns the next connection. Its error is net.ErrClosed, os.ErrDeadlineExceeded where a deadline was set, or one of the
// listening socket itself that has lasted for permanentAfter.
func (l *Listener) Accept() (net.Conn, error) {
	var brokenSince time.Time
	for {
		began := time.Now()
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.noteAccepted(began)
			return conn, nil
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.closed.Load():
			return nil, net.ErrClosed
		}
		if !isSocketBroken(err) {
			brokenSince = time.Time{}
		} else if brokenSince.IsZero() {
			brokenSince = began
		} else if time.Since(brokenSince) > permanentAfter {
			return nil, err
		}
		if l.failingSince.IsZero() {
			l.failingSince = began
		}
		l.onError(err)
		time.Sleep(l.pause)
	}
}

// noteAccepted computes for how long a connection may have waited in the kernel's queue.
func (l *Listener) noteAccepted(began time.Time) {
	now := time.Now()
	l.delay = 0
	if l.failingSince.IsZero() {
		return
	}
	if now.Sub(began) > emptyAfter { // the queue was empty: who comes now did not wait
		l.failingSince = time.Time{}
		return
	}
	l.delay = now.Sub(l.failingSince)
}

// Delay tells for how long the connection that Accept returned last may have waited as accepting failed, at the most.
func (l *Listener) Delay() time.Duration { return l.delay }

// Close ends the listener. Closing it again does nothing.
func (l *Listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.Listener.Close()
}

// isSocketBroken reports whether an error tells of the listening socket rather than of a connection or of resources.
func isSocketBroken(err error) bool {
	return errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, syscall.EINVAL)
}
