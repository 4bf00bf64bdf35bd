package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/net/protocol"
)

// errUploadFailed says that the part of a long request before its end could not be sent to a node, so the request never ran.
var errUploadFailed = errors.New("request could not be sent to a node")

// readRequest reads a request, or returns the status with which to reject it. A short body is buffered, so the request may
// be retried. A long body is sent to its node as it arrives, except for its end.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request, settings protocol.Settings) (
	inbound inboundRequest, status int, err error,
) {
	conn := connOf(r.Context())
	if status, err := checkFraming(w, r, conn); err != nil {
		return inbound, status, err
	}
	inbound.Request, err = protocol.ParseRequest(r, settings)
	switch {
	case errors.Is(err, protocol.ErrUnknownPath):
		return inbound, http.StatusNotFound, err
	case err != nil:
		return inbound, http.StatusBadRequest, err
	case r.ContentLength > f.limits.Requests.StreamedBytes:
		return inbound, http.StatusRequestEntityTooLarge, errBodyTooLong
	case r.ContentLength == 0:
		return inbound, 0, nil
	}
	control := http.NewResponseController(w)
	bodyTimes := newBodyArrival(r.ContentLength < 0)
	readNext := f.bodyReader(r, conn, control, &bodyTimes)
	err = f.readBody(r, conn, &inbound, readNext)
	switch {
	case err == io.EOF || err == nil:
		conn.framing.markBodyRead()
		r.Trailer = nil // unused, and its parsed form would be kept until the answer
		conn.readDelay = max(conn.readDelay, bodyTimes.lastByteWait(conn.raw))
	case errors.Is(err, errUploadFailed):
		return inbound, 0, err
	case f.guard.Permits(lifecycle.EndIncomplete): // the read was interrupted to close the connection
		return inbound, 0, errUploadFailed
	case errors.Is(err, errBodyTooLong):
		return inbound, http.StatusRequestEntityTooLarge, errBodyTooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return inbound, http.StatusRequestTimeout, errors.New("the body did not come in time")
	default:
		return inbound, http.StatusBadRequest, errors.New("the body did not come whole")
	}
	// net/http notices that a client has left only after the body was read, and only without a read deadline.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return inbound, http.StatusInternalServerError, err
	}
	return inbound, 0, nil
}

// readBody reads a body to its end, which it reports as io.EOF or nil.
func (f *Front) readBody(r *http.Request, conn *clientConn, inbound *inboundRequest, readNext func(p []byte) (int, error)) (err error) {
	inbound.Body, err = f.bufferBody(r, conn, readNext)
	if err == nil { // the body is longer than what is buffered
		err = f.streamBody(r, inbound, readNext)
	}
	if errors.Is(err, errNoMemory) {
		err = f.discardBody(readNext, err)
	}
	return err
}

// checkFraming rejects a request whose body may end in two places. The connection closes after a request of HTTP/1.0.
func checkFraming(w http.ResponseWriter, r *http.Request, conn *clientConn) (status int, err error) {
	if conn.framing.isAmbiguous() {
		return http.StatusBadRequest, errors.New("the request may be framed in two ways")
	}
	if !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
	return 0, nil
}

// bodyReader returns a function that reads the next part of a body, within the limits on its length and on the time without
// data.
func (f *Front) bodyReader(r *http.Request, conn *clientConn, control *http.ResponseController,
	bodyTimes *bodyArrival,
) func(p []byte) (int, error) {
	bytesLeft := f.limits.Requests.StreamedBytes
	return func(p []byte) (int, error) {
		if err := control.SetReadDeadline(time.Now().Add(f.limits.Clients.BodySilence)); err != nil {
			return 0, err
		}
		startedAt := time.Now()
		n, err := r.Body.Read(p)
		bodyTimes.recordRead(startedAt, n, len(p))
		f.clients.requestProgressed(conn, n)
		bytesLeft -= int64(n)
		if bytesLeft < 0 {
			return n, errBodyTooLong
		}
		return n, err
	}
}

// bufferBody reads a body to its end, which it reports as io.EOF, or until it is one byte longer than what is buffered. It reserves the
// memory for it first.
func (f *Front) bufferBody(r *http.Request, conn *clientConn, readNext func(p []byte) (int, error)) (body []byte, err error) {
	const firstBuffer = 512
	maxBytes := f.limits.Requests.BufferedBytes + 1
	size := min(max(r.ContentLength, firstBuffer), maxBytes-1) + 1
	if err := f.clients.reserveBody(r.Context(), conn, size); err != nil {
		return nil, err
	}
	buffer := make([]byte, size)
	n := 0
	for err == nil && n < len(buffer) {
		var count int
		count, err = readNext(buffer[n:])
		n += count
		if n == len(buffer) && int64(n) < maxBytes { // the length is unknown
			more := min(int64(n), maxBytes-int64(n))
			if err := f.clients.reserveBody(r.Context(), conn, int64(n)+more); err != nil {
				return nil, err
			}
			buffer = append(buffer, make([]byte, more)...)
		}
	}
	return buffer[:n], err
}

// streamBody sends a long request to its node as it arrives. If no node can take it, the rest of the body is read and
// discarded.
func (f *Front) streamBody(r *http.Request, inbound *inboundRequest, next func(p []byte) (int, error)) error {
	waitCtx, cancel := context.WithTimeout(r.Context(), f.limits.Clients.UploadWait)
	defer cancel()
	conn := connOf(r.Context())
	err := f.clients.reserveUpload(waitCtx, conn)
	if err == nil {
		defer f.clients.releaseUpload(conn)
		if !conn.requestMemory.Grow(uploadBytes) {
			return errNoMemory
		}
		err = f.next.upload(r, inbound, next)
	}
	if client := (clientError{}); err != nil && !errors.As(err, &client) {
		return f.discardBody(next, err)
	}
	return err
}

// discardBody reads the rest of a body that no node can take: an answer sent before the end of the body would be lost with
// the connection.
func (f *Front) discardBody(readNext func([]byte) (int, error), cause error) error {
	buffer := f.clients.buffers.Get()
	defer f.clients.buffers.Put(buffer)
	for {
		if _, err := readNext(buffer); err == io.EOF {
			return fmt.Errorf("%w: %w", errUploadFailed, cause)
		} else if err != nil {
			return err
		}
	}
}
