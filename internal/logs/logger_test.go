package logs

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a log that uses up the memory of the process: errors quote what other processes send, such as a list of
// megabytes, and hundreds of lines may wait to be written.
func TestLongValuesAreShortened(t *testing.T) {
	long := strings.Repeat("ü", 1<<20)
	var out bytes.Buffer
	log := New(&out, slog.LevelInfo)
	log.Info("m", "text", long, "error", errors.New(long), "short", "kept", "failed", errors.New("kept too"), "number", 7)
	line := out.String()
	if len(line) > 3*maxValueBytes {
		t.Errorf("a line of %d bytes", len(line))
	}
	for _, want := range []string{`"text":"ü`, `ü..."`, `"error":"ü`, `"short":"kept"`, `"failed":"kept too"`, `"number":7`} {
		if !strings.Contains(line, want) {
			t.Errorf("the line lacks %s", want)
		}
	}
}
