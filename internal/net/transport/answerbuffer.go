package transport

import (
	"bytes"
	"errors"
	"net/http"

	"otterturn/internal/memory"
)

// errNoMemory says that the memory for bodies is used up.
var errNoMemory = errors.New("no memory for the body")

// bufferingBody is the body of an answer that is being buffered.
type bufferingBody struct {
	response *http.Response
	content  []byte
	length   int64 // bytes that have arrived
	memory   *memory.Reservation
	free     int64 // bytes that need no reservation
	discard  bool  // only the end of the body matters
}

// add buffers a part, and reports whether there was memory for it.
func (b *bufferingBody) add(part []byte) bool {
	b.length += int64(len(part))
	if b.discard {
		return true
	}
	if needed := len(b.content) + len(part); needed > cap(b.content) {
		size := int64(max(needed, 2*cap(b.content), int(b.response.ContentLength)))
		if size > b.free && !b.memory.Grow(size-b.memory.Bytes()) {
			return false
		}
		b.content = append(make([]byte, 0, size), b.content...)
	}
	b.content = append(b.content, part...)
	return true
}

// bufferedAnswer is the body of a buffered answer.
type bufferedAnswer struct {
	*bytes.Reader
	memory *memory.Reservation
}

// Close frees the memory of the answer.
func (a *bufferedAnswer) Close() error {
	a.memory.Release()
	return nil
}
