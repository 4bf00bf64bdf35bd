package transport

import (
	"net"
	"time"

	"otterturn/internal/lifecycle"
)

// Stop ends the front without losing a request. Its clients have no other way until it is started again, and
// learn late that it stops: so it serves them for nearly as long as a stop may take. Then it lets no more in, closes the
// connections that stand idle, answers the others with 'Connection: close', and ends once none is left. Whatever is open as all
// must be answered is answered by the core, and what comes whole after that at once. The guard says when.
//
// Clients get no further connections, and one that finds all of its own taken once sent nothing more until the
// next start. So room, where it is given, hears how many requests may be open: a part of the connections that are.
// Where another process serves in this one's place, it ends as soon as nothing is left.
func (f *Front) Stop(room func(open int)) error {
	f.guard.BeginShutdown(time.Now())
	tick := time.NewTicker(f.limits.Stop.CheckInterval)
	defer tick.Stop()
	for ; ; <-tick.C {
		left, yielded := f.clients.count(), f.yielded.Load()
		if room != nil && left > 0 && !yielded {
			room(max(1, left/f.limits.Stop.ConnsPerRequest))
		}
		accepted := false // all that the kernel had
		if !f.guard.Permits(lifecycle.Accept) {
			accepted = f.drainListener()
		}
		if f.guard.Permits(lifecycle.EndIdle) {
			left = f.clients.endIdle(time.Now().Add(-f.limits.Stop.CheckInterval))
		}
		if f.guard.Permits(lifecycle.EndIncomplete) {
			f.clients.endIncomplete()
		}
		ended := (accepted || yielded) && left == 0 && f.open.Load() == 0
		if ended || f.guard.Since() > f.guard.Limits().AtMost {
			break
		}
	}
	return f.server.Close()
}

// Yield leaves new connections to another process that listens on the same socket, and has pass take those that are
// open once they stand idle. What has come, or has begun to, is answered here.
func (f *Front) Yield(pass func(net.Conn) error) {
	f.yielded.Store(true)
	f.Pause(true)
	f.clients.handOffIdle(pass)
}

// Pause leaves new connections in the kernel, or takes them again.
func (f *Front) Pause(yes bool) {
	if l := f.listener.Load(); l != nil {
		l.pause(yes)
	}
}

// Resume takes back what Yield gave, as far as it was not taken.
func (f *Front) Resume() {
	f.yielded.Store(false)
	f.clients.handOffIdle(nil)
	f.Pause(false)
}

// drainListener accepts no more connections, for good, behind those that the kernel has. It tells whether these are taken in.
func (f *Front) drainListener() bool {
	l := f.listener.Load()
	return l == nil || l.drain()
}

// Adopt serves a connection that another process passes on.
func (f *Front) Adopt(c net.Conn) {
	select {
	case f.adopted <- c:
	case <-time.After(f.limits.Clients.HeaderTimeout): // the front has ended, or is full
		c.Close()
	}
}
