package routing

import (
	"cmp"
	"context"
	"errors"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/scheduler"
)

// Attempt is one that the scheduler decided on.
type Attempt struct {
	Node string
	// MayBegin ends once nothing of the attempt may be written any more, if nothing was by then: the client has left, the
	// attempt was cancelled, or a retry would come too late to be deduplicated by the nodes. It is what to wait under; whether
	// to write is Permitted's word, as a context's end comes late where the process was held up.
	MayBegin context.Context

	// ClientGone asks whether the client has left by now, ahead of MayBegin's hearing of it. Set by the front, nil where it can't tell.
	ClientGone func() bool

	guard     *lifecycle.Guard // nil for none
	operation lifecycle.Operation
	beginBy   time.Time
}

// errClientGone tells that nobody waits for an attempt any more.
var errClientGone = errors.New("the client has left")

// Permitted asks whether the attempt may be written now. It is to be called right ahead of the first byte, and of the end of a
// long request.
func (a Attempt) Permitted() error {
	if err := a.MayBegin.Err(); err != nil {
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

// Written tells that the attempt was written whole just now.
func (a Attempt) Written() {
	if a.guard != nil {
		a.guard.Done(a.operation, a.beginBy)
	}
}

// AttemptFunc carries out an attempt and returns what it brought with its result. It ends when its context does, at the
// request's deadline at the latest. Of the outcome Result, Alive, ServedElsewhere and, where it is known better than by the
// call's duration, Latency are used.
type AttemptFunc[T any] func(ctx context.Context, a Attempt) (T, scheduler.AttemptEnded)

// startAttempt carries out an attempt in a goroutine, reports its outcome to the scheduler, and hands on a success. The
// returned function cancels it.
func startAttempt[T any](ctx context.Context, s *Submission, v scheduler.StartAttempt, number int, attempt AttemptFunc[T],
	answers chan<- T,
) context.CancelCauseFunc {
	c := s.core
	if c.debugEnabled() {
		c.Log.Debug("attempt started", "request", s.request.ID, "attempt", number, "node", v.Node, "operation", operationOf(number).String())
	}
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	go func() {
		// The contexts end only after the outcome is submitted: who sees them end may use the request's id again.
		defer cancel(nil)
		limited, release := context.WithDeadline(own, s.deadline)
		defer release()
		beginBy := c.clock.timeOf(v.BeginBy, s.deadline)
		mayBegin, release := context.WithDeadline(ctx, beginBy)
		defer release()
		defer context.AfterFunc(own, release)()
		value, outcome := runAttempt(limited, Attempt{
			Node: v.Node, MayBegin: mayBegin, guard: c.Guard, operation: operationOf(number), beginBy: beginBy,
		}, attempt)
		outcome.ID = s.request.ID
		outcome.Attempt = number
		c.submit(message{event: outcome})
		if c.debugEnabled() {
			c.Log.Debug("attempt ended", "request", s.request.ID, "attempt", number, "node", v.Node,
				"result", outcome.Result.String(), "us", outcome.Latency)
		}
		if outcome.Result == scheduler.OK {
			answers <- value
		}
	}()
	return cancel
}

// operationOf is what an attempt of a number is to the guard.
func operationOf(number int) lifecycle.Operation {
	if number == 0 {
		return lifecycle.Send
	}
	return lifecycle.Retry
}

// runAttempt carries out one attempt and completes its outcome.
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
