package transport

import (
	"net"
	"net/http"
	"sync"
	"time"

	"otterturn/internal/limits"
)

// clients are the connections that are open.
type clients struct {
	limits  limits.Limits
	mu      sync.Mutex
	conns   map[*clientConn]struct{}
	unmade  int                  // of them are to end, or ending
	pass    func(net.Conn) error // takes connections that stand idle, nil while they are kept
	changed chan struct{}        // holds one: a connection has ended or stands idle
}

func newClients(l limits.Limits) *clients {
	return &clients{limits: l, conns: map[*clientConn]struct{}{}, changed: make(chan struct{}, 1)}
}

// enter takes a connection in. Past KeptConns, the one that has stood longest without a request is closed
// for it: clients that ask once and stay, or connect and say nothing, would keep those out that ask, and clients
// that may have only so many connections would find them all used up. Past Conns and the spare ones it waits.
func (s *clients) enter(c *clientConn) {
	for !s.fits(c) {
		select {
		case <-s.changed:
		case <-time.After(s.limits.Clients.MinIdle):
		}
	}
}

func (s *clients) fits(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns)-s.unmade >= s.limits.Clients.KeptConns {
		s.closeLongest(time.Now())
	}
	if len(s.conns) >= s.limits.Clients.Conns+s.limits.Clients.SpareConns && !s.cutEnding() {
		return false
	}
	c.since = time.Now()
	s.conns[c] = struct{}{}
	return true
}

// closeLongest closes the connection that has been longest without a whole request, if it has had time to send
// one. Those that never brought one for the core go first: in a flood of others, clients would lose the connections
// that they use now and then. The lock is held.
func (s *clients) closeLongest(now time.Time) {
	var longest *clientConn
	for c := range s.conns {
		wait := s.limits.Clients.MinIdle
		if c.stage == reading {
			wait = s.limits.Clients.HeaderTimeout / 2
		}
		if c.stage == busy || c.unmade || now.Sub(c.since) < wait || longest != nil && !c.goesBefore(longest) {
			continue
		}
		if c.stage == reading || !c.came.Load() {
			longest = c
		}
	}
	if longest != nil {
		s.unmake(longest)
		longest.wake()
	}
}

// cutEnding makes room at once: it closes a connection whose client has had its last answer written and may be reading it
// yet. A connection with unread bytes is left, as closing it would reset it and take that answer along. The lock is held.
func (s *clients) cutEnding() bool {
	for c := range s.conns {
		if c.stage == ending && !c.unread() {
			s.cut(c)
			return true
		}
	}
	return false
}

func (c *clientConn) goesBefore(other *clientConn) bool {
	if c.used != other.used {
		return other.used
	}
	return c.since.Before(other.since)
}

// unmake counts a connection among those that are to end: one that stands idle does once it is woken, unless something
// comes ahead of that. The lock is held.
func (s *clients) unmake(c *clientConn) {
	if !c.unmade {
		c.unmade = true
		s.unmade++
	}
}

// ends tells whether a connection has nothing to read and is to end, or to be passed on. Its reader alone asks, so all that
// was read is known to its framing: a request that came in this moment is either unread here, or complete.
func (s *clients) ends(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.stage == reading && c.unmade && !c.framing.whole() && !c.unread() {
		return true // its request is not complete, and no answer is owed
	}
	if c.stage == idle && !c.came.Load() {
		if s.pass != nil { // what the kernel holds is passed on with it
			c.passTo = s.pass
			return true
		}
		if c.unmade && !c.crossed() {
			return true
		}
	}
	s.keep(c)
	return false
}

// keep takes back that a connection is to end. The lock is held.
func (s *clients) keep(c *clientConn) {
	if c.unmade {
		c.unmade = false
		s.unmade--
	}
}

// end marks that nothing more is read from a connection, and tells who takes it on, if anybody.
func (s *clients) end(c *clientConn) (pass func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage = ending
	if _, open := s.conns[c]; open {
		s.unmake(c)
	}
	return c.passTo
}

// cut closes a connection at once. The lock is held. net/http then finds it closed.
func (s *clients) cut(c *clientConn) {
	s.keep(c)
	delete(s.conns, c)
	c.raw.Close()
}

func (s *clients) leave(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep(c)
	delete(s.conns, c)
	s.note()
}

func (s *clients) note() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// track follows net/http's word on a connection.
func (s *clients) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		if c.stage = reading; c.served {
			c.since = time.Now()
		}
	case http.StateIdle:
		c.framing.next()
		c.came.Store(len(c.ahead) > 0)
		c.stage, c.since, c.served = idle, time.Now(), true
		s.note()
	}
}

// goesOn notes that a body comes: its connection is not among those that have stopped.
func (s *clients) goesOn(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.since = time.Now()
}

// take marks that a request has come whole: its connection is left alone until it is answered. It is false where the
// connection was closed in that moment.
func (s *clients) take(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage, c.used = busy, true
	_, open := s.conns[c]
	return open
}

// count tells how many connections are open.
func (s *clients) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeIdle ends what has carried no request for a while, and tells how many connections are there yet. One that a
// request is crossing is left alone; a client that finds a connection closed between requests opens another.
func (s *clients) closeIdle(since time.Time) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.stage == idle && c.since.Before(since) && !c.came.Load() {
			s.unmake(c)
			c.wake()
		}
	}
	return len(s.conns)
}

// passOn has connections that stand idle, now and later, taken by pass; nil keeps them again. One on which something
// has come is served first.
func (s *clients) passOn(pass func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pass = pass
	if pass == nil {
		return
	}
	for c := range s.conns {
		if c.stage == idle && !c.came.Load() {
			c.wake()
		}
	}
}
