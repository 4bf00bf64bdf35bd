package routing

import (
	"cmp"
	"context"
	"errors"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/scheduler"
)

// Attempt is an attempt that the scheduler has decided to start.
type Attempt struct {
	Node string
	// BeginContext ends when an attempt of which nothing has been written must not begin any more: the client has left, the
	// attempt was cancelled, or the nodes would no longer deduplicate a retry. Use it for waiting. Call CheckPermitted before
	// writing, because after a stall of the process a context ends late.
	BeginContext context.Context

	// ClientGone reports whether the client has left, possibly before BeginContext ends. The front sets it; nil if the front
	// can't detect that.
	ClientGone func() bool

	guard     *lifecycle.Guard // nil for no checks
	operation lifecycle.Operation
	beginBy   time.Time
}

// errClientGone is returned by CheckPermitted after the client has left.
var errClientGone = errors.New("client has left")

// CheckPermitted returns nil if the attempt may be written now. Call it immediately before writing the first byte, and before
// writing the end of a long request.
func (a Attempt) CheckPermitted() error {
	if err := a.BeginContext.Err(); err != nil {
		return err
	}
	if a.ClientGone != nil && a.ClientGone() {
		return errClientGone
	}
	if a.guard == nil {
		return nil
	}
	return a.guard.Allow(a.operation, a.beginBy)
}

// MarkWritten records that the attempt has just been written completely.
func (a Attempt) MarkWritten() {
	if a.guard != nil {
		a.guard.CheckDeadline(a.operation, a.beginBy)
	}
}

// AttemptFunc carries out an attempt and returns its value and outcome. It returns when its context ends, which is at the
// request's deadline at the latest. Only Result, Alive, ServedElsewhere and Latency of the outcome are used; a zero Latency
// is replaced by the duration of the call.
type AttemptFunc[T any] func(ctx context.Context, a Attempt) (T, scheduler.AttemptEnded)

// startAttempt carries out an attempt in a goroutine, reports its outcome to the scheduler, and sends the value of a
// successful one to answers. The returned function cancels the attempt.
func startAttempt[T any](ctx context.Context, s *Submission, start scheduler.StartAttempt, number int, attempt AttemptFunc[T],
	answers chan<- T,
) context.CancelCauseFunc {
	c := s.core
	if c.debugEnabled() {
		c.Log.Debug("attempt started", "request", s.request.ID, "attempt", number, "node", start.Node, "operation", operationOf(number).String())
	}
	attemptCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	go func() {
		// The contexts end only after the outcome is submitted: code that waits for their end may reuse the request's id.
		defer cancel(nil)
		deadlineCtx, cancelDeadline := context.WithDeadline(attemptCtx, s.deadline)
		defer cancelDeadline()
		beginBy := c.clock.timeOf(start.BeginBy, s.deadline)
		mayBegin, cancelDeadline := context.WithDeadline(ctx, beginBy)
		defer cancelDeadline()
		defer context.AfterFunc(attemptCtx, cancelDeadline)()
		value, outcome := runAttempt(deadlineCtx, Attempt{
			Node: start.Node, BeginContext: mayBegin, guard: c.Guard, operation: operationOf(number), beginBy: beginBy,
		}, attempt)
		outcome.ID = s.request.ID
		outcome.Attempt = number
		c.submit(message{event: outcome})
		if c.debugEnabled() {
			c.Log.Debug("attempt ended", "request", s.request.ID, "attempt", number, "node", start.Node,
				"result", outcome.Result.String(), "us", outcome.Latency)
		}
		if outcome.Result == scheduler.OK {
			answers <- value
		}
	}()
	return cancel
}

// operationOf returns the guard's operation for an attempt: Send for the first one, Retry for all others.
func operationOf(number int) lifecycle.Operation {
	if number == 0 {
		return lifecycle.Send
	}
	return lifecycle.Retry
}

// runAttempt carries out one attempt and fills in its outcome.
func runAttempt[T any](ctx context.Context, a Attempt, attempt AttemptFunc[T]) (T, scheduler.AttemptEnded) {
	startedAt := time.Now()
	value, outcome := attempt(ctx, a)
	if outcome.Result == scheduler.TimedOut && context.Cause(ctx) == errAttemptCancelled {
		outcome.Result = scheduler.Cancelled
	}
	outcome.Latency = cmp.Or(outcome.Latency, scheduler.Micros(time.Since(startedAt)/time.Microsecond))
	outcome.Final = outcome.Result == scheduler.OK
	return value, outcome
}
