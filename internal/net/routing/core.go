// Package routing is the core of the program: requests, attempts and outcomes. It knows no wire. One goroutine
// owns the scheduler of package rules; Do is the life of one request.
package routing

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
	"otterturn/rules"
)

// ErrFailed is the final answer that promises nothing about a request's effect.
var ErrFailed = errors.New("the request failed")

// ErrDuplicate tells that a request's id is that of another one, which may be over.
var ErrDuplicate = errors.New("a request with this id has been taken")

// ErrStopped tells that the core has ended.
var ErrStopped = errors.New("the core has stopped")

// errTakenBack ends an attempt that the scheduler cancelled.
var errTakenBack = errors.New("the attempt was taken back")

// Refused is the final answer that makes trying again harmless.
type Refused struct {
	RetryAfter time.Duration // the client should stay away so long
}

func (r *Refused) Error() string { return fmt.Sprintf("refused, come back in %v", r.RetryAfter) }

// Clock tells Unix time in microseconds as of its start plus what has passed since, so a step of the system's
// clock moves no deadline.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present time.
func (c Clock) Now() rules.Micros {
	return rules.Micros(c.start.UnixMicro()) + rules.Micros(time.Since(c.start)/time.Microsecond)
}

// call is a request that is owed an answer, or one that is over with an attempt still out. Its verdicts are
// closed when nothing more is owed. The rest is the loop's.
type call struct {
	id       string
	verdicts chan rules.Action
	taken    chan struct{} // closed once the scheduler has it
	over     bool
	out      int // sends without an outcome
}

// verdictRoom holds all verdicts that can wait for one request: a send, its cancel, a final answer.
const verdictRoom = 4

// message is an event on its way to the scheduler; call is set for a new request and for one that lapses. A
// request with a time stays outside until the scheduler has room for it, or until that time.
type message struct {
	event rules.Event
	call  *call
	until rules.Micros
	ask   func(s *rules.Scheduler) // in the place of an event: run by the loop
}

// Core owns the scheduler.
type Core struct {
	clock     Clock
	scheduler *rules.Scheduler
	probe     func(node string) rules.Probed
	inbox     chan message
	stopped   chan struct{}
	calls     map[string]*call // of the loop alone, as are
	taken     taken            // ids of calls that are over, and
	waiting   []message        // requests that wait for room, the oldest first
	writeDown chan struct{}    // holds one while a record of what is learned is wanted

	Note func(to int, a rules.Action) // sends a message to another front; set before Run, none is sent without

	Log *slog.Logger // each request's way at level debug; set before Run, nothing is logged without

	counts   counts
	announce atomic.Pointer[func(id string)] // hears of each id that is taken
}

// New returns a core. probe asks a node for its health and load, and returns within a bounded time.
func New(set rules.Settings, seed int64, l limits.Limits, probe func(node string) rules.Probed) (*Core, error) {
	scheduler, err := rules.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return &Core{clock: NewClock(), scheduler: scheduler, probe: probe, inbox: make(chan message, l.Inbox),
		stopped: make(chan struct{}), calls: map[string]*call{}, taken: newTaken(rules.Micros(l.IDKeep/time.Microsecond), l.IDs),
		writeDown: make(chan struct{}, 1), Note: func(int, rules.Action) {}, Log: slog.New(slog.DiscardHandler)}, nil
}

// Tell hands news of the node list to the scheduler, ahead of any request submitted later.
func (c *Core) Tell(news rules.Nodes) { c.submit(message{event: news}) }

// Hear hands a message of another front to the scheduler.
func (c *Core) Hear(e rules.Event) { c.submit(message{event: e}) }

// Room tells the scheduler for how many open requests there is room from now on.
func (c *Core) Room(open int) { c.submit(message{event: rules.Room{Open: open}}) }

func (c *Core) submit(m message) bool {
	select {
	case c.inbox <- m:
		return true
	case <-c.stopped:
		return false
	}
}

// readyAgain is how soon the core asks again for room while requests wait for it: it may come with time alone, as
// a limit's store fills.
const readyAgain = 10 * time.Millisecond

