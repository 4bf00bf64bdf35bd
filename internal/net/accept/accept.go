// Package accept provides a listener that retries failed accepts. A net/http server ends at the first error that is not marked
// as temporary, and waits up to one second after a temporary one. Yet all errors of the network, of the client and of resources
// that accept(2) names are transient. The package does not read or write the connections.
package accept

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// socketErrorTimeout is how long an error of the listening socket itself is retried before Accept returns it.
const socketErrorTimeout = 5 * time.Second

// minBlockedAccept is the duration from which an accept counts as one that found the kernel's queue empty and waited for a new
// connection. An accept that finds a connection in the queue takes less, even on a busy machine.
const minBlockedAccept = 100 * time.Millisecond

// Listener retries failed accepts. Only one goroutine may call Accept.
type Listener struct {
	net.Listener
	pause   time.Duration
	onError func(error)
	closed  atomic.Bool

	failingSince time.Time // time of the first failure; zero if the queue has been empty since the last one
	delay        time.Duration
}

// New returns a listener that retries a failed accept after a pause. onError is called with each error; it may be nil.
func New(l net.Listener, pause time.Duration, onError func(error)) *Listener {
	if onError == nil {
		onError = func(error) {}
	}
	return &Listener{Listener: l, pause: pause, onError: onError}
}

// Accept returns the next connection. Its error is net.ErrClosed, os.ErrDeadlineExceeded if a deadline is set, or an error of
// the listening socket itself that has lasted for socketErrorTimeout.
func (l *Listener) Accept() (net.Conn, error) {
	var socketErrorSince time.Time
	for {
		startedAt := time.Now()
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.updateDelay(startedAt)
			return conn, nil
		case errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.closed.Load():
			return nil, net.ErrClosed
		}
		if !isSocketError(err) {
			socketErrorSince = time.Time{}
		} else if socketErrorSince.IsZero() {
			socketErrorSince = startedAt
		} else if time.Since(socketErrorSince) > socketErrorTimeout {
			return nil, err
		}
		if l.failingSince.IsZero() {
			l.failingSince = startedAt
		}
		l.onError(err)
		time.Sleep(l.pause)
	}
}

// updateDelay computes how long the accepted connection may have waited in the kernel's queue.
func (l *Listener) updateDelay(startedAt time.Time) {
	now := time.Now()
	l.delay = 0
	if l.failingSince.IsZero() {
		return
	}
	if now.Sub(startedAt) > minBlockedAccept { // the queue was empty, so the connection did not wait
		l.failingSince = time.Time{}
		return
	}
	l.delay = now.Sub(l.failingSince)
}

// Delay returns an upper bound of the time that the connection last returned by Accept waited because of failed accepts.
func (l *Listener) Delay() time.Duration { return l.delay }

// Close closes the listener. Further calls do nothing.
func (l *Listener) Close() error {
	if l.closed.Swap(true) {
		return nil
	}
	return l.Listener.Close()
}

// isSocketError reports whether an error concerns the listening socket rather than a connection or resources.
func isSocketError(err error) bool {
	return errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.ENOTSOCK) || errors.Is(err, syscall.EINVAL)
}
