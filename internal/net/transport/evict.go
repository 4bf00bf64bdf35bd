package transport

import "time"

// closeLongestIdle closes the connection that has been longest without a whole request, if it has had time to send
// one. Those that never brought one for the core go first: in a flood of others, clients would lose the connections
// that they use now and then. The lock is held.
func (s *clientConns) closeLongestIdle(now time.Time) {
	var longest *clientConn
	for c := range s.conns {
		wait := s.limits.Clients.MinIdle
		if c.stage == reading {
			wait = s.limits.Clients.HeaderTimeout / 2
		}
		if c.stage == busy || c.markedClosing || now.Sub(c.stageSince) < wait || longest != nil && !c.evictedBefore(longest) {
			continue
		}
		if c.stage == reading || !c.hasInput.Load() {
			longest = c
		}
	}
	if longest != nil {
		s.markClosing(longest)
		longest.interruptRead()
	}
}

// closeDrained makes room at once: it closes a connection whose client has had its last answer written and may be reading it
// yet. A connection with unread bytes is left, as closing it would reset it and take that answer along. The lock is held.
func (s *clientConns) closeDrained() bool {
	for c := range s.conns {
		if c.stage == ending && !c.hasUnreadInput() {
			s.closeNow(c)
			return true
		}
	}
	return false
}

func (c *clientConn) evictedBefore(other *clientConn) bool {
	if c.sentRequest != other.sentRequest {
		return other.sentRequest
	}
	return c.stageSince.Before(other.stageSince)
}
