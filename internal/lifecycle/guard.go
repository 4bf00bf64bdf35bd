// Package lifecycle is the one place that decides whether work may begin, be sent, be repeated, be ended or be started now.
// Every decision goes by the clock at the call and by the settings in force then: a bound that was computed as a request's head
// came, as the process started or as a signal was handled is older than the moment in which it acts. The decisions are pure
// functions in decision.go; Guard is the shell that owns the clock, the state and the counts. Times are monotonic: a step of
// the system's clock moves none of them.
//
// The package sends, closes and starts nothing itself.
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

	mu        sync.Mutex // held while the state is replaced
	endTimer  *time.Timer
	ending    chan struct{} // closed as the Ending phase begins
	stopping  chan struct{} // closed as a shutdown begins
	endClosed bool

	denied, violations [operationCount]atomic.Int64
}

// New returns the guard of a process that serves under these limits. log hears of phases and violations.
func New(l limits.StopLimits, log *slog.Logger) *Guard {
	g := &Guard{clock: time.Now, log: log, ending: make(chan struct{}), stopping: make(chan struct{})}
	g.state.Store(&state{limits: l})
	return g
}

// Reconfigure has the limits of other settings hold. In a shutdown only what ends it earlier does: SIGKILL may come by the
// settings of any moment since SIGTERM.
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

// BeginShutdown notes that SIGTERM came at a moment, now or before. Further calls change nothing: the time until SIGKILL runs
// from the first.
func (g *Guard) BeginShutdown(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := *g.state.Load()
	if next.stopping() {
		return
	}
	next.began = at
	close(g.stopping)
	g.replace(next)
	g.log.Info("shutdown began", "answers_due_in", next.limits.Answer.String(), "kill_in", next.limits.Kill.String())
}

// replace stores a state, and has the Ending phase be told at its time. The lock is held.
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

// announceEnding closes the channel of Ending, unless the time was moved meanwhile.
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

// Stopping is closed as a shutdown begins.
func (g *Guard) Stopping() <-chan struct{} { return g.stopping }

// Ending is closed as the Ending phase begins: what is open then must be answered at once.
func (g *Guard) Ending() <-chan struct{} { return g.ending }

// Phase tells how far a shutdown has come.
func (g *Guard) Phase() Phase { return g.state.Load().phase(g.clock()) }

// Since tells for how long a shutdown has been under way, 0 before.
func (g *Guard) Since() time.Duration {
	s := g.state.Load()
	if !s.stopping() {
		return 0
	}
	return g.clock().Sub(s.began)
}

// Limits are those that decisions go by now.
func (g *Guard) Limits() limits.StopLimits { return g.state.Load().limits }

// Deadline is until when a request may take whose client waits for so long from now.
func (g *Guard) Deadline(left time.Duration) time.Time {
	return g.state.Load().deadline(g.clock(), left)
}

// minWait is what a wait has at the least: a shutdown that nobody kills still writes its answers.
const minWait = 50 * time.Millisecond

// BeforeKill bounds a wait that begins now, so that it is over ahead of SIGKILL where there is time for it.
func (g *Guard) BeforeKill(wait time.Duration) time.Duration {
	s := g.state.Load()
	if !s.stopping() {
		return wait
	}
	return max(minWait, min(wait, s.began.Add(s.limits.Kill-s.limits.HoldUp).Sub(g.clock())))
}

// Allow tells whether an operation may be carried out now; the error is a *DeniedError. by is the time that the operation has
// for reasons of its own, such as its client's patience or a window for repetitions, zero for none.
func (g *Guard) Allow(op Operation, by time.Time) error {
	if reason := g.state.Load().decide(op, g.clock(), by); reason != Allowed {
		g.denied[op].Add(1)
		g.log.Debug("operation denied", "operation", op.String(), "reason", reason.String(), "since_shutdown", g.Since().String())
		return &DeniedError{op, reason}
	}
	return nil
}

// Permits is Allow for callers that look again and again: what is not permitted yet is not counted as denied.
func (g *Guard) Permits(op Operation) bool {
	return g.state.Load().decide(op, g.clock(), time.Time{}) == Allowed
}

// Done checks an operation that was carried out just now: one that is later than its time, and the hold-up that is allowed for,
// is a violation.
func (g *Guard) Done(op Operation, by time.Time) {
	if late := g.state.Load().overdue(op, g.clock(), by); late > 0 {
		g.Violated(op, "late by "+late.String())
	}
}

// Violated counts an operation that must not have been carried out.
func (g *Guard) Violated(op Operation, what string) {
	g.violations[op].Add(1)
	g.log.Error("rule violated", "operation", op.String(), "what", what, "phase", g.Phase().String(), "since_shutdown", g.Since().String())
}

// Count is how often an operation was denied, and carried out against the rules, since the process started.
type Count struct {
	Operation          Operation
	Denied, Violations int64
}

// Counts lists the counts of all operations.
func (g *Guard) Counts() []Count {
	var out []Count
	for _, op := range Operations() {
		out = append(out, Count{op, g.denied[op].Load(), g.violations[op].Load()})
	}
	return out
}

// Violations is the sum over all operations.
func (g *Guard) Violations() (sum int64) {
	for _, c := range g.Counts() {
		sum += c.Violations
	}
	return sum
}
