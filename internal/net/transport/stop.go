package transport

import (
	"net"
	"time"
)

// stopped tells for how long the front has been stopping, if it is.
func (f *Front) stopped() (since time.Duration, stopping bool) {
	began := f.stopping.Load()
	if began == nil {
		return 0, false
	}
	return time.Since(*began), true
}

// Stop ends the front without losing a request. Its clients have no other way until it is started again, and
// learn late that it stops: so it serves them for nearly as long as a stop may take. Then it lets no more in, closes the
// connections that stand idle, answers the others with 'Connection: close', and ends once none is left: a request that
// is read any later would be sent on, and its answer be lost.
//
// Clients get no further connections, and one that finds all of its own taken once sent nothing more until the
// next start. So room, where it is given, hears how many requests may be open: a part of the connections that are.
func (f *Front) Stop(room func(open int)) error {
	began := time.Now()
	f.stopping.Store(&began)
	if f.yielded.Load() {
		return f.awaitHandover(began)
	}
	tick := time.NewTicker(f.limits.Stop.CheckInterval)
	defer tick.Stop()
	for now := range tick.C {
		since, left := now.Sub(began), f.clients.count()
		if room != nil && left > 0 {
			room(max(1, left/f.limits.Stop.ConnsPerRequest))
		}
		if since < f.limits.Stop.Accept {
			continue
		}
		if since >= f.limits.Stop.Serve {
			f.closeListener()
			left = f.clients.closeIdle(now.Add(-f.limits.Stop.CheckInterval))
		}
		if left == 0 && f.open.Load() == 0 || since > f.limits.Stop.AtMost {
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

// closeListener accepts no more connections, for good.
func (f *Front) closeListener() {
	if l := f.listener.Swap(nil); l != nil {
		l.Close()
	}
}

// Adopt serves a connection that another process passes on.
func (f *Front) Adopt(c net.Conn) {
	select {
	case f.adopted <- c:
	case <-time.After(f.limits.Clients.HeaderTimeout): // the front has ended, or is full
		c.Close()
	}
}

// awaitHandover ends the front once all that it keeps yet is answered and passed on, as another process serves in its place.
func (f *Front) awaitHandover(began time.Time) error {
	for tick := time.NewTicker(f.limits.Stop.CheckInterval); ; <-tick.C {
		idle := f.clients.count() == 0 && f.open.Load() == 0
		if idle || time.Since(began) > f.limits.Stop.AtMost {
			tick.Stop()
			return f.server.Close()
		}
	}
}
