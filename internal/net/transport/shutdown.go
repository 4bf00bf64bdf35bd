package transport

import (
	"net"
	"time"

	"otterturn/internal/lifecycle"
)

// Stop shuts the front down without losing a request. Its clients have no other front until it is started again, and learn
// late that it stops, so it first serves them for nearly as long as a shutdown may take. Then it accepts no more
// connections, closes the idle ones, answers on the others with 'Connection: close', and returns when none is left. Requests
// that are still open when all must be answered are answered by the core, and requests that arrive completely after that are
// answered at once. The guard sets these times.
//
// Clients get no further connections during that time. A client that found all of its connections in use has been seen to send
// nothing more until the next start. So setMaxOpen, unless nil, is called with the number of requests that may be open: a
// fraction of the open connections. If another process serves in place of this one, Stop returns as soon as nothing is left.
func (f *Front) Stop(setMaxOpen func(openRequests int)) error {
	f.guard.BeginShutdown(time.Now())
	ticker := time.NewTicker(f.limits.Stop.CheckInterval)
	defer ticker.Stop()
	for ; ; <-ticker.C {
		remaining, yielded := f.clients.count(), f.yielded.Load()
		if setMaxOpen != nil && remaining > 0 && !yielded {
			setMaxOpen(max(1, remaining/f.limits.Stop.ConnsPerRequest))
		}
		accepted := false // whether all connections that waited in the kernel have been accepted
		if !f.guard.Permits(lifecycle.Accept) {
			accepted = f.drainListener()
		}
		if f.guard.Permits(lifecycle.EndIdle) {
			remaining = f.clients.endIdle(time.Now().Add(-f.limits.Stop.CheckInterval))
		}
		if f.guard.Permits(lifecycle.EndIncomplete) {
			f.clients.endIncomplete()
		}
		done := (accepted || yielded) && remaining == 0 && f.openRequests.Load() == 0
		if done || f.guard.Since() > f.guard.Limits().Exit {
			break
		}
	}
	return f.server.Close()
}

// Yield leaves new connections to another process that listens on the same socket, and passes the open ones to takeOver when
// they are idle. Requests that have arrived, or have begun to, are answered here.
func (f *Front) Yield(takeOver func(net.Conn) error) {
	f.yielded.Store(true)
	f.SetAcceptPaused(true)
	f.clients.handOffIdle(takeOver)
}

// SetAcceptPaused stops accepting connections, which then wait in the kernel, or resumes it if paused is false.
func (f *Front) SetAcceptPaused(paused bool) {
	if l := f.listener.Load(); l != nil {
		l.setPaused(paused)
	}
}

// Resume takes back what Yield handed over, except for the connections already taken.
func (f *Front) Resume() {
	f.yielded.Store(false)
	f.clients.handOffIdle(nil)
	f.SetAcceptPaused(false)
}

// drainListener accepts the connections that wait in the kernel, and none after them. It reports whether that has been
// done.
func (f *Front) drainListener() bool {
	l := f.listener.Load()
	return l == nil || l.drain()
}

// Adopt serves a connection that another process hands over.
func (f *Front) Adopt(c net.Conn) {
	select {
	case f.adopted <- c:
	case <-time.After(f.limits.Clients.HeaderTimeout): // the front has stopped or is full
		c.Close()
	}
}
