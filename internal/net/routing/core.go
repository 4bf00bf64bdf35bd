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

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/scheduler"
)

// ErrFailed is the final answer that promises nothing about a request's effect.
var ErrFailed = errors.New("the request failed")

// ErrDuplicate tells that a request's id is that of another one, which may be over.
var ErrDuplicate = errors.New("a request with this id has been taken")

// ErrStopped tells that the core has ended.
var ErrStopped = errors.New("the core has stopped")

// errAttemptCancelled ends an attempt that the scheduler cancelled.
var errAttemptCancelled = errors.New("the attempt was taken back")

// RejectedError is the final answer that makes trying again harmless.
type RejectedError struct {
	RetryAfter time.Duration // the client should stay away so long
}

func (r *RejectedError) Error() string { return fmt.Sprintf("refused, come back in %v", r.RetryAfter) }

// Clock tells Unix time in microseconds as of its start plus what has passed since, so a step of the system's
// clock moves no deadline.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present time.
func (c Clock) Now() scheduler.Micros {
	return scheduler.Micros(c.start.UnixMicro()) + scheduler.Micros(time.Since(c.start)/time.Microsecond)
}

// timeOf is when a time of this clock comes, or last if that is sooner or the time is 0.
func (c Clock) timeOf(t scheduler.Micros, last time.Time) time.Time {
	if own := c.start.Add(time.Duration(t-scheduler.Micros(c.start.UnixMicro())) * time.Microsecond); t > 0 && own.Before(last) {
		return own
	}
	return last
}

// message is an event on its way to the scheduler; call is set for a new request and for one that lapses. A
// request with a time stays outside until the scheduler has room for it, or until that time.
type message struct {
	event   scheduler.Event
	call    *call
	admitBy scheduler.Micros
	query   func(s *scheduler.Scheduler) // in the place of an event: run by the loop
}

// Core owns the scheduler.
type Core struct {
	clock              Clock
	scheduler          *scheduler.Scheduler
	checkHealth        func(node string) scheduler.HealthChecked
	inbox              chan message
	stopped            chan struct{}
	calls              map[string]*call // of the loop alone, as are
	usedIDs            idHistory        // ids of calls that are over, and
	waitingForCapacity []message        // requests that wait for room, the oldest first
	saveRequested      chan struct{}    // holds one while a record of what is learned is wanted

	SendToPeer func(to int, a scheduler.Action) // sends a message to another front; set before Run, none is sent without

	Observer Observer // hears of attempts; set before Run, nil for none

	Log *slog.Logger // each request's way at level debug; set before Run, nothing is logged without

	Guard *lifecycle.Guard // decides what may be taken and sent now; set before Run, one of its own without

	counters   counters
	announceID atomic.Pointer[func(id string)] // hears of each id that is taken
}

// New returns a core. probe asks a node for its health and load, and returns within a bounded time.
func New(set scheduler.Settings, seed int64, l limits.Limits, probe func(node string) scheduler.HealthChecked) (*Core, error) {
	decider, err := scheduler.New(set, seed)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return &Core{
		clock: NewClock(), scheduler: decider, checkHealth: probe, inbox: make(chan message, l.Requests.Inbox),
		stopped: make(chan struct{}), calls: map[string]*call{}, usedIDs: newIDHistory(scheduler.Micros(l.Requests.IDRetention/time.Microsecond), l.Requests.PastIDs),
		saveRequested: make(chan struct{}, 1), SendToPeer: func(int, scheduler.Action) {}, Log: slog.New(slog.DiscardHandler),
		Guard: lifecycle.New(l.Stop, slog.New(slog.DiscardHandler)),
	}, nil
}

// UpdateEndpoints hands news of the node list to the scheduler, ahead of any request submitted later.
func (c *Core) UpdateEndpoints(news scheduler.EndpointsChanged) { c.submit(message{event: news}) }

// Handle hands a message of another front to the scheduler.
func (c *Core) Handle(e scheduler.Event) { c.submit(message{event: e}) }

// SetMaxOpen tells the scheduler for how many open requests there is room from now on.
func (c *Core) SetMaxOpen(open int) {
	c.submit(message{event: scheduler.OpenLimitChanged{MaxOpen: open}})
}

func (c *Core) submit(m message) bool {
	select {
	case c.inbox <- m:
		return true
	case <-c.stopped:
		return false
	}
}

// readyInterval is how soon the core asks again for room while requests wait for it: it may come with time alone, as
// a limit's store fills.
const readyInterval = 10 * time.Millisecond

// Run lets the scheduler decide until ctx ends: events that wait go into one step together, its actions are
// carried out in order.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var events []scheduler.Event
	take := func(m message) {
		if m.query != nil { // what came ahead of it has to be known to the scheduler
			c.step(c.clock.Now(), events, alarm)
			events = events[:0]
			m.query(c.scheduler)
		} else if c.track(m) {
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
		c.admitWaiting(now, alarm)
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

// admitWaiting takes the requests for which there is room by now, each before the next is looked at.
func (c *Core) admitWaiting(now scheduler.Micros, alarm *time.Timer) {
	c.waitingForCapacity = slices.DeleteFunc(c.waitingForCapacity, func(m message) bool {
		r := m.event.(scheduler.Request)
		if now < m.admitBy && !c.scheduler.Ready(now, r) {
			return false
		}
		m.admitBy = 0
		if c.track(m) {
			c.step(now, []scheduler.Event{r}, alarm)
		}
		return true
	})
	if len(c.waitingForCapacity) > 0 {
		alarm.Reset(readyInterval)
	}
}

func (c *Core) perform(a scheduler.Action, now scheduler.Micros, alarm *time.Timer) {
	switch a := a.(type) {
	case scheduler.StartAttempt:
		c.deliver(a.ID, a, false)
	case scheduler.CancelAttempt:
		c.deliver(a.ID, a, false)
	case scheduler.Reject:
		c.deliver(a.ID, a, true)
	case scheduler.Fail:
		c.deliver(a.ID, a, true)
	case scheduler.CheckHealth:
		if c.Guard.Allow(lifecycle.StartBackground, time.Time{}) != nil {
			return
		}
		go func() { c.submit(message{event: c.checkHealth(a.Node)}) }()
	case scheduler.RequestCapacity:
		c.SendToPeer(a.To, a)
	case scheduler.GrantCapacity:
		c.SendToPeer(a.To, a)
	case scheduler.SaveState:
		select {
		case c.saveRequested <- struct{}{}:
		default:
		}
	case scheduler.SetTimer:
		alarm.Reset(time.Duration(a.At-now) * time.Microsecond)
	}
}

// deliver hands a verdict to the request that it is about; a final one ends it.
func (c *Core) deliver(id string, verdict scheduler.Action, final bool) {
	call := c.calls[id]
	if call == nil || call.over {
		return
	}
	if send, ok := verdict.(scheduler.StartAttempt); ok {
		call.outstanding++
		c.observeStart(call, send)
	}
	call.verdicts <- verdict
	if final {
		c.end(call)
	}
}
