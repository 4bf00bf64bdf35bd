package routing

import (
	"context"
	"log/slog"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/scheduler"
)

// Submission is a request that the core has taken and that Carry brings to its final answer.
type Submission struct {
	core     *Core
	request  scheduler.Request
	call     *call
	deadline time.Time
}

// submitRequest hands a request to the core's loop: at once, or once the scheduler is ready for it, at admitBy at the latest.
func (c *Core) submitRequest(r scheduler.Request, admitBy scheduler.Micros) (*Submission, error) {
	s := &Submission{core: c, request: r, call: newCall(r.ID)}
	if err := s.startDeadline(); err != nil {
		return nil, err
	}
	if announce := c.announceID.Load(); announce != nil {
		(*announce)(r.ID)
	}
	if !c.submit(message{event: s.request, call: s.call, admitBy: admitBy}) {
		return nil, ErrStopped
	}
	return s, nil
}

// startDeadline has the request's time run from now on, no longer than the process may take for an answer. The error is a
// RejectedError: the request does not fit any more.
func (s *Submission) startDeadline() error {
	now := time.Now()
	s.deadline = s.core.Guard.Deadline(time.Duration(s.request.TimeLeft) * time.Microsecond)
	if err := s.core.Guard.Allow(lifecycle.Take, s.deadline); err != nil {
		s.core.counters.countEnding(s.request.Class, Rejected)
		s.core.Log.Debug("request rejected", "request", s.request.ID, "why", err)
		return s.core.rejectedNow()
	}
	s.request.TimeLeft = scheduler.Micros(s.deadline.Sub(now) / time.Microsecond)
	return nil
}

// rejectedNow is the answer to a request that does not fit any more. In a shutdown its client should come back behind the kill.
func (c *Core) rejectedNow() *RejectedError {
	if c.Guard.Phase() == lifecycle.Serving {
		return &RejectedError{}
	}
	return &RejectedError{RetryAfter: c.Guard.BeforeKill(c.Guard.Limits().Kill)}
}

// SubmitWhenReady submits a request once the scheduler would send it without a wait, or at the latest after the time given.
// Until then it is not taken: nothing is owed for it, its time does not run, and it fails with the cause of ctx where that
// ends first.
func (c *Core) SubmitWhenReady(ctx context.Context, r scheduler.Request, longest time.Duration) (*Submission, error) {
	s, err := c.submitRequest(r, c.clock.Now()+scheduler.Micros(longest/time.Microsecond))
	if err != nil {
		return nil, err
	}
	select {
	case <-s.call.admitted:
		if err := s.startDeadline(); err != nil {
			c.abandon(s.call, 0)
			return nil, err
		}
		return s, nil
	case <-ctx.Done():
		c.abandon(s.call, 0)
		return nil, context.Cause(ctx)
	case <-c.stopped:
		return nil, ErrStopped
	}
}

// Do is the life of one request: it is submitted, and carried to its one final answer.
func Do[T any](ctx context.Context, c *Core, r scheduler.Request, attempt AttemptFunc[T]) (T, error) {
	s, err := c.submitRequest(r, 0)
	if err != nil {
		return *new(T), err
	}
	return Carry(ctx, s, attempt)
}

