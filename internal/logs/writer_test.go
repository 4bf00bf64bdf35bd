package logs

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a blocked log output that blocks the caller: nobody reads the pipe, so all lines except the queued ones
// are dropped and counted.
func TestBlockedOutputDoesNotBlockLoggers(t *testing.T) {
	unread, pipe := io.Pipe()
	w := NewWriter(pipe)
	log := New(w, slog.LevelInfo)
	const lines = 2 * maxQueuedLines
	for i := range lines {
		log.Info(strings.Repeat("x", i%200+1)) // different messages, since the quota counts per message
	}
	if n := w.Dropped(); n < lines-maxQueuedLines-1 {
		t.Errorf("%d of %d lines dropped", n, lines)
	}
	w.Flush(time.Millisecond) // returns although nothing can be written
	read := make(chan string)
	go func() {
		var text bytes.Buffer
		io.Copy(&text, unread)
		read <- text.String()
	}()
	w.Flush(time.Minute)
	log.Info("again")
	w.Flush(time.Minute)
	pipe.Close()
	if text := <-read; !strings.Contains(text, `"msg":"log lines dropped","lines":`) || !strings.Contains(text, `"again"`) {
		t.Errorf("end of the log: %q, want a line with the dropped lines and one with \"again\"", text[max(0, len(text)-400):])
	}
}

// Lines that can't be written are counted as dropped, and later lines are written once the output works again.
func TestOutputIsUsedAgainAfterAnError(t *testing.T) {
	var out faultyWriter
	w := NewWriter(&out)
	log := New(w, slog.LevelInfo)
	out.broken = true
	log.Info("lost")
	w.Flush(time.Minute)
	out.broken = false
	log.Info("kept")
	w.Flush(time.Minute)
	if text := out.text.String(); w.Dropped() != 1 || strings.Contains(text, "lost") || !strings.Contains(text, "kept") {
		t.Errorf("%d lines dropped, want 1; log %q", w.Dropped(), text)
	}
}

type faultyWriter struct {
	broken bool
	text   bytes.Buffer
}

func (f *faultyWriter) Write(p []byte) (int, error) {
	if f.broken {
		return 0, io.ErrClosedPipe
	}
	return f.text.Write(p)
}
