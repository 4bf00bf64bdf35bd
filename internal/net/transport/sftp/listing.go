package sftp

import (
	"os"
	"sync/atomic"
)

// entryBytes is the memory of a listing's entry without its name, in bytes: the attributes, their description and both pointers.
const entryBytes = 256

// listingMemory bounds the memory of the listings that all clients have open. A listing is kept from its Opendir to its Close, and a
// client may have hundreds of them open.
type listingMemory struct {
	max  int64 // bytes
	used atomic.Int64
}

// reserve reserves memory for a listing, and reports whether there was room for it.
func (m *listingMemory) reserve(size int64) bool {
	if m.used.Add(size) <= m.max {
		return true
	}
	m.used.Add(-size)
	return false
}

// release frees reserved memory.
func (m *listingMemory) release(size int64) { m.used.Add(-size) }

// sizeOfListing estimates the memory of a listing in bytes.
func sizeOfListing(infos []os.FileInfo) (size int64) {
	for _, info := range infos {
		size += entryBytes + int64(len(info.Name()))
	}
	return size
}

// releaseListings frees the memory of the listings that a client has left open.
func (c *clientConn) releaseListings() {
	for _, h := range c.handles {
		if listing, ok := h.(*folder); ok {
			c.front.listings.release(listing.memory)
		}
	}
}
