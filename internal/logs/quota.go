// Package logs provides the program's logger: text on a terminal, JSON lines otherwise, with a quota for repeated messages,
// so that a fault that occurs on every request neither floods the log nor uses up a core.
//
// Quota makes the decisions without a clock and without I/O; the slog handler around it passes each record's time.
package logs

import "time"

// Parameters of the logger's quota: a message is written up to Burst times in a Span, further ones are counted until the
// span ends. Keys beyond MaxKeys share one quota, which bounds the memory; the program has a few dozen constant messages.
const (
	Burst   = 10
	Span    = 10 * time.Second
	MaxKeys = 256
)

// Quota decides which lines are written. Create one with NewQuota; the zero value is not usable.
type Quota struct {
	burst   int
	span    time.Duration
	maxKeys int
	spans   map[string]*span
}

// span counts the lines of one key since start: written ones, and suppressed ones.
type span struct {
	start               time.Time
	written, suppressed int
}

// overflowKey is the common key of all messages beyond maxKeys.
const overflowKey = "\x00others"

// NewQuota returns a quota of burst lines per key in each span of the given length. Keys beyond maxKeys share one quota.
// burst and maxKeys below 1 count as 1; a length of 0 or less counts as 1 ns.
func NewQuota(burst int, length time.Duration, maxKeys int) *Quota {
	return &Quota{burst: max(burst, 1), span: max(length, time.Nanosecond), maxKeys: max(maxKeys, 1), spans: map[string]*span{}}
}

// Allow reports whether a line with key at time now is to be written and, if so, how many lines of the key the previous span
// suppressed. A span starts with the first line of a key. A time before its start, from another goroutine's record or
// after a clock step, counts as inside the span.
func (q *Quota) Allow(key string, now time.Time) (allowed bool, suppressed int) {
	s, ok := q.spans[key]
	if !ok {
		if len(q.spans) >= q.maxKeys {
			q.deleteEnded(now)
		}
		if len(q.spans) >= q.maxKeys {
			key = overflowKey
		}
		if s, ok = q.spans[key]; !ok {
			s = &span{start: now}
			q.spans[key] = s
		}
	}
	if now.Sub(s.start) >= q.span {
		suppressed, s.start, s.written, s.suppressed = s.suppressed, now, 0, 0
	}
	if s.written >= q.burst {
		s.suppressed++
		return false, 0
	}
	s.written++
	return true, suppressed
}

// deleteEnded deletes the spans that have ended and have no suppressed lines to report.
func (q *Quota) deleteEnded(now time.Time) {
	for key, s := range q.spans {
		if s.suppressed == 0 && now.Sub(s.start) >= q.span {
			delete(q.spans, key)
		}
	}
}