// Run lets the scheduler decide until ctx ends: events that wait go into one step together, its actions are
// carried out in order.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var events []rules.Event
	take := func(m message) {
		if m.ask != nil {
			m.ask(c.scheduler)
		} else if c.admit(m) {
			events = append(events, m.event)
		}
	}
	for {
		events = events[:0]
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
			events = append(events, rules.Alarm{})
		case m := <-c.inbox:
			take(m)
		}
		for waiting := len(c.inbox); waiting > 0; waiting-- {
			take(<-c.inbox)
		}
		now := c.clock.Now()
		c.step(now, events, alarm)
		c.letIn(now, alarm)
	}
}

func (c *Core) step(now rules.Micros, events []rules.Event, alarm *time.Timer) {
	if len(events) == 0 {
		return
	}
	for _, a := range c.scheduler.Step(now, events) {
		c.perform(a, now, alarm)
	}
}

// letIn takes the requests for which there is room by now, each before the next is looked at.
func (c *Core) letIn(now rules.Micros, alarm *time.Timer) {
	c.waiting = slices.DeleteFunc(c.waiting, func(m message) bool {
		r := m.event.(rules.Request)
		if now < m.until && !c.scheduler.Ready(now, r) {
			return false
		}
		m.until = 0
		if c.admit(m) {
			c.step(now, []rules.Event{r}, alarm)
		}
		return true
	})
	if len(c.waiting) > 0 {
		alarm.Reset(readyAgain)
	}
}

// admit keeps the table of calls in step with an event, and tells whether the scheduler is to hear of it.
func (c *Core) admit(m message) bool {
	switch e := m.event.(type) {
	case rules.Request:
		if m.until > 0 {
			c.waiting = append(c.waiting, m)
			return false
		}
		close(m.call.taken)
		// The scheduler keeps requests by id: a second one under an id that is in use would take the first one's
		// place, or be ended by the outcome of an attempt that is still out for it. One that is over must not run again.
		if c.calls[e.ID] != nil || c.taken.has(e.ID) {
			close(m.call.verdicts)
			return false
		}
		c.calls[e.ID] = m.call
	case rules.Outcome:
		call := c.calls[e.ID]
		if call == nil {
			return false
		}
		call.out--
		if e.Final || call.over {
			c.end(call)
		}
	case rules.Lapsed:
		if i := slices.IndexFunc(c.waiting, func(w message) bool { return w.call == m.call }); i >= 0 {
			c.waiting = slices.Delete(c.waiting, i, i+1)
			close(m.call.verdicts)
		}
		if c.calls[e.ID] != m.call { // never admitted, or over
			return false
		}
		c.end(m.call)
	}
	return true
}

// end closes a request's verdicts: nothing more is owed for it. Its id stays taken while an attempt is out.
func (c *Core) end(call *call) {
	if !call.over {
		call.over = true
		close(call.verdicts)
	}
	if call.out == 0 {
		delete(c.calls, call.id)
		c.taken.add(c.clock.Now(), call.id)
	}
}

func (c *Core) perform(a rules.Action, now rules.Micros, alarm *time.Timer) {
	switch a := a.(type) {
	case rules.Send:
		c.rule(a.ID, a, false)
	case rules.Cancel:
		c.rule(a.ID, a, false)
	case rules.Refuse:
		c.rule(a.ID, a, true)
	case rules.Fail:
		c.rule(a.ID, a, true)
	case rules.Probe:
		go func() { c.submit(message{event: c.probe(a.Node)}) }()
	case rules.Ask:
		c.Note(a.To, a)
	case rules.Grant:
		c.Note(a.To, a)
	case rules.WriteDown:
		select {
		case c.writeDown <- struct{}{}:
		default:
		}
	case rules.SetAlarm:
		alarm.Reset(time.Duration(a.At-now) * time.Microsecond)
	}
}

// rule hands a verdict to the request that it is about; a final one ends it.
func (c *Core) rule(id string, verdict rules.Action, final bool) {
	call := c.calls[id]
	if call == nil || call.over {
		return
	}
	if _, send := verdict.(rules.Send); send {
		call.out++
	}
	call.verdicts <- verdict
	if final {
		c.end(call)
	}
}

