package transport

import (
	"errors"

	"otterturn/internal/limits"
)

// errUnknownEnd says that a request ends at a place that can't be determined.
var errUnknownEnd = errors.New("the end of the request can't be determined")

// surplus follows the requests that a client has sent beyond what the read-ahead keeps. Their bytes are dropped, and each complete one is
// owed a refusal.
type surplus struct {
	parser   requestParser
	partial  bool  // a request has begun and is not complete
	refusals int   // complete requests without an answer
	err      error // why nothing behind the refusals can be read
}

// newSurplus returns a surplus that begins in the middle of what was kept, and how many bytes of that are complete requests. The rest belongs
// to the surplus.
func newSurplus(l limits.RequestLimits, kept []byte) (s *surplus, complete int) {
	s = &surplus{parser: newRequestParser(l)}
	for end := 0; end < len(kept) && s.err == nil; {
		n, ended := s.parse(kept[end:])
		if end += n; ended {
			complete = end
		}
	}
	return s, complete
}

// parse parses bytes up to the end of a request, and reports whether it has ended. Behind an error all bytes are taken.
func (s *surplus) parse(p []byte) (n int, ended bool) {
	if s.err != nil || len(p) == 0 {
		return len(p), false
	}
	s.partial = true
	_, n, s.err = s.parser.parse(nil, p)
	switch {
	case s.err != nil:
		return len(p), false
	case s.parser.framing.isEndUnknown():
		s.err = errUnknownEnd
		return len(p), false
	case !s.parser.framing.isComplete():
		return n, false
	}
	s.parser.nextRequest()
	s.partial = false
	return n, true
}

// drop drops bytes and counts the requests that end in them.
func (s *surplus) drop(p []byte) {
	for len(p) > 0 {
		p = p[s.dropOne(p):]
	}
}

// dropOne drops bytes up to the end of a request, and returns how many.
func (s *surplus) dropOne(p []byte) (n int) {
	n, ended := s.parse(p)
	if ended {
		s.refusals++
	}
	return n
}
