package transport

import (
	"strconv"
	"strings"
	"sync"
)

// framing looks at a request's head as it came. net/http drops Content-Length where Transfer-Encoding stands beside
// it, and ignores the latter on HTTP/1.0, so a handler can't see that a request was framed in two ways: a body
// that ends elsewhere for another reader may hide a request.
type framing struct {
	mu                             sync.Mutex
	line                           []byte // the beginning of the line that comes
	began, headEnded               bool
	hasLength, hasTransferEncoding bool
	bodyLeft                       int64 // bytes of the body still to come
	unknownLength                  bool  // its length can't be told here
	bodyRead                       bool  // its body was read to its end
}

const (
	lengthName   = "content-length:"
	transferName = "transfer-encoding:"
	maxLineBytes = 64 // of which names and lengths are read
)

// consume looks at what came, and tells how much of it is this request's. Chunks tell their end themselves: of a body in
// chunks all is.
func (h *framing) consume(p []byte) (own int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, b := range p {
		switch {
		case h.headEnded && (h.hasTransferEncoding || h.unknownLength):
			return len(p)
		case h.headEnded:
			body := min(h.bodyLeft, int64(len(p)-i))
			h.bodyLeft -= body
			return i + int(body)
		case b != '\n':
			if len(h.line) < maxLineBytes {
				h.line = append(h.line, b)
			}
			continue
		}
		line := strings.ToLower(strings.TrimRight(string(h.line), "\r"))
		if value, ok := strings.CutPrefix(line, lengthName); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			h.hasLength, h.bodyLeft, h.unknownLength = true, n, h.unknownLength || err != nil || n < 0
		}
		h.hasTransferEncoding = h.hasTransferEncoding || strings.HasPrefix(line, transferName)
		h.headEnded = h.began && line == "" // empty lines ahead of a request are passed over
		h.began, h.line = h.began || line != "", h.line[:0]
	}
	return len(p)
}

// isAmbiguous tells whether the head names two framings, or may do so unseen.
func (h *framing) isAmbiguous() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.headEnded || h.unknownLength || h.hasLength && h.hasTransferEncoding
}

// inHead tells that a head has begun and has not ended.
func (h *framing) inHead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.headEnded && (h.began || len(h.line) > 0)
}

// complete tells that a request has come whole: what comes now is not its own.
func (h *framing) complete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bodyRead || h.headEnded && !h.hasTransferEncoding && !h.unknownLength && h.bodyLeft <= 0
}

// endBody notes that a request's body was read to its end, which a body in chunks tells alone.
func (h *framing) endBody() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodyRead = true
}

// reset forgets a request that is over.
func (h *framing) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line, h.began, h.headEnded, h.hasLength, h.hasTransferEncoding, h.bodyLeft = h.line[:0], false, false, false, false, 0
	h.unknownLength, h.bodyRead = false, false
}
