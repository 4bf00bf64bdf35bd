// Package lifecycle decides whether an operation may be carried out now, such as accepting, sending, retrying or closing. All
// such decisions are made here, by the clock and the settings at the time of the call: a deadline that was computed when a
// request's header arrived, the process started or a signal was handled may be out of date when it is applied. The decisions
// are pure functions in decision.go; Guard is the shell with the clock, the state and the counters. Times are monotonic, so a
// change of the system clock does not affect them.
//
// The package does not send, close or start anything itself.
package lifecycle

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
)

// Guard decides on operations. It is safe for concurrent use.
type Guard struct {
	clock func() time.Time
	log   *slog.Logger
	state atomic.Pointer[state]

	mu        sync.Mutex // guards changes of state, endTimer and endClosed
	endTimer  *time.Timer
	ending    chan struct{} // closed when the Ending phase begins
	stopping  chan struct{} // closed when a shutdown begins
	endClosed bool

	denied, violations [operationCount]atomic.Int64
}

// New returns the guard of a serving process with the given limits. It logs denials, phases and violations to log.
func New(l limits.StopLimits, log *slog.Logger) *Guard {
	g := &Guard{clock: time.Now, log: log, ending: make(chan struct{}), stopping: make(chan struct{})}
	g.state.Store(&state{limits: l})
	return g
}

// Reconfigure replaces the limits. During a shutdown a limit changes only if it becomes earlier, because SIGKILL may come at
// the time set by any settings that were in force since SIGTERM.
func (g *Guard) Reconfigure(l limits.StopLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := *g.state.Load()
	if next.stopping() {
		l = next.limits.Strictest(l)
	}
	next.limits = l
	g.replace(next)
}

// BeginShutdown begins a shutdown for a SIGTERM that was received at a time, now or earlier. Further calls have no effect: the
// time until SIGKILL runs from the first SIGTERM.
func (g *Guard) BeginShutdown(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := *g.state.Load()
	if next.stopping() {
		return
	}
	next.shutdownStart = at
	close(g.stopping)
	g.replace(next)
	g.log.Info("shutdown began", "answers_due_in", next.limits.Answer.String(), "kill_in", next.limits.Kill.String())
}

// replace stores a state and sets the timer for the Ending phase. The caller holds mu.
func (g *Guard) replace(next state) {
	g.state.Store(&next)
	if !next.stopping() || g.endClosed {
		return
	}
	if g.endTimer != nil {
		g.endTimer.Stop()
	}
	g.endTimer = time.AfterFunc(next.answerBy().Sub(g.clock()), g.announceEnding)
}

// announceEnding closes the channel of Ending, or resets the timer if the phase begins later by now.
func (g *Guard) announceEnding() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endClosed {
		return
	}
	if left := g.state.Load().answerBy().Sub(g.clock()); left > 0 {
		g.endTimer.Reset(left)
		return
	}
	g.endClosed = true
	close(g.ending)
	g.log.Info("shutdown phase", "phase", Ending.String())
}

// Stopping returns a channel that is closed when a shutdown begins.
func (g *Guard) Stopping() <-chan struct{} { return g.stopping }

// Ending returns a channel that is closed when the Ending phase begins: open requests must be answered at once then.
func (g *Guard) Ending() <-chan struct{} { return g.ending }

// Phase returns the phase of the shutdown, Serving before one.
func (g *Guard) Phase() Phase { return g.state.Load().phase(g.clock()) }

// Since returns the time since the start of the shutdown, 0 before one.
func (g *Guard) Since() time.Duration {
	s := g.state.Load()
	if !s.stopping() {
		return 0
	}
	return g.clock().Sub(s.shutdownStart)
}

// Limits returns the limits in force.
func (g *Guard) Limits() limits.StopLimits { return g.state.Load().limits }

// Deadline returns the deadline of a request whose client waits for the time left: the end of that time, or the time by which a
// shutdown requires all answers if that is earlier.
func (g *Guard) Deadline(left time.Duration) time.Time {
	return g.state.Load().deadline(g.clock(), left)
}

// minWait is the shortest wait that BeforeKill returns: a process that is not killed on time still writes its answers.
const minWait = 50 * time.Millisecond

// BeforeKill returns the given wait, which begins now. During a shutdown it is shortened to end before SIGKILL, but not below
// minWait.
func (g *Guard) BeforeKill(wait time.Duration) time.Duration {
	s := g.state.Load()
	if !s.stopping() {
		return wait
	}
	return max(minWait, min(wait, s.shutdownStart.Add(s.limits.Kill-s.limits.MaxStall).Sub(g.clock())))
}

// Allow returns nil if an operation may be carried out now, and a *DeniedError otherwise. deadline is the operation's own,
// such as the end of the time for which its client waits or of a retry's deduplication window, zero for none.
func (g *Guard) Allow(op Operation, deadline time.Time) error {
	if reason := g.state.Load().decide(op, g.clock(), deadline); reason != Allowed {
		g.denied[op].Add(1)
		g.log.Debug("operation denied", "operation", op.String(), "reason", reason.String(), "since_shutdown", g.Since().String())
		return &DeniedError{op, reason}
	}
	return nil
}

// Permits reports whether an operation may be carried out now. Unlike Allow it is for repeated checks: it counts no denials.
func (g *Guard) Permits(op Operation) bool {
	return g.state.Load().decide(op, g.clock(), time.Time{}) == Allowed
}

// CheckDeadline checks an operation that was just carried out. If it was late, by more than the longest stall of the process that the
// limits allow for, it is counted as a violation.
func (g *Guard) CheckDeadline(op Operation, deadline time.Time) {
	if late := g.state.Load().overdue(op, g.clock(), deadline); late > 0 {
		g.ReportViolation(op, "late by "+late.String())
	}
}

// ReportViolation counts and logs an operation that should not have been carried out.
func (g *Guard) ReportViolation(op Operation, description string) {
	g.violations[op].Add(1)
	g.log.Error("rule violated", "operation", op.String(), "what", description, "phase", g.Phase().String(),
		"since_shutdown", g.Since().String())
}

// Count holds how often an operation was denied, and how often it was carried out in violation of the rules, since the process
// started.
type Count struct {
	Operation          Operation
	Denied, Violations int64
}

// Counts returns the counts of all operations.
func (g *Guard) Counts() []Count {
	var out []Count
	for _, op := range Operations() {
		out = append(out, Count{op, g.denied[op].Load(), g.violations[op].Load()})
	}
	return out
}

// Violations returns the number of violations of all operations.
func (g *Guard) Violations() (sum int64) {
	for _, c := range g.Counts() {
		sum += c.Violations
	}
	return sum
}
