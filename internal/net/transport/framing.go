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
	mu               sync.Mutex
	line             []byte // the beginning of the line that comes
	began, over      bool
	length, transfer bool
	rest             int64 // bytes of the body still to come
	ahead            bool  // more came than the request: the next head may have begun unseen
}

const (
	lengthName   = "content-length:"
	transferName = "transfer-encoding:"
	longestLine  = 64 // of which names and lengths are read
)

func (h *framing) take(p []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, b := range p {
		switch {
		case h.over:
			h.rest -= int64(len(p) - i)
			h.ahead = h.ahead || h.rest < 0 && !h.transfer // chunks tell their end themselves, and end the connection
			return
		case b != '\n':
			if len(h.line) < longestLine {
				h.line = append(h.line, b)
			}
			continue
		}
		line := strings.ToLower(strings.TrimRight(string(h.line), "\r"))
		if value, ok := strings.CutPrefix(line, lengthName); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			h.length, h.rest, h.ahead = true, n, h.ahead || err != nil
		}
		h.transfer = h.transfer || strings.HasPrefix(line, transferName)
		h.over = h.began && line == "" // empty lines ahead of a request are passed over
		h.began, h.line = h.began || line != "", h.line[:0]
	}
}

// clashes tells whether the head names two framings, or may do so unseen.
func (h *framing) clashes() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.over || h.ahead || h.length && h.transfer
}

// next forgets a head whose request is over, and tells whether more has come, which may be the next one's.
func (h *framing) next() (ahead bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ahead = h.ahead
	h.line, h.began, h.over, h.length, h.transfer, h.rest = h.line[:0], false, false, false, false, 0
	return ahead
}
