package routing

import (
	"context"
	"log/slog"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/scheduler"
)

// Submission is a request that has been submitted to the core. Complete brings it to its final answer.
type Submission struct {
	core     *Core
	request  scheduler.Request
	inflight *inflight
	deadline time.Time
}

// submitRequest passes a request to the core's loop. It is admitted at once if admitBy is 0, otherwise when the scheduler is
// ready for it, at admitBy at the latest.
func (c *Core) submitRequest(r scheduler.Request, admitBy scheduler.Micros) (*Submission, error) {
	s := &Submission{core: c, request: r, inflight: newInflight(r.ID)}
	if err := s.startDeadline(); err != nil {
		return nil, err
	}
	if announce := c.announceID.Load(); announce != nil {
		(*announce)(r.ID)
	}
	if !c.submit(message{event: s.request, inflight: s.inflight, admitBy: admitBy}) {
		return nil, ErrStopped
	}
	return s, nil
}

// startDeadline computes the request's deadline from its time left, but no later than this process can answer. It returns
// a *RejectedError if there is no time for the request before a shutdown.
func (s *Submission) startDeadline() error {
	now := time.Now()
	s.deadline = s.core.Guard.Deadline(time.Duration(s.request.TimeLeft) * time.Microsecond)
	if err := s.core.Guard.Allow(lifecycle.Take, s.deadline); err != nil {
		s.core.counters.countEnding(s.request.Class, Rejected)
		s.core.Log.Debug("request rejected", "request", s.request.ID, "why", err)
		return s.core.newRejection()
	}
	s.request.TimeLeft = scheduler.Micros(s.deadline.Sub(now) / time.Microsecond)
	return nil
}

// newRejection returns the answer to a request for which no time is left. During a shutdown its client should retry only after
// the process has been killed.
func (c *Core) newRejection() *RejectedError {
	if c.Guard.Phase() == lifecycle.Serving {
		return &RejectedError{}
	}
	return &RejectedError{RetryAfter: c.Guard.BeforeKill(c.Guard.Limits().Kill)}
}

// SubmitWhenReady submits a request when the scheduler could send it at once, or after the given time at the latest. Until
// then the request is not accepted: it needs no answer, and its time left is not reduced by the wait. If ctx ends first, SubmitWhenReady
// returns its cause.
func (c *Core) SubmitWhenReady(ctx context.Context, r scheduler.Request, maxWait time.Duration) (*Submission, error) {
	s, err := c.submitRequest(r, c.clock.Now()+scheduler.Micros(maxWait/time.Microsecond))
	if err != nil {
		return nil, err
	}
	select {
	case <-s.inflight.admitted:
		if err := s.startDeadline(); err != nil {
			c.abandon(s.inflight, 0)
			return nil, err
		}
		return s, nil
	case <-ctx.Done():
		c.abandon(s.inflight, 0)
		return nil, context.Cause(ctx)
	case <-c.stopped:
		return nil, ErrStopped
	}
}

// Do submits a request and returns its final answer.
func Do[T any](ctx context.Context, c *Core, r scheduler.Request, attempt AttemptFunc[T]) (T, error) {
	s, err := c.submitRequest(r, 0)
	if err != nil {
		return *new(T), err
	}
	return Complete(ctx, s, attempt)
}

// Complete carries out the scheduler's actions for a submitted request and reports the outcome of each attempt, until the final
// answer. The error is a *RejectedError, ErrFailed, ErrDuplicate, ErrStopped or the cause of ctx. The end of ctx means that
// the client has left. An outstanding attempt continues to its outcome then, since closing a connection does not stop a node's
// work; an attempt of which nothing has been written yet does not begin.
func Complete[T any](ctx context.Context, s *Submission, attempt AttemptFunc[T]) (T, error) {
	var zero T
	c := s.core
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // no attempt begins after the final answer
	c.counters.addOpen(1)
	defer c.counters.addOpen(-1)
	answers := make(chan T, 1) // at most one attempt succeeds, so sending never blocks
	overdue := time.NewTimer(time.Until(s.deadline) + overdueGrace)
	defer overdue.Stop()
	cancelAttempt, attempts := context.CancelCauseFunc(func(error) {}), 0
	actions := s.inflight.actions
	for {
		select {
		case action, open := <-actions:
			switch v := action.(type) {
			case scheduler.StartAttempt:
				cancelAttempt = startAttempt(ctx, s, v, attempts, attempt, answers)
				attempts++
			case scheduler.CancelAttempt:
				cancelAttempt(errAttemptCancelled)
			case scheduler.Reject:
				return zero, s.recordRejected(v, attempts)
			case scheduler.Fail:
				return zero, s.recordFailed(v, attempts)
			}
			if !open && attempts == 0 {
				return zero, ErrDuplicate
			}
			if !open {
				actions = nil // an attempt succeeded; its value follows
			}
		case value := <-answers:
			c.counters.countEnding(s.request.Class, Served)
			return value, nil
		case <-ctx.Done():
			return zero, s.recordClientLeft(ctx, attempts)
		case <-c.Guard.Ending():
			return giveUp(s, answers, cancel, endedByShutdown, attempts)
		case <-overdue.C:
			return giveUp(s, answers, cancel, endedOverdue, attempts)
		case <-c.stopped:
			return zero, ErrStopped
		}
	}
}

