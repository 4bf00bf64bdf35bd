package transport

import (
	"otterturn/internal/limits"
	"otterturn/internal/net/headfilter"
)

// requestParser follows one request after another in a client's bytes, and removes the fields of their heads that the front does not use.
// However the bytes are cut, it finds the same ends.
type requestParser struct {
	framing  framing
	head     *headfilter.Filter
	headKept int // bytes of the current head that were kept
}

// newRequestParser returns a parser at the beginning of a request.
func newRequestParser(l limits.RequestLimits) requestParser {
	return requestParser{head: headfilter.New(requestFields, headfilter.Limits{Bytes: l.HeaderBytes + headerSlack, Fields: l.HeaderFields})}
}

// parse appends what is kept of the next bytes of the current request to dst, which is empty, and returns how many of the bytes belong to
// it: all, unless it ends in p. If the filter has no name pending, dst may be p[:0]; bytes behind the request stay as they are.
func (r *requestParser) parse(dst, p []byte) (kept []byte, consumed int, err error) {
	kept = dst
	if !r.framing.isInBody() {
		kept, consumed, err = r.head.Append(dst, p)
		r.framing.readHead(kept)
		if r.headKept += len(kept); err != nil {
			return kept, consumed, err
		}
		if r.head.Ended() {
			r.framing.endHead()
		}
	}
	body := r.framing.consumeBody(p[consumed:])
	return append(kept, p[consumed:consumed+body]...), consumed + body, nil
}

// nextRequest begins the next request.
func (r *requestParser) nextRequest() {
	r.framing.reset()
	r.head.Reset()
	r.headKept = 0
}
