package transport

import (
	"net/http"
	"time"

	"otterturn/internal/lifecycle"
)

// answerWriter writes one answer. It bounds how long a client may take for each piece of it, and not for the whole of it, and
// asks as the answer begins whether its connection may bring another request.
type answerWriter struct {
	http.ResponseWriter
	control      *http.ResponseController
	guard        *lifecycle.Guard
	writeTimeout time.Duration
	dueBy        time.Time // by when the answer is owed, zero where none is
	begun        bool
}

// WriteHeader begins the answer. A shutdown that came meanwhile ends the connection behind it.
func (w *answerWriter) WriteHeader(status int) {
	if !w.begun && status >= http.StatusOK {
		w.begun = true
		if w.guard.Permits(lifecycle.EndIdle) {
			w.Header().Set("Connection", "close")
		}
		w.guard.Done(lifecycle.Answer, w.dueBy)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a piece of the answer.
func (w *answerWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	if err := w.control.SetWriteDeadline(time.Now().Add(w.writeTimeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
