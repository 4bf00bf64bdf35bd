// Package routing is the core of the program: requests, attempts and outcomes. It knows no wire. One goroutine
// owns the scheduler of package scheduler; Do is the life of one request.
package routing

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
	"otterturn/scheduler"
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
func (c Clock) Now() scheduler.Micros {
	return scheduler.Micros(c.start.UnixMicro()) + scheduler.Micros(time.Since(c.start)/time.Microsecond)
}

// at is when a time of this clock comes, or last if that is sooner or the time is 0.
func (c Clock) at(t scheduler.Micros, last time.Time) time.Time {
	if own := c.start.Add(time.Duration(t-scheduler.Micros(c.start.UnixMicro())) * time.Microsecond); t > 0 && own.Before(last) {
		return own
	}
	return last
}

// message is an event on its way to the scheduler; call is set for a new request and for one that lapses. A
// request with a time stays outside until the scheduler has room for it, or until that time.
type message struct {
	event scheduler.Event
	call  *call
	until scheduler.Micros
	ask   func(s *scheduler.Scheduler) // in the place of an event: run by the loop
}

// Core owns the scheduler.
type Core struct {
	clock     Clock
	scheduler *scheduler.Scheduler
	probe     func(node string) scheduler.HealthChecked
	inbox     chan message
	stopped   chan struct{}
	calls     map[string]*call // of the loop alone, as are
	taken     taken            // ids of calls that are over, and
	waiting   []message        // requests that wait for room, the oldest first
	writeDown chan struct{}    // holds one while a record of what is learned is wanted

	Note func(to int, a scheduler.Action) // sends a message to another front; set before Run, none is sent without

	Observer Observer // hears of attempts; set before Run, nil for none

	Log *slog.Logger // each request's way at level debug; set before Run, nothing is logged without

	counts   counts
	announce atomic.Pointer[func(id string)] // hears of each id that is taken
}

// New returns a core. probe asks a node for its health and load, and returns within a bounded time.
func New(set scheduler.Settings, seed int64, l limits.Limits, probe func(node string) scheduler.HealthChecked) (*Core, error) {
	decider, err := scheduler.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return &Core{clock: NewClock(), scheduler: decider, probe: probe, inbox: make(chan message, l.Requests.Inbox),
		stopped: make(chan struct{}), calls: map[string]*call{}, taken: newTaken(scheduler.Micros(l.Requests.IDRetention/time.Microsecond), l.Requests.PastIDs),
		writeDown: make(chan struct{}, 1), Note: func(int, scheduler.Action) {}, Log: slog.New(slog.DiscardHandler)}, nil
}

// Tell hands news of the node list to the scheduler, ahead of any request submitted later.
func (c *Core) Tell(news scheduler.EndpointsChanged) { c.submit(message{event: news}) }

// Hear hands a message of another front to the scheduler.
func (c *Core) Hear(e scheduler.Event) { c.submit(message{event: e}) }

// Room tells the scheduler for how many open requests there is room from now on.
func (c *Core) Room(open int) { c.submit(message{event: scheduler.OpenLimitChanged{MaxOpen: open}}) }

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
	var events []scheduler.Event
	take := func(m message) {
		if m.ask != nil { // what came ahead of it has to be known to the scheduler
			c.step(c.clock.Now(), events, alarm)
			events = events[:0]
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
			events = append(events, scheduler.TimerFired{})
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

func (c *Core) step(now scheduler.Micros, events []scheduler.Event, alarm *time.Timer) {
	if len(events) == 0 {
		return
	}
	for _, a := range c.scheduler.Step(now, events) {
		c.perform(a, now, alarm)
	}
}

// letIn takes the requests for which there is room by now, each before the next is looked at.
func (c *Core) letIn(now scheduler.Micros, alarm *time.Timer) {
	c.waiting = slices.DeleteFunc(c.waiting, func(m message) bool {
		r := m.event.(scheduler.Request)
		if now < m.until && !c.scheduler.Ready(now, r) {
			return false
		}
		m.until = 0
		if c.admit(m) {
			c.step(now, []scheduler.Event{r}, alarm)
		}
		return true
	})
	if len(c.waiting) > 0 {
		alarm.Reset(readyAgain)
	}
}

func (c *Core) perform(a scheduler.Action, now scheduler.Micros, alarm *time.Timer) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		c.rule(a.ID, a, false)
	case scheduler.CancelAttempt:
		c.rule(a.ID, a, false)
	case scheduler.Reject:
		c.rule(a.ID, a, true)
	case scheduler.Fail:
		c.rule(a.ID, a, true)
	case scheduler.CheckHealth:
		go func() { c.submit(message{event: c.probe(a.Node)}) }()
	case scheduler.RequestCapacity:
		c.Note(a.To, a)
	case scheduler.GrantCapacity:
		c.Note(a.To, a)
	case scheduler.SaveState:
		select {
		case c.writeDown <- struct{}{}:
		default:
		}
	case scheduler.SetTimer:
		alarm.Reset(time.Duration(a.At-now) * time.Microsecond)
	}
}

// rule hands a verdict to the request that it is about; a final one ends it.
func (c *Core) rule(id string, verdict scheduler.Action, final bool) {
	call := c.calls[id]
	if call == nil || call.over {
		return
	}
	if send, ok := verdict.(scheduler.StartAttempt); ok {
		call.out++
		c.observeStart(call, send)
	}
	call.verdicts <- verdict
	if final {
		c.end(call)
	}
}