// overdueGrace is how long after a request's deadline its attempt and the scheduler may take to end it. An attempt that takes
// longer, because it checks whether its node is alive, does not delay the final answer.
const overdueGrace = 100 * time.Millisecond

// Reasons for giving up a request without an action of the scheduler.
const (
	endedByShutdown = "shutdown"
	endedOverdue    = "overdue"
)

// giveUp returns the final answer without waiting for outstanding attempts: a value that has just arrived, or an error.
func giveUp[T any](s *Submission, answers <-chan T, cancel func(), reason string, attempts int) (T, error) {
	select {
	case value := <-answers:
		s.core.counters.countEnding(s.request.Class, Served)
		return value, nil
	default:
	}
	cancel() // an attempt that has not begun must not begin any more
	s.core.abandon(s.inflight, attempts)
	s.core.counters.countGivenUp(reason)
	s.core.Log.Info("request given up", "request", s.request.ID, "why", reason, "attempts", attempts)
	if attempts == 0 {
		s.core.counters.countEnding(s.request.Class, Rejected)
		return *new(T), s.core.newRejection()
	}
	s.core.counters.countEnding(s.request.Class, Failed) // the request may have been carried out
	return *new(T), ErrFailed
}

// recordClientLeft counts a request whose client has left, ends it, and returns the cause of ctx.
func (s *Submission) recordClientLeft(ctx context.Context, attempts int) error {
	s.core.counters.countClientLeft()
	s.core.abandon(s.inflight, attempts)
	return context.Cause(ctx)
}

// recordRejected counts and logs a request that the scheduler rejected, and returns the error for its client.
func (s *Submission) recordRejected(v scheduler.Reject, attempts int) error {
	s.core.counters.countEnding(s.request.Class, Rejected)
	if s.core.debugEnabled() {
		s.core.Log.Debug("request rejected", "request", s.request.ID, "why", v.Reason, "retry_after_us", v.RetryAfter, "attempts", attempts)
	}
	return &RejectedError{RetryAfter: time.Duration(v.RetryAfter) * time.Microsecond}
}

// recordFailed counts and logs a request that the scheduler failed, and returns the error for its client.
func (s *Submission) recordFailed(v scheduler.Fail, attempts int) error {
	s.core.counters.countEnding(s.request.Class, Failed)
	if s.core.debugEnabled() {
		s.core.Log.Debug("request failed", "request", s.request.ID, "why", v.Reason, "attempts", attempts)
	}
	return ErrFailed
}

// debugEnabled reports whether level debug is logged. Check it first: evaluating the log arguments would cost time on every
// request.
func (c *Core) debugEnabled() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

// abandon ends a request whose client has left. A pending StartAttempt is reported to the scheduler as not started.
func (c *Core) abandon(inflight *inflight, attempts int) {
	if !c.submit(message{event: scheduler.ClientLeft{ID: inflight.id}, inflight: inflight}) {
		return
	}
	for {
		select {
		case action, open := <-inflight.actions:
			if _, starts := action.(scheduler.StartAttempt); starts {
				c.submit(message{event: scheduler.AttemptEnded{ID: inflight.id, Attempt: attempts, Result: scheduler.NotStarted}})
			}
			if !open {
				return
			}
		case <-c.stopped:
			return
		}
	}
}
