package logs

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"

	"github.com/lmittmann/tint"
	"github.com/mattn/go-isatty"
)

// New returns the program's logger: colored text if w is a terminal, JSON lines otherwise (the platform, a file, a pipe),
// at level and above, limited to Burst lines per message in each Span. The attribute "held" of a line is the number of
// lines of the same message that were suppressed before it. If w is a Writer, the lines that it drops are counted in a
// line of their own.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	h := newHandler(w, level)
	if queued, ok := w.(*Writer); ok {
		direct := slog.New(newHandler(queued.to, level))
		queued.onDropped(func(lines int64) { direct.Warn("log lines dropped", "lines", lines) })
	}
	return slog.New(&quotaHandler{next: h, shared: &sharedQuota{quota: NewQuota(Burst, Span, MaxKeys)}})
}

// newHandler returns a text handler if w leads to a terminal, a JSON handler otherwise.
func newHandler(w io.Writer, level slog.Leveler) slog.Handler {
	to := w
	if queued, ok := w.(*Writer); ok {
		to = queued.to
	}
	if f, ok := to.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return tint.NewTextHandler(w, &tint.Options{Level: level, ReplaceAttr: shortenValue})
	}
	return slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shortenValue})
}

// maxValueBytes is the maximum length of a text in a line. Errors may quote what another process has sent, which may be megabytes.
const maxValueBytes = 1 << 10

// shortenValue returns an attribute with at most maxValueBytes of its text.
func shortenValue(_ []string, a slog.Attr) slog.Attr {
	var text string
	switch value := a.Value.Any().(type) {
	case string:
		text = value
	case error:
		text = value.Error()
	}
	if len(text) <= maxValueBytes {
		return a
	}
	return slog.String(a.Key, strings.ToValidUTF8(text[:maxValueBytes], "")+"...")
}

// Discard returns a logger that discards everything, for tests and for components whose log is not needed.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// quotaHandler is a handler that applies a Quota, with the time that slog set in each record.
type quotaHandler struct {
	next   slog.Handler
	shared *sharedQuota
}

// sharedQuota is the quota that a logger shares with all loggers derived from it by With and WithGroup, so that a message is
// counted whichever of them logs it.
type sharedQuota struct {
	mu    sync.Mutex
	quota *Quota
}

func (h *quotaHandler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

func (h *quotaHandler) Handle(ctx context.Context, r slog.Record) error {
	h.shared.mu.Lock()
	allowed, suppressed := h.shared.quota.Allow(r.Level.String()+" "+r.Message, r.Time)
	h.shared.mu.Unlock()
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("held", suppressed))
	}
	return h.next.Handle(ctx, r)
}

func (h *quotaHandler) WithAttrs(as []slog.Attr) slog.Handler {
	return &quotaHandler{next: h.next.WithAttrs(as), shared: h.shared}
}

func (h *quotaHandler) WithGroup(name string) slog.Handler {
	return &quotaHandler{next: h.next.WithGroup(name), shared: h.shared}
}
