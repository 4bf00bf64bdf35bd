package sftp

import (
	"context"
	"os"

	"otterturn/internal/memory"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/routing"
)

// entryBytes is the memory of a listing's entry without its name, in bytes: the attributes, their description and both pointers.
const entryBytes = 256

// sizeOfListing estimates the memory of a listing in bytes.
func sizeOfListing(infos []os.FileInfo) (size int64) {
	for _, info := range infos {
		size += entryBytes + int64(len(info.Name()))
	}
	return size
}

// listingFactor is the memory of a listing while it is fetched, as a multiple of its bytes on the wire.
const listingFactor = 4

// fetchListing lists a folder, and returns a handle on the listing with the memory that it takes. The memory for the longest answer is
// reserved before.
func (c *clientConn) fetchListing(name string) (*folder, error) {
	bounds := c.front.limits.Files
	answer := c.front.memory.NewReservation()
	defer answer.Release()
	waitCtx, cancel := context.WithTimeout(c.ctx, bounds.MemoryWait)
	defer cancel()
	if err := answer.GrowWait(waitCtx, listingFactor*bounds.ResponseBytes, nil); err != nil {
		return nil, &routing.RejectedError{RetryAfter: c.front.site.RetryAfter}
	}
	infos, err := c.inspect(files.List, name)
	if err != nil {
		return nil, err
	}
	held := c.front.handles.NewReservation()
	if !held.Grow(handleBytes + int64(len(name)) + sizeOfListing(infos)) {
		return nil, &routing.RejectedError{RetryAfter: c.front.site.RetryAfter}
	}
	return &folder{path: name, infos: infos, memory: held}, nil
}

// handleBytes is the memory of a handle without its path, in bytes.
const handleBytes = 512

// reserveHandle reserves the memory of a handle on a file.
func (c *clientConn) reserveHandle(path string) (*memory.Reservation, error) {
	held := c.front.handles.NewReservation()
	if !held.Grow(handleBytes + int64(len(path))) {
		return nil, &routing.RejectedError{RetryAfter: c.front.site.RetryAfter}
	}
	return held, nil
}

// releaseHandles frees the memory of the handles that a client has left open.
func (c *clientConn) releaseHandles() {
	for _, h := range c.handles {
		h.release()
	}
}
