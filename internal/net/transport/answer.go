package transport

import (
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
	"otterturn/internal/memory"
	"otterturn/internal/net/transport/nodes"
)

// readResponse reads an answer. A broken connection may mean that the node has died; a malformed or truncated answer means
// that the node is alive. A short answer is buffered, because only its last byte shows that it is complete. A long one is
// passed on as it arrives, if the request allows it: its body is a streamedResponse.
func (s *Nodes) readResponse(ctx context.Context, c *nodes.Conn[*stream], r outboundRequest, held *memory.Reservation) (
	resp *http.Response, body []byte, err error,
) {
	resp, err = s.readHead(ctx, c, r.Request)
	if err != nil {
		return nil, nil, err
	}
	bounds, length := s.limits.Requests, resp.ContentLength
	mayStream := r.mayStream && resp.StatusCode == http.StatusOK
	switch {
	case length > bounds.StreamedBytes || length > bounds.BufferedBytes && !mayStream:
		return nil, nil, fmt.Errorf("%w: %w", errMalformedResponse, errBodyTooLong)
	case length > bounds.BufferedBytes, mayStream && length > s.limits.Memory.Free && !held.Grow(length):
		resp.Body = newStreamedResponse(resp, c, s.limits, nil)
		return resp, nil, nil
	}
	answer := bufferingBody{response: resp, memory: held, free: s.limits.Memory.Free, discard: resp.StatusCode != http.StatusOK}
	err = s.readBody(ctx, c, &answer, mayStream && length < 0)
	if err != nil {
		return nil, nil, err
	}
	return resp, answer.content, nil
}

