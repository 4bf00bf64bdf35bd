package transport

import (
	"net/http"
	"time"

	"otterturn/internal/lifecycle"
)

// answerWriter writes one answer. It limits the time that the client may take for each write, not for the whole answer. When
// the answer begins, it asks the guard whether the connection may carry another request.
type answerWriter struct {
	http.ResponseWriter
	conn          *clientConn
	control       *http.ResponseController
	guard         *lifecycle.Guard
	writeTimeout  time.Duration
	deadline      time.Time // deadline of the answer, zero if none is owed
	headerWritten bool
}

// WriteHeader begins the answer. The connection closes after it if a shutdown has begun to close idle connections.
func (w *answerWriter) WriteHeader(status int) {
	if !w.headerWritten && status >= http.StatusOK {
		w.headerWritten = true
		if w.guard.Permits(lifecycle.EndIdle) {
			w.closeAfterAnswer()
		}
		w.guard.CheckDeadline(lifecycle.Answer, w.deadline)
	}
	w.ResponseWriter.WriteHeader(status)
}

// closeAfterAnswer makes the connection close after this answer, unless another request has been read behind this one: it is owed an answer
// too, and asks again.
func (w *answerWriter) closeAfterAnswer() {
	if !w.conn.hasLaterRequest() {
		w.Header().Set("Connection", "close")
	}
}

// Write begins the answer if necessary and renews the write deadline.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.WriteHeader(http.StatusOK)
	}
	if err := w.control.SetWriteDeadline(time.Now().Add(w.writeTimeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
