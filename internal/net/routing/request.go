package routing

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"otterturn/scheduler"
)

// Attempt is one that the scheduler decided on.
type Attempt struct {
	Node string
	// Begin ends once nothing of the attempt may be written any more, if nothing was by then: the client has left, it
	// was taken back, or a repeat would come too late to be dropped by the nodes.
	Begin context.Context
}

// Entry is a request that the core has taken and that Carry brings to its final answer.
type Entry struct {
	core     *Core
	request  scheduler.Request
	call     *call
	deadline time.Time
}

func (c *Core) enter(r scheduler.Request, until scheduler.Micros) (*Entry, error) {
	e := &Entry{core: c, request: r, call: &call{id: r.ID, verdicts: make(chan scheduler.Action, verdictRoom),
		taken: make(chan struct{})}}
	e.deadline = time.Now().Add(time.Duration(r.TimeLeft) * time.Microsecond)
	if tell := c.announce.Load(); tell != nil {
		(*tell)(r.ID)
	}
	if !c.submit(message{event: r, call: e.call, until: until}) {
		return nil, ErrStopped
	}
	return e, nil
}

// EnterWhenReady submits a request once the scheduler would send it without a wait, or at the latest after the
// time given. Until then it is not taken: nothing is owed for it, its time does not run, and it fails with the
// cause of ctx where that ends first.
func (c *Core) EnterWhenReady(ctx context.Context, r scheduler.Request, most time.Duration) (*Entry, error) {
	e, err := c.enter(r, c.clock.Now()+scheduler.Micros(most/time.Microsecond))
	if err != nil {
		return nil, err
	}
	select {
	case <-e.call.taken:
		e.deadline = time.Now().Add(time.Duration(r.TimeLeft) * time.Microsecond)
		return e, nil
	case <-ctx.Done():
		c.lapse(e.call, 0)
		return nil, context.Cause(ctx)
	case <-c.stopped:
		return nil, ErrStopped
	}
}

// Do is the life of one request: it is submitted, and carried to its one final answer.
func Do[T any](ctx context.Context, c *Core, r scheduler.Request,
	attempt func(ctx context.Context, a Attempt) (T, scheduler.AttemptEnded)) (T, error) {
	e, err := c.enter(r, 0)
	if err != nil {
		return *new(T), err
	}
	return Carry(ctx, e, attempt)
}

// Carry is the life of a request from where it was taken: it is sent, refused or failed as the scheduler decides,
// and each attempt's outcome is reported, until one final answer. An attempt ends when its context does, at the
// request's deadline at the latest; it returns what it brought, the result and the units served elsewhere.
// Where ctx ends first the client has left; an attempt that is out runs on to its outcome, since closing a
// connection stops no work. One that was decided on and of which nothing is written yet is not begun.
func Carry[T any](ctx context.Context, e *Entry,
	attempt func(ctx context.Context, a Attempt) (T, scheduler.AttemptEnded)) (T, error) {
	var none T
	c, r, call, deadline := e.core, e.request, e.call, e.deadline
	c.counts.opened(1)
	defer c.counts.opened(-1)
	answers := make(chan T, 1) // at most one attempt is answered, so nobody waits here
	takeBack := context.CancelCauseFunc(func(error) {})
	verdicts, tries := call.verdicts, 0
	for {
		select {
		case v, owed := <-verdicts:
			switch v := v.(type) {
			case scheduler.StartAttempt:
				own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
				o := scheduler.AttemptEnded{ID: r.ID, Attempt: tries}
				go func() {
					// Both end only after the outcome is submitted: who sees the attempt's context end may use its
					// id again.
					defer cancel(nil)
					limited, release := context.WithDeadline(own, deadline)
					defer release()
					begin, release := context.WithDeadline(ctx, c.clock.at(v.BeginBy, deadline))
					defer release()
					defer context.AfterFunc(own, release)()
					value := try(limited, Attempt{v.Node, begin}, attempt, &o)
					c.submit(message{event: o})
					if c.debugs() {
						c.Log.Debug("attempt", "request", r.ID, "attempt", o.Attempt, "node", v.Node, "result", o.Result.String(), "us", o.Latency)
					}
					if o.Result == scheduler.OK {
						answers <- value
					}
				}()
				takeBack = cancel
				tries++
			case scheduler.CancelAttempt:
				takeBack(errTakenBack)
			case scheduler.Reject:
				c.counts.ended(r.Class, Rejected)
				if c.debugs() {
					c.Log.Debug("refused", "request", r.ID, "why", v.Reason, "retry_after_us", v.RetryAfter, "attempts", tries)
				}
				return none, &Refused{RetryAfter: time.Duration(v.RetryAfter) * time.Microsecond}
			case scheduler.Fail:
				c.counts.ended(r.Class, Failing)
				if c.debugs() {
					c.Log.Debug("failed", "request", r.ID, "why", v.Reason, "attempts", tries)
				}
				return none, ErrFailed
			}
			if !owed && tries == 0 {
				return none, ErrDuplicate
			}
			if !owed {
				verdicts = nil // served: the answer is on its way
			}
		case value := <-answers:
			c.counts.ended(r.Class, Served)
			return value, nil
		case <-ctx.Done():
			c.counts.left()
			c.lapse(call, tries)
			return none, context.Cause(ctx)
		case <-c.stopped:
			return none, ErrStopped
		}
	}
}

// try carries out one attempt and fills in its outcome.
func try[T any](ctx context.Context, a Attempt,
	attempt func(ctx context.Context, a Attempt) (T, scheduler.AttemptEnded), o *scheduler.AttemptEnded) T {
	began := time.Now()
	value, got := attempt(ctx, a)
	o.Result, o.ServedElsewhere, o.Alive = got.Result, got.ServedElsewhere, got.Alive
	if o.Result == scheduler.TimedOut && context.Cause(ctx) == errTakenBack {
		o.Result = scheduler.Cancelled
	}
	o.Latency = cmp.Or(got.Latency, scheduler.Micros(time.Since(began)/time.Microsecond))
	o.Final = o.Result == scheduler.OK
	return value
}

// debugs tells whether each request's way is logged. Ask first: the arguments alone would cost on every request.
func (c *Core) debugs() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

// lapse ends a request whose client has left. A send that was decided but not begun never will be.
func (c *Core) lapse(call *call, tries int) {
	if !c.submit(message{event: scheduler.ClientLeft{ID: call.id}, call: call}) {
		return
	}
	for {
		select {
		case v, owed := <-call.verdicts:
			if _, send := v.(scheduler.StartAttempt); send {
				c.submit(message{event: scheduler.AttemptEnded{ID: call.id, Attempt: tries, Result: scheduler.NotStarted}})
			}
			if !owed {
				return
			}
		case <-c.stopped:
			return
		}
	}
}
