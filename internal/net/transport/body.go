package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"otterturn/internal/net/protocol"
)

// errUploadFailed tells that a long request did not get to a node but for its end: it never ran.
var errUploadFailed = errors.New("the request could not be passed on")

// readRequest reads a request, or tells with which status it is turned away. What is short is held, and may be sent again. A
// long body goes to its node as it comes, but for its end.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request, set protocol.Settings) (m inboundRequest, status int, err error) {
	conn := connOf(r.Context())
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		if conn.framing.isAmbiguous() {
			return m, http.StatusBadRequest, errors.New("the request may be framed in two ways")
		}
		w.Header().Set("Connection", "close") // what stands behind it could not be told from its body
	}
	m.Request, err = protocol.ParseRequest(r, set)
	if errors.Is(err, protocol.ErrNoPath) {
		return m, http.StatusNotFound, err
	} else if err != nil {
		return m, http.StatusBadRequest, err
	}
	if r.ContentLength > f.limits.Requests.StreamedBytes {
		return m, http.StatusRequestEntityTooLarge, errBodyTooLong
	}
	if r.ContentLength == 0 {
		return m, 0, nil
	}
	control := http.NewResponseController(w)
	left := f.limits.Requests.StreamedBytes
	next := func(p []byte) (int, error) {
		if err := control.SetReadDeadline(time.Now().Add(f.limits.Clients.BodySilence)); err != nil {
			return 0, err
		}
		n, err := r.Body.Read(p)
		f.clients.bodyProgressed(conn)
		if left -= int64(n); left < 0 {
			return n, errBodyTooLong
		}
		return n, err
	}
	held := make([]byte, min(max(r.ContentLength, 512), f.limits.Requests.BufferedBytes)+1)
	n := 0
	for err == nil && n < len(held) {
		var got int
		got, err = next(held[n:])
		if n += got; n == len(held) && int64(n) <= f.limits.Requests.BufferedBytes { // of a length that was not told
			held = append(held, make([]byte, min(int64(n), f.limits.Requests.BufferedBytes+1-int64(n)))...)
		}
	}
	m.Body = held[:n]
	if err == nil {
		err = f.next.upload(r, &m, next)
		if client := (clientError{}); err != nil && !errors.As(err, &client) {
			err = f.discardBody(next, err)
		}
	}
	switch {
	case err == io.EOF || err == nil:
		conn.framing.endBody()
	case errors.Is(err, errUploadFailed):
		return m, 0, err
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

// pacedWriter bounds how long a client may take for each piece of its answer, and not for the whole of it.
type pacedWriter struct {
	http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
}

func (w *pacedWriter) Write(p []byte) (int, error) {
	if err := w.control.SetWriteDeadline(time.Now().Add(w.writeTimeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *pacedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
