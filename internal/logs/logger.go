package logs

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync"

	"github.com/lmittmann/tint"
	"github.com/mattn/go-isatty"
)

// New gives the logger of the program: tinted lines where w is a terminal, JSON lines otherwise (the platform, a
// file, a pipe), at level and above, under the quota of Burst lines a message in each Span. The field "held" of a
// line says how many of the same message were not written before it. Where w is a Writer, a line tells of those that it dropped.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	h := newHandler(w, level)
	if queued, ok := w.(*Writer); ok {
		direct := slog.New(newHandler(queued.to, level))
		queued.onDropped(func(lines int64) { direct.Warn("log lines dropped", "lines", lines) })
	}
	return slog.New(&quota{next: h, shared: &shared{quota: NewQuota(Burst, Span, MaxKeys)}})
}

// newHandler writes for a person where w leads to a terminal, for a machine otherwise.
func newHandler(w io.Writer, level slog.Leveler) slog.Handler {
	to := w
	if queued, ok := w.(*Writer); ok {
		to = queued.to
	}
	if f, ok := to.(*os.File); ok && isatty.IsTerminal(f.Fd()) {
		return tint.NewTextHandler(w, &tint.Options{Level: level})
	}
	return slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
}

// Quiet gives a logger that writes nothing, for tests and for parts whose lines nobody reads.
func Quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// quota is the shell around Quota: it hands it each record's time, which slog took when the line was made.
type quota struct {
	next   slog.Handler
	shared *shared
}

// shared is the one quota of a logger and of all that With makes of it: a message counts alike wherever it is said.
type shared struct {
	mu    sync.Mutex
	quota *Quota
}

func (h *quota) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

func (h *quota) Handle(ctx context.Context, r slog.Record) error {
	h.shared.mu.Lock()
	say, held := h.shared.quota.Say(r.Level.String()+" "+r.Message, r.Time)
	h.shared.mu.Unlock()
	if !say {
		return nil
	}
	if held > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("held", held))
	}
	return h.next.Handle(ctx, r)
}

func (h *quota) WithAttrs(as []slog.Attr) slog.Handler {
	return &quota{next: h.next.WithAttrs(as), shared: h.shared}
}

func (h *quota) WithGroup(name string) slog.Handler {
	return &quota{next: h.next.WithGroup(name), shared: h.shared}
}
