package logs

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"
)

// A message is written burst times in a span, then counted; the first line of the next span has the count.
func TestQuotaCountsSuppressedLines(t *testing.T) {
	q := NewQuota(10, 10*time.Second, 4)
	at := time.Unix(1000, 0)
	written := 0
	for i := range 25 {
		if ok, suppressed := q.Allow("a", at.Add(time.Duration(i)*time.Millisecond)); ok {
			written++
			if suppressed != 0 {
				t.Errorf("line %d: %d suppressed lines reported inside the first span", i, suppressed)
			}
		}
	}
	if written != 10 {
		t.Errorf("%d of 25 lines written in one span, want 10", written)
	}
	if ok, _ := q.Allow("b", at); !ok {
		t.Error("the quota of one message suppressed another message")
	}
	if ok, suppressed := q.Allow("a", at.Add(10*time.Second)); !ok || suppressed != 15 {
		t.Errorf("first line of the next span: written %v, suppressed before it %d, want true and 15", ok, suppressed)
	}
	if ok, _ := q.Allow("a", at.Add(9*time.Second)); !ok {
		t.Error("a line with a time before the span's start was suppressed")
	}
}

// Keys beyond the maximum share one quota, so memory stays bounded; ended spans without suppressed lines are deleted.
func TestQuotaBoundsKeys(t *testing.T) {
	q := NewQuota(1, time.Second, 3)
	at := time.Unix(1000, 0)
	for _, key := range []string{"a", "b", "c"} {
		q.Allow(key, at)
	}
	if ok, _ := q.Allow("d", at); !ok {
		t.Error("the first line of a key beyond the maximum was suppressed")
	}
	if ok, _ := q.Allow("e", at); ok {
		t.Error("a second key beyond the maximum had its own quota")
	}
	if len(q.spans) != 4 {
		t.Errorf("%d spans, want 4: three keys and the shared one", len(q.spans))
	}
	if ok, _ := q.Allow("f", at.Add(time.Second)); !ok {
		t.Error("ended spans were not deleted to make room")
	}
}

// The logger writes JSON if its output is not a terminal, and adds the number of suppressed lines to the next line written.
func TestLoggerReportsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, slog.LevelInfo)
	log.Debug("below the level")
	for range Burst + 5 {
		log.Warn("node answers errors", "node", "n1")
	}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != Burst {
		t.Fatalf("%d lines, want %d:\n%s", len(lines), Burst, out.Bytes())
	}
	var line map[string]any
	if err := json.Unmarshal(lines[0], &line); err != nil || line["msg"] != "node answers errors" || line["node"] != "n1" {
		t.Errorf("unexpected JSON line: %s (%v)", lines[0], err)
	}
	h := log.Handler().(*quotaHandler)
	h.shared.quota.spans["WARN node answers errors"].start = time.Time{} // as if its span had ended
	log.With("node", "n2").Warn("node answers errors")
	if err := json.Unmarshal(bytes.TrimSpace(out.Bytes()[bytes.LastIndexByte(bytes.TrimSpace(out.Bytes()), '\n')+1:]), &line); err != nil ||
		line["held"] != float64(5) {
		t.Errorf("line after the span: %v (%v), want held 5", line, err)
	}
}
