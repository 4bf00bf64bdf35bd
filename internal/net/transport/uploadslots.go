package transport

import (
	"context"
	"time"
)

// reserveUpload waits until a long request may be sent to its node as it arrives. Each such request holds a connection to a node, so only a
// part of these connections may be used for them. If all of that part is in use, the request that has gone longest without data is closed.
// It fails when ctx ends.
func (s *clientConns) reserveUpload(ctx context.Context, c *clientConn) error {
	retry := time.NewTicker(s.limits.Clients.MinIdle)
	defer retry.Stop()
	for !s.tryReserveUpload(c) {
		select {
		case <-retry.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *clientConns) tryReserveUpload(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.uploads < s.limits.Nodes.Uploads {
		s.uploads++
		c.uploading = true
		return true
	}
	now := time.Now()
	s.closeFirst(EvictedForUpload, func(other *clientConn) bool {
		return other.uploading && other.stage == stageReading && now.Sub(other.stageSince) >= s.limits.Clients.MinStall
	})
	return false
}

// releaseUpload ends a reservation.
func (s *clientConns) releaseUpload(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.uploading {
		c.uploading = false
		s.uploads--
	}
}
