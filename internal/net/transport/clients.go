package transport

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/memory"
)

// clientConns holds the open client connections.
type clientConns struct {
	limits       limits.Limits
	guard        *lifecycle.Guard
	log          *slog.Logger
	evictions    [evictions]atomic.Int64
	rejected     atomic.Int64  // heads that were invalid, too large or found no memory
	refusal      func() []byte // an answer that refuses a request of any kind
	memory       *memory.Budget
	buffers      *bufferPool
	mu           sync.Mutex
	conns        map[*clientConn]struct{}
	pending      int                  // accepted connections that are not in conns yet
	fullSince    time.Time            // since when new connections have found no free slot
	lastFullAt   time.Time            // when one last found none
	closingCount int                  // connections in conns that are to be closed or are being closed
	uploads      int                  // connections with a long request that is being sent to its node
	handOff      func(net.Conn) error // takes over idle connections, nil while they are kept
	changed      chan struct{}        // receives an element when a connection was closed or became idle; has a buffer of one
}

func newClientConns(l limits.Limits, guard *lifecycle.Guard, budget *memory.Budget, log *slog.Logger) *clientConns {
	return &clientConns{
		limits: l, guard: guard, log: log, memory: budget, buffers: &bufferPool{budget: budget}, conns: map[*clientConn]struct{}{},
		changed: make(chan struct{}, 1),
	}
}

// addPending changes the number of accepted connections that are not added yet.
func (s *clientConns) addPending(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending += delta
}

// slotRetry is the time after which add asks another connection to make room: the last one may have received data meanwhile.
const slotRetry = 2 * time.Millisecond

// add adds a connection. If KeptConns are open, the one that has gone longest without a request is closed. Otherwise clients
// that send one request and stay, or connect and send nothing, would keep active clients out, and clients with a limited
// number of connections would find them all in use. If Conns and SpareConns are open, add waits.
func (s *clientConns) add(c *clientConn) {
	for !s.tryAdd(c) {
		select {
		case <-s.changed:
		case <-time.After(slotRetry):
		}
	}
}

func (s *clientConns) tryAdd(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	full := len(s.conns) >= s.limits.Clients.Conns+s.limits.Clients.SpareConns
	switch {
	case full && s.isUnderPressure(c, now):
		s.closeMostDelayed(now)
	case len(s.conns)-s.closingCount >= s.limits.Clients.KeptConns:
		s.closeLongestIdle(now)
	}
	if full && !s.closeOneEnding() {
		return false
	}
	c.stageSince = now
	s.conns[c] = struct{}{}
	s.pending--
	return true
}

// markClosing marks a connection to be closed. An idle one closes when its read is interrupted, unless data arrives
// first. The caller holds the lock.
func (s *clientConns) markClosing(c *clientConn) {
	if !c.markedClosing {
		c.markedClosing = true
		s.closingCount++
	}
}

// shouldEnd reports whether a connection has nothing to read and is to be closed or handed over. Only the connection's
// reader calls it, so all data read so far has passed through framing or is in readAhead: a request that arrives at this moment is
// unread, in readAhead or complete.
func (s *clientConns) shouldEnd(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.stage == stageReading && c.markedClosing && !c.framing.isComplete() && !c.hasReadInput() && !c.hasUnreadInput() {
		return true // the request is incomplete, so no answer is owed
	}
	if c.stage == stageIdle && !c.hasInput.Load() {
		if s.handOff != nil { // unread data in the kernel is handed over with it
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

// unmarkClosing removes the mark of a connection to close. The caller holds the lock.
func (s *clientConns) unmarkClosing(c *clientConn) {
	if c.markedClosing {
		c.markedClosing = false
		s.closingCount--
	}
}

// beginEnding marks that nothing more is read from a connection, and returns the function that takes it over, or nil.
func (s *clientConns) beginEnding(c *clientConn) (takeOver func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage = stageEnding
	if _, open := s.conns[c]; open {
		s.markClosing(c)
	}
	return c.handOff
}

// closeNow closes a connection at once; net/http then finds it closed. The caller holds the lock.
func (s *clientConns) closeNow(c *clientConn) {
	s.unmarkClosing(c)
	delete(s.conns, c)
	c.raw.Close()
}

// remove removes a closed connection and frees its memory.
func (s *clientConns) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unmarkClosing(c)
	delete(s.conns, c)
	c.aheadMemory.Release()
	c.requestMemory.Release()
	s.notifyChanged()
}

func (s *clientConns) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// trackState is called by net/http when the state of a connection changes.
func (s *clientConns) trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.nextRequest()
		c.headStartedAt = time.Time{}
		c.hasInput.Store(len(c.readAhead) > 0 || c.surplus != nil)
		c.stage, c.stageSince, c.servedRequest = stageIdle, time.Now(), true
		s.notifyChanged()
	}
}

// markAwaitingAnswer marks that a request has arrived completely: its connection stays open until it is answered. It returns
// false if the connection was closed meanwhile.
func (s *clientConns) markAwaitingAnswer(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.stage, c.sentRequest = stageAwaitingAnswer, true
	_, open := s.conns[c]
	c.answerOwed.Store(open)
	return open
}

// count returns the number of open connections.
func (s *clientConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.pending
}

// endIdle closes the connections that have been idle since before the given time, and returns how many connections are left.
// A connection on which a request is just arriving is kept. A client that finds its connection closed between requests opens
// another.
func (s *clientConns) endIdle(idleBefore time.Time) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.stage == stageIdle && c.stageSince.Before(idleBefore) && !c.hasInput.Load() {
			s.markClosing(c)
			c.interruptRead()
		}
	}
	return len(s.conns) + s.pending
}

// endIncomplete closes the connections whose request has not arrived completely, since it could no longer be answered. The
// reader of each checks once more whether the rest has arrived.
func (s *clientConns) endIncomplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.stage == stageReading {
			s.markClosing(c)
			c.interruptRead()
		}
	}
}

// handOffIdle passes the connections that are idle now, or become idle later, to takeOver; nil stops that. A connection on
// which data has arrived is served first.
func (s *clientConns) handOffIdle(takeOver func(net.Conn) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handOff = takeOver
	if takeOver == nil {
		return
	}
	for c := range s.conns {
		if c.stage == stageIdle && !c.hasInput.Load() {
			c.interruptRead()
		}
	}
}
