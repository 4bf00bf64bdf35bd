package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/net/protocol"
)

// errUploadFailed tells that a long request did not get to a node but for its end: it never ran.
var errUploadFailed = errors.New("the request could not be passed on")

// readRequest reads a request, or tells with which status it is rejected. A short body is buffered, and the request may be
// retried. A long body goes to its node as it comes, but for its end.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request, set protocol.Settings) (m inboundRequest, status int, err error) {
	conn := connOf(r.Context())
	if status, err := checkFraming(w, r, conn); err != nil {
		return m, status, err
	}
	m.Request, err = protocol.ParseRequest(r, set)
	switch {
	case errors.Is(err, protocol.ErrNoPath):
		return m, http.StatusNotFound, err
	case err != nil:
		return m, http.StatusBadRequest, err
	case r.ContentLength > f.limits.Requests.StreamedBytes:
		return m, http.StatusRequestEntityTooLarge, errBodyTooLong
	case r.ContentLength == 0:
		return m, 0, nil
	}
	control := http.NewResponseController(w)
	came := newArrival(r.ContentLength < 0)
	next := f.bodyReader(r, conn, control, &came)
	m.Body, err = f.bufferBody(r.ContentLength, next)
	if err == nil { // there is more
		err = f.streamBody(r, &m, next)
	}
	switch {
	case err == io.EOF || err == nil:
		conn.framing.endBody()
		m.TimeLeft -= toMicros(came.waited(conn.raw))
	case errors.Is(err, errUploadFailed):
		return m, 0, err
	case f.guard.Permits(lifecycle.EndIncomplete): // its connection was woken to end
		return m, 0, errUploadFailed
	case errors.Is(err, errBodyTooLong):
		return m, http.StatusRequestEntityTooLarge, errBodyTooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return m, http.StatusRequestTimeout, errors.New("the body did not come in time")
	default:
		return m, http.StatusBadRequest, errors.New("the body did not come whole")
	}
	// net/http notices that a client leaves only once the body has been read, and without a deadline.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return m, http.StatusInternalServerError, err
	}
	return m, 0, nil
}

// checkFraming rejects a request whose body may end in two places. Behind one whose end can't be told the connection ends.
func checkFraming(w http.ResponseWriter, r *http.Request, conn *clientConn) (status int, err error) {
	if len(r.TransferEncoding) == 0 && r.ProtoAtLeast(1, 1) {
		return 0, nil
	}
	if conn.framing.isAmbiguous() {
		return http.StatusBadRequest, errors.New("the request may be framed in two ways")
	}
	w.Header().Set("Connection", "close")
	return 0, nil
}

// bodyReader returns a function that reads the next piece of a body, within the bounds on its length and its silence.
func (f *Front) bodyReader(r *http.Request, conn *clientConn, control *http.ResponseController, came *arrival) func(p []byte) (int, error) {
	left := f.limits.Requests.StreamedBytes
	return func(p []byte) (int, error) {
		if err := control.SetReadDeadline(time.Now().Add(f.limits.Clients.BodySilence)); err != nil {
			return 0, err
		}
		began := time.Now()
		n, err := r.Body.Read(p)
		came.read(began, n, len(p))
		f.clients.bodyProgressed(conn)
		left -= int64(n)
		if left < 0 {
			return n, errBodyTooLong
		}
		return n, err
	}
}

// bufferBody reads a body to its end, which is io.EOF, or until it is longer by a byte than what is buffered. length is what
// the head tells of it, below 0 for nothing.
func (f *Front) bufferBody(length int64, next func(p []byte) (int, error)) (body []byte, err error) {
	const firstBuffer = 512
	longest := f.limits.Requests.BufferedBytes + 1
	buffer := make([]byte, min(max(length, firstBuffer), longest-1)+1)
	n := 0
	for err == nil && n < len(buffer) {
		var got int
		got, err = next(buffer[n:])
		n += got
		if n == len(buffer) && int64(n) < longest { // of a length that was not told
			buffer = append(buffer, make([]byte, min(int64(n), longest-int64(n)))...)
		}
	}
	return buffer[:n], err
}

// streamBody has a long request go to its node as it comes. Where no node can have it the rest is read.
func (f *Front) streamBody(r *http.Request, m *inboundRequest, next func(p []byte) (int, error)) error {
	err := f.next.upload(r, m, next)
	if client := (clientError{}); err != nil && !errors.As(err, &client) {
		return f.discardBody(next, err)
	}
	return err
}

// discardBody reads what comes yet of a body that no node can have: an answer ahead of its end would be lost with the connection.
func (f *Front) discardBody(next func([]byte) (int, error), cause error) error {
	piece := buffers.Get()
	defer buffers.Put(piece)
	for {
		if _, err := next(piece); err == io.EOF {
			return fmt.Errorf("%w: %w", errUploadFailed, cause)
		} else if err != nil {
			return err
		}
	}
}
