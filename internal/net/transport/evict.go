package transport

import "time"

// Eviction is a reason for which a connection is asked to close although its client has not ended it.
type Eviction int

// Reasons for evictions.
const (
	EvictedIdle      Eviction = iota // more connections are open than are kept
	EvictedForSlot                   // a new connection has waited too long for a slot
	EvictedForUpload                 // another long request needs a connection to its node
	EvictedForMemory                 // the body of another request needs memory
	evictions
)

func (e Eviction) String() string { return [...]string{"idle", "slot", "upload", "memory"}[e] }

// closeLongestIdle closes the connection that has gone longest without a complete request, if it has had time to send one.
// Connections that never carried a request for the core go first: in a flood of them, clients would otherwise lose
// connections that they use occasionally. The caller holds the lock.
func (s *clientConns) closeLongestIdle(now time.Time) {
	s.closeFirst(EvictedIdle, func(c *clientConn) bool {
		if c.stage == stageReading {
			return now.Sub(c.stageSince) >= s.limits.Clients.HeaderTimeout/2
		}
		return s.isIdle(c, now)
	})
}

// closeMostDelayed is closeLongestIdle for a front without a free slot, while a new connection has waited too long for one: a request
// makes room for it that has been without data for a short time, or whose client is that far behind the slowest permitted one. The caller
// holds the lock.
func (s *clientConns) closeMostDelayed(now time.Time) {
	s.closeFirst(EvictedForSlot, func(c *clientConn) bool {
		if c.stage == stageReading {
			return max(now.Sub(c.stageSince), c.delay(now, s.limits.Clients.MinBodyRate)) >= s.limits.Clients.MinEvictionDelay
		}
		return s.isIdle(c, now)
	})
}

// isIdle reports whether a connection has nothing to read and has had time to send a request. The caller holds the lock.
func (s *clientConns) isIdle(c *clientConn, now time.Time) bool {
	minIdle := s.limits.Clients.MinFirstIdle
	if c.servedRequest {
		minIdle = s.limits.Clients.MinIdle
	}
	return c.stage == stageIdle && !c.hasInput.Load() && now.Sub(c.stageSince) >= minIdle
}

// closeFirst closes the connection that is evicted before all others that may be closed. The caller holds the lock.
func (s *clientConns) closeFirst(reason Eviction, mayClose func(*clientConn) bool) {
	var first *clientConn
	for c := range s.conns {
		if !c.markedClosing && mayClose(c) && (first == nil || c.isEvictedBefore(first)) {
			first = c
		}
	}
	if first != nil {
		s.markClosing(first)
		first.interruptRead()
		s.evictions[reason].Add(1)
		s.log.Debug("connection makes room", "reason", reason.String(), "client", first.RemoteAddr().String(),
			"in_stage", time.Since(first.stageSince).String())
	}
}

// closeOneEnding frees a slot at once: it closes a connection whose last answer was written, though the client may still be
// reading it. It reports whether there was one. A connection with unread bytes is kept, as closing it would reset it and discard
// that answer. It looks at a few connections, in random order. The caller holds the lock.
func (s *clientConns) closeOneEnding() bool {
	looked := 0
	for c := range s.conns {
		if c.stage != stageEnding {
			continue
		}
		if !c.hasUnreadInput() {
			s.closeNow(c)
			return true
		}
		if looked++; looked == maxEndingLooks {
			break
		}
	}
	return false
}

// maxEndingLooks bounds the system calls of closeOneEnding.
const maxEndingLooks = 8

func (c *clientConn) isEvictedBefore(other *clientConn) bool {
	if c.sentRequest != other.sentRequest {
		return other.sentRequest
	}
	return c.stageSince.Before(other.stageSince)
}

// delay returns how far the current request is behind one whose body arrives at the given rate in bytes per second.
func (c *clientConn) delay(now time.Time, bodyRate int64) time.Duration {
	return now.Sub(c.requestSince) - time.Duration(c.bodyBytes)*time.Second/time.Duration(bodyRate)
}

// isUnderPressure reports whether new connections have waited too long for a slot: the given one, or all of them together. It is called
// for a front without a free slot. The caller holds the lock.
func (s *clientConns) isUnderPressure(c *clientConn, now time.Time) bool {
	maxWait := s.limits.Clients.MaxAcceptWait
	if now.Sub(s.lastFullAt) > maxWait {
		s.fullSince = now
	}
	s.lastFullAt = now
	return now.Sub(s.fullSince) > maxWait || timeSinceLastReceived(c.raw, 0) > maxWait
}

// requestProgressed records that a part of a head arrived, or a number of bytes of a body, so that the connection doesn't count as
// inactive.
func (s *clientConns) requestProgressed(c *clientConn, bodyBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.beginRequest()
	c.stageSince = time.Now()
	c.bodyBytes += int64(bodyBytes)
}

// beginRequest marks that a request arrives on an idle connection. The first request counts from when the connection was accepted. The
// caller holds the lock of clients.
func (c *clientConn) beginRequest() {
	if c.stage != stageIdle {
		return
	}
	if c.servedRequest {
		c.stageSince = time.Now()
	}
	c.stage, c.requestSince, c.bodyBytes = stageReading, c.stageSince, 0
}