// Entry is a request that the core has taken and that Carry brings to its final answer.
type Entry struct {
	core     *Core
	request  rules.Request
	call     *call
	deadline time.Time
}

func (c *Core) enter(r rules.Request, until rules.Micros) (*Entry, error) {
	e := &Entry{core: c, request: r, call: &call{id: r.ID, verdicts: make(chan rules.Action, verdictRoom),
		taken: make(chan struct{})}}
	e.deadline = time.Now().Add(time.Duration(r.Left) * time.Microsecond)
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
func (c *Core) EnterWhenReady(ctx context.Context, r rules.Request, most time.Duration) (*Entry, error) {
	e, err := c.enter(r, c.clock.Now()+rules.Micros(most/time.Microsecond))
	if err != nil {
		return nil, err
	}
	select {
	case <-e.call.taken:
		e.deadline = time.Now().Add(time.Duration(r.Left) * time.Microsecond)
		return e, nil
	case <-ctx.Done():
		c.lapse(e.call, 0)
		return nil, context.Cause(ctx)
	case <-c.stopped:
		return nil, ErrStopped
	}
}

// Do is the life of one request: it is submitted, and carried to its one final answer.
func Do[T any](ctx context.Context, c *Core, r rules.Request,
	attempt func(ctx context.Context, node string) (T, rules.Outcome)) (T, error) {
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
// connection stops no work.
func Carry[T any](ctx context.Context, e *Entry,
	attempt func(ctx context.Context, node string) (T, rules.Outcome)) (T, error) {
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
			case rules.Send:
				own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
				o := rules.Outcome{ID: r.ID, Attempt: tries}
				go func() {
					// Both end only after the outcome is submitted: who sees the attempt's context end may use its
					// id again.
					defer cancel(nil)
					limited, release := context.WithDeadline(own, deadline)
					defer release()
					value := try(limited, v.Node, attempt, &o)
					c.submit(message{event: o})
					if c.debugs() {
						c.Log.Debug("attempt", "request", r.ID, "attempt", o.Attempt, "node", v.Node, "result", o.Result.String(), "us", o.Latency)
					}
					if o.Result == rules.OK {
						answers <- value
					}
				}()
				takeBack = cancel
				tries++
			case rules.Cancel:
				takeBack(errTakenBack)
			case rules.Refuse:
				c.counts.ended(r.Class, Rejected)
				if c.debugs() {
					c.Log.Debug("refused", "request", r.ID, "why", v.Why, "retry_after_us", v.RetryAfter, "attempts", tries)
				}
				return none, &Refused{RetryAfter: time.Duration(v.RetryAfter) * time.Microsecond}
			case rules.Fail:
				c.counts.ended(r.Class, Failing)
				if c.debugs() {
					c.Log.Debug("failed", "request", r.ID, "why", v.Why, "attempts", tries)
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
func try[T any](ctx context.Context, node string,
	attempt func(ctx context.Context, node string) (T, rules.Outcome), o *rules.Outcome) T {
	began := time.Now()
	value, got := attempt(ctx, node)
	o.Result, o.Elsewhere, o.Alive = got.Result, got.Elsewhere, got.Alive
	if o.Result == rules.TimedOut && context.Cause(ctx) == errTakenBack {
		o.Result = rules.Cancelled
	}
	o.Latency = cmp.Or(got.Latency, rules.Micros(time.Since(began)/time.Microsecond))
	o.Final = o.Result == rules.OK
	return value
}

// debugs tells whether each request's way is logged. Ask first: the arguments alone would cost on every request.
func (c *Core) debugs() bool { return c.Log.Enabled(context.Background(), slog.LevelDebug) }

// lapse ends a request whose client has left. A send that was decided but not begun never will be.
func (c *Core) lapse(call *call, tries int) {
	if !c.submit(message{event: rules.Lapsed{ID: call.id}, call: call}) {
		return
	}
	for {
		select {
		case v, owed := <-call.verdicts:
			if _, send := v.(rules.Send); send {
				c.submit(message{event: rules.Outcome{ID: call.id, Attempt: tries, Result: rules.Moot}})
			}
			if !owed {
				return
			}
		case <-c.stopped:
			return
		}
	}
}
