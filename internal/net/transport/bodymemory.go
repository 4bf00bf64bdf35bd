package transport

import (
	"context"
	"time"
)

// uploadBytes is the memory of a long request that is sent to its node as it arrives, beside the buffer of its beginning: the bytes that are
// sent next.
const uploadBytes = bufferBytes + 4<<10

// reserveBody waits until the body of a request may take the given number of bytes. While there is no memory, the incomplete request
// that has gone longest without data is closed, if it holds any. It fails with errNoMemory, at once if the connection's slot is needed.
func (s *clientConns) reserveBody(ctx context.Context, c *clientConn, size int64) error {
	if size <= s.limits.Memory.Free {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, s.limits.Clients.MemoryWait)
	defer cancel()
	makeRoom := func() {
		if s.closeHolder(); s.isMarkedClosing(c) {
			cancel()
		}
	}
	if c.requestMemory.GrowWait(waitCtx, size-c.bodyReserved, makeRoom) != nil {
		return errNoMemory
	}
	c.bodyReserved = size
	return nil
}

// closeHolder closes the incomplete request that has gone longest without data among those that hold memory.
func (s *clientConns) closeHolder() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.closeFirst(EvictedForMemory, func(c *clientConn) bool {
		return c.stage == stageReading && c.requestMemory.Bytes() > 0 && now.Sub(c.stageSince) >= s.limits.Clients.MinStall
	})
}

func (s *clientConns) isMarkedClosing(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.markedClosing
}

// releaseRequest frees the memory of a request that was answered, once its attempts have ended.
func (c *clientConn) releaseRequest() {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	c.requestMemory.Release()
	c.requestMemory, c.bodyReserved = c.clients.memory.NewReservation(), 0
}
