package transport

import "sync"

// framing follows a client's request to its end, which it finds in the same bytes that net/http gets: the head as the filter of heads keeps
// it, and the body. net/http drops Content-Length if there is a Transfer-Encoding, and ignores Transfer-Encoding on HTTP/1.0, so a handler
// can't see that a request was framed in two ways. A body that ends elsewhere for another reader may hide a request.
type framing struct {
	mu        sync.Mutex
	fields    framingFields
	headEnded bool
	bodyLeft  int64 // bytes of a body with a length that have not arrived
	chunks    chunkFraming
	bodyRead  bool // the body was read to its end by net/http
}

// readHead parses further bytes of the head.
func (f *framing) readHead(kept []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fields.read(kept)
}

// endHead records that the head has ended: what follows is the body.
func (f *framing) endHead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fields.endField()
	f.headEnded = true
	f.bodyLeft = f.fields.length
}

// consumeBody parses bytes behind the head, and returns how many of them belong to the body: all, if its end can't be determined.
func (f *framing) consumeBody(p []byte) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.fields.areAmbiguous():
		return len(p)
	case f.fields.hasTransferEncoding:
		return f.chunks.consume(p)
	}
	n := min(f.bodyLeft, int64(len(p)))
	f.bodyLeft -= n
	return int(n)
}

// isAmbiguous reports whether the head names two framings, or a length that can't be read.
func (f *framing) isAmbiguous() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.headEnded || f.fields.areAmbiguous()
}

// isInHead reports whether a head has begun and has not ended.
func (f *framing) isInHead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fields.began && !f.headEnded
}

// isInBody reports whether the head has ended.
func (f *framing) isInBody() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headEnded
}

// isComplete reports whether the request has arrived completely, so that later data belongs to another one.
func (f *framing) isComplete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bodyRead || f.endFound()
}

// markBodyRead records that net/http has read the body to its end, which for a body in an unknown form is known only in this way.
func (f *framing) markBodyRead() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodyRead = true
}

// isEndFound reports whether the last byte of the request was consumed. Otherwise net/http may have bytes behind it in its buffer, and the
// connection can't carry another request.
func (f *framing) isEndFound() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endFound()
}

// endFound is isEndFound for a caller that holds the lock.
func (f *framing) endFound() bool {
	switch {
	case !f.headEnded || f.fields.areAmbiguous():
		return false
	case f.fields.hasTransferEncoding:
		return f.chunks.hasEnded()
	}
	return f.bodyLeft == 0
}

// isEndUnknown reports whether the end of the request will not be found.
func (f *framing) isEndUnknown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.headEnded && (f.fields.areAmbiguous() || f.chunks.state == chunksUnknown)
}

// reset clears the state for the next request.
func (f *framing) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fields, f.chunks = framingFields{}, chunkFraming{}
	f.headEnded, f.bodyRead, f.bodyLeft = false, false, 0
}
