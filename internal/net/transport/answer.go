package transport

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/transport/nodes"
)

// read reads an answer, past the informational ones ahead of it: one of these taken for the answer would
// have the next request answered with this one's. A connection that breaks may mean that the node died; an answer
// that is no good, or stops short, means that it lives. A short answer is read whole, as only then is it sure that there
// is one. A long one is passed on as it comes: its body is a longAnswer.
func (s *Nodes) read(ctx context.Context, c *nodes.Conn[*stream], r *http.Request) (resp *http.Response, body []byte, err error) {
	in, informational := c.Session, 0
	in.limit.N = int64(s.limits.Requests.HeaderBytes)
	for resp == nil || resp.StatusCode < http.StatusOK {
		if informational++; informational > s.limits.Nodes.ResponseHeads {
			return nil, nil, fmt.Errorf("%w: no end of informational answers", errSpoilt)
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, nil, fmt.Errorf("read: %w", err)
		}
		if ctx.Err() != nil { // that may have set a deadline before
			return nil, nil, ctx.Err()
		}
		if _, err := in.Peek(1); err != nil {
			return nil, nil, fmt.Errorf("read head: %w", err)
		}
		in.first = time.Now()
		if err := c.SetReadDeadline(in.first.Add(s.limits.Nodes.HeaderTimeout)); err != nil {
			return nil, nil, fmt.Errorf("read: %w", err)
		}
		if resp, err = http.ReadResponse(in.Reader, r); err != nil {
			return nil, nil, spoilt(ctx, "head", err, in)
		}
	}
	in.limit.N = math.MaxInt64 // the body is bounded by what is held, or passed on
	switch {
	case resp.ContentLength > s.limits.Requests.StreamedBytes || resp.ContentLength > s.limits.Requests.BufferedBytes && resp.StatusCode != http.StatusOK:
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, errTooLong)
	case resp.ContentLength > s.limits.Requests.BufferedBytes:
		resp.Body = newLong(resp, c, s.limits, nil)
		return resp, nil, nil
	}
	var held bytes.Buffer
	piece := make([]byte, 8<<10)
	for rest := resp.ContentLength < 0; ; {
		// One that goes on is passed on before its client is late; one that has stopped never comes to an end.
		n, err := some(ctx, c, resp, piece, time.Now().Add(s.limits.Nodes.BodySilence))
		held.Write(piece[:n])
		switch {
		case err == io.EOF:
			return resp, held.Bytes(), nil
		case err != nil:
			return nil, nil, spoilt(ctx, "body", err, in)
		case rest && resp.StatusCode == http.StatusOK && (int64(held.Len()) > s.limits.Requests.BufferedBytes || time.Since(in.first) > s.limits.Nodes.BufferTimeout):
			resp.Body = newLong(resp, c, s.limits, held.Bytes())
			return resp, nil, nil
		case int64(held.Len()) > s.limits.Requests.BufferedBytes:
			return nil, nil, fmt.Errorf("%w: %w", errSpoilt, errTooLong)
		}
	}
}

// What is kept apart of the bytes that are buffered of a body in chunks.
const (
	chunkHeads = 64               // may be heads of chunks
	chunkEnd   = 2                // end a chunk whose next one has not come
	soon       = time.Millisecond // what the kernel has comes at once
)

// some reads what has come of a body, waiting until something has. The reader of chunks would wait until it has filled p,
// and hold back what a node gave of a chunk: two bytes are held back at most.
func some(ctx context.Context, c *nodes.Conn[*stream], resp *http.Response, p []byte, until time.Time) (n int, err error) {
	in := c.Session
	wait := func() error {
		return cmp.Or(c.SetReadDeadline(until), ctx.Err()) // that may have set a deadline before
	}
	if err := wait(); err != nil {
		return 0, err
	}
	if len(resp.TransferEncoding) == 0 {
		return resp.Body.Read(p)
	}
	if _, err := in.Peek(1); err != nil {
		return resp.Body.Read(p[:1]) // which tells whether that was the end
	}
	if in.Buffered() <= chunkHeads {
		c.SetReadDeadline(time.Now().Add(soon))
		in.Peek(in.Buffered() + 1)
		if err := wait(); err != nil {
			return 0, err
		}
	}
	if most := in.Buffered() - chunkHeads; most > 0 {
		return resp.Body.Read(p[:min(len(p), most)])
	}
	for err == nil && n < len(p) && (n == 0 || in.Buffered() > chunkEnd) {
		var one int
		one, err = resp.Body.Read(p[n : n+1])
		n += one
	}
	return n, err
}

// longAnswer is the body of an answer that is passed on while it comes. Nothing of it is held but what the kernel
// takes and one copy buffer: a client that reads slowly slows its node down, and nobody else. It reads from the node
// for as long as that gives something.
type longAnswer struct {
	head    []byte         // what had been read already
	from    *http.Response // as it was read
	conn    *nodes.Conn[*stream]
	limits  limits.Limits
	left    int64 // bytes that it may have yet
	close   bool  // the node ends the connection behind it
	whole   bool
	release func(clean bool)
	ended   func()
}

func newLong(resp *http.Response, c *nodes.Conn[*stream], l limits.Limits, head []byte) *longAnswer {
	from := *resp
	return &longAnswer{head: head, from: &from, conn: c, limits: l, left: l.Requests.StreamedBytes, close: resp.Close, ended: func() {}}
}

func (a *longAnswer) Read(p []byte) (n int, err error) {
	if len(a.head) > 0 {
		n = copy(p, a.head)
		a.head = a.head[n:]
		return n, nil
	}
	n, err = some(context.Background(), a.conn, a.from, p, time.Now().Add(a.limits.Nodes.StreamSilence))
	if a.left -= int64(n); a.left < 0 {
		return 0, errTooLong
	}
	a.whole = err == io.EOF
	return n, err
}

// Close gives the connection back, to be kept where the answer was read to its end and nothing came behind.
func (a *longAnswer) Close() error {
	if a.release != nil {
		a.release(a.whole && !a.close && a.conn.Session.Buffered() == 0)
		a.release = nil
		a.ended()
	}
	return nil
}

// spoilt tells an answer that is no good from a connection that broke within it, and from the end of the wait.
func spoilt(ctx context.Context, part string, err error, in *stream) error {
	broke := in.from.ended != nil && !errors.Is(in.from.ended, os.ErrDeadlineExceeded)
	if broke || ctx.Err() != nil {
		return fmt.Errorf("read %s: %w", part, err)
	}
	return fmt.Errorf("%w: %s: %w", errSpoilt, part, err)
}
