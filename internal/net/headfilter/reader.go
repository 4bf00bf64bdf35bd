package headfilter

import (
	"io"
	"net"
)

// Reader filters the head of each message that its source returns. After a head it returns everything unchanged until NextMessage.
// Informational answers (1xx) count as heads before the message.
type Reader struct {
	source  io.Reader
	filter  *Filter
	inBody  bool
	start   []byte // beginning of the start line
	surplus []byte // kept bytes for which the last read had no room
}

// NewReader returns a reader that begins with a head.
func NewReader(source io.Reader, used *Fields, limits Limits) *Reader {
	return &Reader{source: source, filter: New(used, limits), start: make([]byte, 0, len(informational))}
}

// NextMessage makes the following bytes count as the head of the next message.
func (r *Reader) NextMessage() {
	r.filter.Reset()
	r.start = r.start[:0]
	r.inBody = false
}

// Read returns the kept bytes of a head, or the bytes after it. Errors of the head are those of Filter.
func (r *Reader) Read(p []byte) (int, error) {
	for {
		if len(r.surplus) > 0 {
			n := copy(p, r.surplus)
			r.surplus = r.surplus[n:]
			return n, nil
		}
		n, err := r.source.Read(p)
		if r.inBody || n == 0 {
			return n, err
		}
		kept, headErr := r.keep(p, p[:n])
		if headErr != nil {
			return kept, headErr
		}
		if kept > 0 || err != nil {
			return kept, err
		}
	}
}

// keep moves what is kept of the input, which stands at the beginning of p, to the beginning of p.
func (r *Reader) keep(p, input []byte) (n int, err error) {
	out := p[:0]
	if r.filter.Pending() > 0 { // more may be kept than has arrived now
		out = nil
	}
	for len(input) > 0 && !r.inBody && err == nil {
		r.start = append(r.start, input[:min(len(input), cap(r.start)-len(r.start))]...)
		var consumed int
		out, consumed, err = r.filter.Append(out, input)
		input = input[consumed:]
		if !r.filter.Ended() {
			continue
		}
		informationalEnded := isInformational(r.start)
		r.NextMessage()
		r.inBody = !informationalEnded
	}
	if err != nil {
		return 0, err
	}
	out = append(out, input...)
	n = copy(p, out)
	r.surplus = append(r.surplus, out[n:]...)
	return n, nil
}

// informational is the beginning of the status line of an informational answer, with any digit as the version's last.
const informational = "HTTP/1.x 1"

func isInformational(start []byte) bool {
	return len(start) == len(informational) && string(start[:5]) == informational[:5] && start[9] == '1'
}

// Listener filters the first head on each connection that it accepts.
type Listener struct {
	net.Listener
	Used   *Fields
	Limits Limits
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, in: NewReader(c, l.Used, l.Limits)}, nil
}

// conn is a connection of a Listener.
type conn struct {
	net.Conn
	in *Reader
}

func (c *conn) Read(p []byte) (int, error) { return c.in.Read(p) }
