package transport

import "time"

// closeLongestIdle closes the connection that has gone longest without a complete request, if it has had time to send one.
// Connections that never carried a request for the core go first: in a flood of them, clients would otherwise lose
// connections that they use occasionally. The caller holds the lock.
func (s *clientConns) closeLongestIdle(now time.Time) {
	var candidate *clientConn
	for c := range s.conns {
		minWait := s.limits.Clients.MinIdle
		if c.stage == stageReading {
			minWait = s.limits.Clients.HeaderTimeout / 2
		}
		if c.stage == stageAwaitingAnswer || c.markedClosing || now.Sub(c.stageSince) < minWait ||
			candidate != nil && !c.isEvictedBefore(candidate) {
			continue
		}
		if c.stage == stageReading || !c.hasInput.Load() {
			candidate = c
		}
	}
	if candidate != nil {
		s.markClosing(candidate)
		candidate.interruptRead()
	}
}

// closeOneEnding frees a slot at once: it closes a connection whose last answer was written, though the client may still be
// reading it. It reports whether there was one. A connection with unread bytes is kept, as closing it would reset it and discard
// that answer. The caller holds the lock.
func (s *clientConns) closeOneEnding() bool {
	for c := range s.conns {
		if c.stage == stageEnding && !c.hasUnreadInput() {
			s.closeNow(c)
			return true
		}
	}
	return false
}

func (c *clientConn) isEvictedBefore(other *clientConn) bool {
	if c.sentRequest != other.sentRequest {
		return other.sentRequest
	}
	return c.stageSince.Before(other.stageSince)
}
