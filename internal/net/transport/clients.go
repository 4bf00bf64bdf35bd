package transport

import (
	"net"
	"net/http"
	"sync"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
)

// clientConns are the connections that are open.
type clientConns struct {
	limits   limits.Limits
	guard    *lifecycle.Guard
	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	arriving int                  // connections that were accepted and are not among them yet
	closing  int                  // of them are to end, or ending
	handOff  func(net.Conn) error // takes connections that stand idle, nil while they are kept
	changed  chan struct{}        // holds one: a connection has ended or stands idle
}

func newClientConns(l limits.Limits, guard *lifecycle.Guard) *clientConns {
	return &clientConns{limits: l, guard: guard, conns: map[*clientConn]struct{}{}, changed: make(chan struct{}, 1)}
}

// announce counts a connection that was accepted, until it is added.
func (s *clientConns) announce(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arriving += by
}

// add takes a connection in. Past KeptConns, the one that has stood longest without a request is closed
// for it: clients that ask once and stay, or connect and say nothing, would keep those out that ask, and clients
// that may have only so many connections would find them all used up. Past Conns and the spare ones it waits.
func (s *clientConns) add(c *clientConn) {
	for !s.tryAdd(c) {
		select {
		case <-s.changed:
		case <-time.After(s.limits.Clients.MinIdle):
		}
	}
}

func (s *clientConns) tryAdd(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns)-s.closing >= s.limits.Clients.KeptConns {
		s.closeLongestIdle(time.Now())
	}
	if len(s.conns) >= s.limits.Clients.Conns+s.limits.Clients.SpareConns && !s.closeDrained() {
		return false
	}
	c.stageSince = time.Now()
	s.conns[c] = struct{}{}
	s.arriving--
	return true
}

// markClosing counts a connection among those that are to end: one that stands idle does once it is woken, unless something
// comes ahead of that. The lock is held.
func (s *clientConns) markClosing(c *clientConn) {
	if !c.markedClosing {
		c.markedClosing = true
		s.closing++
	}
}

// shouldEnd tells whether a connection has nothing to read and is to end, or to be passed on. Its reader alone asks, so all that
// was read is known to its framing: a request that came in this moment is either unread here, or complete.
func (s *clientConns) shouldEnd(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.stage == reading && c.markedClosing && !c.framing.complete() && !c.hasUnreadInput() {
		return true // its request is not complete, and no answer is owed
	}
	if c.stage == idle && !c.hasInput.Load() {
		if s.handOff != nil { // what the kernel holds is passed on with it
			c.handOff = s.handOff
			return true
		}
		if c.markedClosing && !c.hasPendingInput() {
			return true
		}
	}
	s.unmarkClosing(c)
	return false
}

// unmarkClosing takes back that a connection is to end. The lock is held.
func (s *clientConns) unmarkClosing(c *clientConn) {
	if c.markedClosing {
		c.markedClosing = false
		s.closing--
	}
}

// beginEnding marks that nothing more is read from a connection, and tells who takes it on, if anybody.
func (s *clientConns) beginEnding(c *clientConn) (pass func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage = ending
	if _, open := s.conns[c]; open {
		s.markClosing(c)
	}
	return c.handOff
}

// closeNow closes a connection at once. The lock is held. net/http then finds it closed.
func (s *clientConns) closeNow(c *clientConn) {
	s.unmarkClosing(c)
	delete(s.conns, c)
	c.raw.Close()
}

func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unmarkClosing(c)
	delete(s.conns, c)
	s.notifyChanged()
}

func (s *clientConns) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// trackState follows net/http's word on a connection.
func (s *clientConns) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		if c.stage = reading; c.served {
			c.stageSince = time.Now()
		}
	case http.StateIdle:
		c.framing.reset()
		c.hasInput.Store(len(c.readAhead) > 0)
		c.stage, c.stageSince, c.served = idle, time.Now(), true
		s.notifyChanged()
	}
}

// bodyProgressed notes that a body comes: its connection is not among those that have stopped.
func (s *clientConns) bodyProgressed(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stageSince = time.Now()
}

// markBusy marks that a request has come whole: its connection is left alone until it is answered. It is false where the
// connection was closed in that moment.
func (s *clientConns) markBusy(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage, c.sentRequest = busy, true
	_, open := s.conns[c]
	c.owing.Store(open)
	return open
}

// count tells how many connections are open.
func (s *clientConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.arriving
}

// endIdle ends what has carried no request for a while, and tells how many connections are there yet. One that a
// request is crossing is left alone; a client that finds a connection closed between requests opens another.
func (s *clientConns) endIdle(since time.Time) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.stage == idle && c.stageSince.Before(since) && !c.hasInput.Load() {
			s.markClosing(c)
			c.interruptRead()
		}
	}
	return len(s.conns) + s.arriving
}

// endIncomplete ends the connections whose request has not come whole: no answer could be given to it any more. Its reader looks
// once more whether the rest of it has come.
func (s *clientConns) endIncomplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.stage == reading {
			s.markClosing(c)
			c.interruptRead()
		}
	}
}

// handOffIdle has connections that stand idle, now and later, taken by pass; nil keeps them again. One on which something
// has come is served first.
func (s *clientConns) handOffIdle(pass func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOff = pass
	if pass == nil {
		return
	}
	for c := range s.conns {
		if c.stage == idle && !c.hasInput.Load() {
			c.interruptRead()
		}
	}
}