// Carry is the life of a request from where it was taken: it is sent, rejected or failed as the scheduler decides, and each
// attempt's outcome is reported, until one final answer. The error is a RejectedError, ErrFailed, ErrDuplicate, ErrStopped or
// the cause of ctx. Where ctx ends first the client has left; an attempt that is outstanding runs on to its outcome, since
// closing a connection stops no work. One that was decided on and of which nothing is written yet is not begun.
func Carry[T any](ctx context.Context, s *Submission, attempt AttemptFunc[T]) (T, error) {
	var none T
	c := s.core
	ctx, end := context.WithCancel(ctx)
	defer end() // nothing is begun behind the final answer
	c.counters.addOpen(1)
	defer c.counters.addOpen(-1)
	answers := make(chan T, 1) // at most one attempt is answered, so nobody waits here
	overdue := time.NewTimer(time.Until(s.deadline) + overdueGrace)
	defer overdue.Stop()
	cancelAttempt, attempts := context.CancelCauseFunc(func(error) {}), 0
	verdicts := s.call.verdicts
	for {
		select {
		case verdict, owed := <-verdicts:
			switch v := verdict.(type) {
			case scheduler.StartAttempt:
				cancelAttempt = startAttempt(ctx, s, v, attempts, attempt, answers)
				attempts++
			case scheduler.CancelAttempt:
				cancelAttempt(errAttemptCancelled)
			case scheduler.Reject:
				return none, s.rejected(v, attempts)
			case scheduler.Fail:
				return none, s.failed(v, attempts)
			}
			if !owed && attempts == 0 {
				return none, ErrDuplicate
			}
			if !owed {
				verdicts = nil // served: the answer is on its way
			}
		case value := <-answers:
			c.counters.countEnding(s.request.Class, Served)
			return value, nil
		case <-ctx.Done():
			return none, s.clientLeft(ctx, attempts)
		case <-c.Guard.Ending():
			return giveUp(s, answers, end, endedByShutdown, attempts)
		case <-overdue.C:
			return giveUp(s, answers, end, endedOverdue, attempts)
		case <-c.stopped:
			return none, ErrStopped
		}
	}
}

// overdueGrace is how long behind a request's time its attempt and the scheduler may take to end it. An attempt that takes longer,
// as it finds out whether its node lives, holds up no final answer.
const overdueGrace = 100 * time.Millisecond

// Why a request is given up without the scheduler's verdict.
const (
	endedByShutdown = "shutdown"
	endedOverdue    = "overdue"
)

// giveUp gives a request its final answer, whatever its attempts do: one that has come just now, or an error.
func giveUp[T any](s *Submission, answers <-chan T, end func(), why string, attempts int) (T, error) {
	select {
	case value := <-answers:
		s.core.counters.countEnding(s.request.Class, Served)
		return value, nil
	default:
	}
	end() // what was decided on and not begun never will be
	s.core.abandon(s.call, attempts)
	s.core.counters.countGivenUp(why)
	s.core.Log.Info("request given up", "request", s.request.ID, "why", why, "attempts", attempts)
	if attempts == 0 {
		s.core.counters.countEnding(s.request.Class, Rejected)
		return *new(T), s.core.rejectedNow()
	}
	s.core.counters.countEnding(s.request.Class, Failed) // it may have run
	return *new(T), ErrFailed
}

// clientLeft counts a request whose client has left, and returns the cause.
func (s *Submission) clientLeft(ctx context.Context, attempts int) error {
	s.core.counters.countClientLeft()
	s.core.abandon(s.call, attempts)
	return context.Cause(ctx)
}

// rejected counts a request that the scheduler rejected, and returns the error for its client.
func (s *Submission) rejected(v scheduler.Reject, attempts int) error {
	s.core.counters.countEnding(s.request.Class, Rejected)
	if s.core.debugEnabled() {
		s.core.Log.Debug("request rejected", "request", s.request.ID, "why", v.Reason, "retry_after_us", v.RetryAfter, "attempts", attempts)
	}
	return &RejectedError{RetryAfter: time.Duration(v.RetryAfter) * time.Microsecond}
}

// failed counts a request that the scheduler failed, and returns the error for its client.
func (s *Submission) failed(v scheduler.Fail, attempts int) error {
	s.core.counters.countEnding(s.request.Class, Failed)
	if s.core.debugEnabled() {
		s.core.Log.Debug("request failed", "request", s.request.ID, "why", v.Reason, "attempts", attempts)
	}
	return ErrFailed
}

// debugEnabled reports whether each request's way is logged. Ask first: the arguments alone would cost on every request.
func (c *Core) debugEnabled() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

// abandon ends a request whose client has left. An attempt that was decided on but not begun never will be.
func (c *Core) abandon(call *call, attempts int) {
	if !c.submit(message{event: scheduler.ClientLeft{ID: call.id}, call: call}) {
		return
	}
	for {
		select {
		case v, owed := <-call.verdicts:
			if _, starts := v.(scheduler.StartAttempt); starts {
				c.submit(message{event: scheduler.AttemptEnded{ID: call.id, Attempt: attempts, Result: scheduler.NotStarted}})
			}
			if !owed {
				return
			}
		case <-c.stopped:
			return
		}
	}
}
