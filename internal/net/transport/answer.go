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

// readResponse reads an answer. A connection that breaks may mean that the node died; an answer that is no good, or stops
// short, means that it lives. A short answer is buffered, as only at its end is it sure that there is one. A long one is passed
// on as it comes: its body is a streamedResponse.
func (s *Nodes) readResponse(ctx context.Context, c *nodes.Conn[*stream], r *http.Request) (resp *http.Response, body []byte, err error) {
	resp, err = s.readHead(ctx, c, r)
	if err != nil {
		return nil, nil, err
	}
	bounds, length := s.limits.Requests, resp.ContentLength
	switch {
	case length > bounds.StreamedBytes || length > bounds.BufferedBytes && resp.StatusCode != http.StatusOK:
		return nil, nil, fmt.Errorf("%w: %w", errMalformedResponse, errBodyTooLong)
	case length > bounds.BufferedBytes:
		resp.Body = newStreamedResponse(resp, c, s.limits, nil)
		return resp, nil, nil
	}
	body, err = s.readBody(ctx, c, resp)
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}

// readHead reads the head of an answer, past the informational ones ahead of it: one of these taken for the answer would have
// the next request answered with this one's.
func (s *Nodes) readHead(ctx context.Context, c *nodes.Conn[*stream], r *http.Request) (*http.Response, error) {
	in := c.Session
	in.limit.N = int64(s.limits.Requests.HeaderBytes)
	for range s.limits.Nodes.ResponseHeads {
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
		if ctx.Err() != nil { // that may have set a deadline before
			return nil, ctx.Err()
		}
		if _, err := in.Peek(1); err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		in.firstByteAt = time.Now()
		if err := c.SetReadDeadline(in.firstByteAt.Add(s.limits.Nodes.HeaderTimeout)); err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
		resp, err := http.ReadResponse(in.Reader, r)
		if err != nil {
			return nil, classifyReadError(ctx, "head", err, in)
		}
		if resp.StatusCode >= http.StatusOK {
			in.limit.N = math.MaxInt64 // the body is bounded by what is buffered, or passed on
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: no end of informational answers", errMalformedResponse)
}

// responsePiece is how many bytes of a body are read at a time.
const responsePiece = 8 << 10

// readBody reads a body to its end. One of a length that was not told, and that is long or slow, becomes a streamedResponse.
func (s *Nodes) readBody(ctx context.Context, c *nodes.Conn[*stream], resp *http.Response) ([]byte, error) {
	in := c.Session
	mayStream := resp.ContentLength < 0 && resp.StatusCode == http.StatusOK
	var buffered bytes.Buffer
	piece := make([]byte, responsePiece)
	for {
		// One that goes on is passed on before its client is late; one that has stopped never comes to an end.
		n, err := readAvailable(ctx, c, resp, piece, time.Now().Add(s.limits.Nodes.BodySilence))
		buffered.Write(piece[:n])
		long := int64(buffered.Len()) > s.limits.Requests.BufferedBytes
		slow := time.Since(in.firstByteAt) > s.limits.Nodes.BufferTimeout
		switch {
		case err == io.EOF:
			return buffered.Bytes(), nil
		case err != nil:
			return nil, classifyReadError(ctx, "body", err, in)
		case mayStream && (long || slow):
			resp.Body = newStreamedResponse(resp, c, s.limits, buffered.Bytes())
			return nil, nil
		case long:
			return nil, fmt.Errorf("%w: %w", errMalformedResponse, errBodyTooLong)
		}
	}
}

// What is kept apart of the bytes that are buffered of a body in chunks.
const (
	reservedForChunkHeads = 64               // may be heads of chunks
	chunkEndBytes         = 2                // end a chunk whose next one has not come
	bufferedReadTimeout   = time.Millisecond // what the kernel has comes at once
)

// readAvailable reads what has come of a body, waiting until something has. The reader of chunks would wait until it has filled p,
// and hold back what a node gave of a chunk: two bytes are held back at most.
func readAvailable(ctx context.Context, c *nodes.Conn[*stream], resp *http.Response, p []byte, until time.Time) (n int, err error) {
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
	if in.Buffered() <= reservedForChunkHeads {
		c.SetReadDeadline(time.Now().Add(bufferedReadTimeout))
		in.Peek(in.Buffered() + 1)
		if err := wait(); err != nil {
			return 0, err
		}
	}
	if most := in.Buffered() - reservedForChunkHeads; most > 0 {
		return resp.Body.Read(p[:min(len(p), most)])
	}
	for err == nil && n < len(p) && (n == 0 || in.Buffered() > chunkEndBytes) {
		var one int
		one, err = resp.Body.Read(p[n : n+1])
		n += one
	}
	return n, err
}

// streamedResponse is the body of an answer that is passed on while it comes. Nothing of it is held but what the kernel
// takes and one copy buffer: a client that reads slowly slows its node down, and nobody else. It reads from the node
// for as long as that gives something.
type streamedResponse struct {
	buffered   []byte         // what had been read already
	source     *http.Response // as it was read
	conn       *nodes.Conn[*stream]
	limits     limits.Limits
	bytesLeft  int64 // bytes that it may have yet
	closeAfter bool  // the node ends the connection behind it
	complete   bool
	release    func(clean bool)
	onClose    func()
}

func newStreamedResponse(resp *http.Response, c *nodes.Conn[*stream], l limits.Limits, head []byte) *streamedResponse {
	from := *resp
	return &streamedResponse{buffered: head, source: &from, conn: c, limits: l, bytesLeft: l.Requests.StreamedBytes, closeAfter: resp.Close, onClose: func() {}}
}

func (a *streamedResponse) Read(p []byte) (n int, err error) {
	if len(a.buffered) > 0 {
		n = copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		return n, nil
	}
	n, err = readAvailable(context.Background(), a.conn, a.source, p, time.Now().Add(a.limits.Nodes.StreamSilence))
	if a.bytesLeft -= int64(n); a.bytesLeft < 0 {
		return 0, errBodyTooLong
	}
	a.complete = err == io.EOF
	return n, err
}

// Close gives the connection back, to be kept where the answer was read to its end and nothing came behind.
func (a *streamedResponse) Close() error {
	if a.release != nil {
		a.release(a.complete && !a.closeAfter && a.conn.Session.Buffered() == 0)
		a.release = nil
		a.onClose()
	}
	return nil
}

// classifyReadError tells an answer that is no good from a connection that broke within it, and from the end of the wait.
func classifyReadError(ctx context.Context, part string, err error, in *stream) error {
	broke := in.source.readErr != nil && !errors.Is(in.source.readErr, os.ErrDeadlineExceeded)
	if broke || ctx.Err() != nil {
		return fmt.Errorf("read %s: %w", part, err)
	}
	return fmt.Errorf("%w: %s: %w", errMalformedResponse, part, err)
}