// readHead reads the head of an answer and skips the informational (1xx) answers before it. If one of those were taken for
// the answer, the next request on the connection would receive this request's answer.
func (s *Nodes) readHead(ctx context.Context, c *nodes.Conn[*stream], r *http.Request) (*http.Response, error) {
	session := c.Session
	session.limit.N = int64(s.limits.Requests.HeaderBytes)
	session.heads.NextMessage()
	for range s.limits.Nodes.ResponseHeads {
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
		if ctx.Err() != nil { // the end of ctx may have set a deadline that the call above replaced
			return nil, ctx.Err()
		}
		if _, err := session.Peek(1); err != nil {
			return nil, fmt.Errorf("read head: %w", err)
		}
		session.firstByteAt = time.Now()
		if err := c.SetReadDeadline(session.firstByteAt.Add(s.limits.Nodes.HeaderTimeout)); err != nil {
			return nil, fmt.Errorf("read: %w", err)
		}
		resp, err := http.ReadResponse(session.Reader, r)
		if err != nil {
			return nil, classifyReadError(ctx, "head", err, session)
		}
		if resp.StatusCode >= http.StatusOK {
			session.limit.N = math.MaxInt64 // the size of the body is limited where it is buffered or streamed
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: too many informational answers", errMalformedResponse)
}

// bodyReadBytes is the number of bytes of a body that are read at a time.
const bodyReadBytes = 8 << 10

// readBody reads a body to its end. If mayStream, a body that is long or slow, or for which there is no memory, becomes a
// streamedResponse.
func (s *Nodes) readBody(ctx context.Context, c *nodes.Conn[*stream], body *bufferingBody, mayStream bool) error {
	session, resp := c.Session, body.response
	part := make([]byte, bodyReadBytes)
	for {
		// A body that keeps arriving is passed on before its client's time is over; a body that has stopped arriving fails.
		n, err := readAvailable(ctx, c, resp, part, time.Now().Add(s.limits.Nodes.BodySilence))
		added := body.add(part[:n])
		long := body.length > s.limits.Requests.BufferedBytes
		slow := time.Since(session.firstByteAt) > s.limits.Nodes.BufferTimeout
		switch {
		case err == io.EOF && added:
			return nil
		case err != nil && err != io.EOF:
			return classifyReadError(ctx, "body", err, session)
		case mayStream && !added:
			resp.Body = newStreamedResponse(resp, c, s.limits, append(body.content, part[:n]...))
			return nil
		case !added:
			return fmt.Errorf("%w: %w", errMalformedResponse, errNoMemory)
		case mayStream && (long || slow):
			resp.Body = newStreamedResponse(resp, c, s.limits, body.content)
			return nil
		case long:
			return fmt.Errorf("%w: %w", errMalformedResponse, errBodyTooLong)
		}
	}
}

// Parameters for reading the available bytes of a chunked body.
const (
	chunkHeaderReserve  = 64               // buffered bytes that are not read at once, as they may be chunk headers
	chunkEndBytes       = 2                // the CRLF after a chunk, while the next chunk has not arrived
	bufferedReadTimeout = time.Millisecond // data in the kernel's buffer is returned at once
)

// readAvailable reads the available bytes of a body and waits until there are any. The reader of a chunked body would wait
// until p is full and delay bytes that the node has already sent; this function delays at most two bytes.
func readAvailable(ctx context.Context, c *nodes.Conn[*stream], resp *http.Response, p []byte, deadline time.Time) (n int, err error) {
	session := c.Session
	setDeadline := func() error {
		return cmp.Or(c.SetReadDeadline(deadline), ctx.Err()) // the end of ctx may have set a deadline that this call replaced
	}
	if err := setDeadline(); err != nil {
		return 0, err
	}
	if len(resp.TransferEncoding) == 0 {
		return resp.Body.Read(p)
	}
	if _, err := session.Peek(1); err != nil {
		return resp.Body.Read(p[:1]) // its error says whether the body has ended
	}
	if session.Buffered() <= chunkHeaderReserve {
		c.SetReadDeadline(time.Now().Add(bufferedReadTimeout))
		session.Peek(session.Buffered() + 1)
		if err := setDeadline(); err != nil {
			return 0, err
		}
	}
	if maxRead := session.Buffered() - chunkHeaderReserve; maxRead > 0 {
		return resp.Body.Read(p[:min(len(p), maxRead)])
	}
	for err == nil && n < len(p) && (n == 0 || session.Buffered() > chunkEndBytes) {
		var count int
		count, err = resp.Body.Read(p[n : n+1])
		n += count
	}
	return n, err
}

// streamedResponse is the body of an answer that is passed on while it arrives. Apart from the kernel's buffers it holds one
// copy buffer, so a client that reads slowly slows down its own node connection and nothing else. It reads from the node as
// long as data keeps arriving.
type streamedResponse struct {
	buffered   []byte         // bytes that were already read
	source     *http.Response // the response as read from the node
	conn       *nodes.Conn[*stream]
	limits     limits.Limits
	bytesLeft  int64 // bytes that the body may still have
	closeAfter bool  // the node closes the connection after the answer
	complete   bool
	release    func(reusable bool)
	onClose    func()
}

func newStreamedResponse(resp *http.Response, c *nodes.Conn[*stream], l limits.Limits, received []byte) *streamedResponse {
	original := *resp
	return &streamedResponse{
		buffered: received, source: &original, conn: c, limits: l, bytesLeft: l.Requests.StreamedBytes, closeAfter: resp.Close,
		onClose: func() {},
	}
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

// Close releases the connection. It is kept only if the answer was read to its end and no byte followed it.
func (a *streamedResponse) Close() error {
	if a.release != nil {
		a.release(a.complete && !a.closeAfter && a.conn.Session.Buffered() == 0)
		a.release = nil
		a.onClose()
	}
	return nil
}

// classifyReadError returns errMalformedResponse for an answer that is malformed or has stopped arriving, and the read error
// if the connection broke or ctx ended.
func classifyReadError(ctx context.Context, part string, err error, session *stream) error {
	connectionBroke := session.source.readErr != nil && !errors.Is(session.source.readErr, os.ErrDeadlineExceeded)
	if connectionBroke || ctx.Err() != nil {
		return fmt.Errorf("read %s: %w", part, err)
	}
	return fmt.Errorf("%w: %s: %w", errMalformedResponse, part, err)
}
