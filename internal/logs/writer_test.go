package logs

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// Guards against a log that holds up who writes it: nobody reads the pipe, and all lines but the first ones are dropped and counted.
func TestLogThatBlocksHoldsUpNobody(t *testing.T) {
	unread, pipe := io.Pipe()
	w := NewWriter(pipe)
	log := New(w, slog.LevelInfo)
	const lines = 2 * queuedLines
	for i := range lines {
		log.Info(strings.Repeat("x", i%200+1)) // the quota counts by message
	}
	if n := w.Dropped(); n < lines-queuedLines-1 {
		t.Errorf("%d of %d lines dropped", n, lines)
	}
	w.Flush(time.Millisecond) // returns, whatever is written
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
		t.Errorf("read at last: %q", text[max(0, len(text)-400):])
	}
}

// A log that fails is counted, and used again once it works.
func TestLogThatFailsIsUsedAgain(t *testing.T) {
	var out failing
	w := NewWriter(&out)
	log := New(w, slog.LevelInfo)
	out.broken = true
	log.Info("lost")
	w.Flush(time.Minute)
	out.broken = false
	log.Info("kept")
	w.Flush(time.Minute)
	if text := out.text.String(); w.Dropped() != 1 || strings.Contains(text, "lost") || !strings.Contains(text, "kept") {
		t.Errorf("%d dropped, %q", w.Dropped(), text)
	}
}

type failing struct {
	broken bool
	text   bytes.Buffer
}

func (f *failing) Write(p []byte) (int, error) {
	if f.broken {
		return 0, io.ErrClosedPipe
	}
	return f.text.Write(p)
}
