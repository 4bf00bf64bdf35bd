// Package routing runs requests through the scheduler: it carries out the attempts that the scheduler decides on and
// reports their outcomes. It is independent of any wire protocol. One goroutine, Core.Run, owns the scheduler; Do handles
// one request from submission to final answer.
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

// ErrFailed is the final answer to a request that may or may not have been carried out.
var ErrFailed = errors.New("the request failed")

// ErrDuplicate is returned if the request's id is that of another request, open or finished.
var ErrDuplicate = errors.New("a request with this id has been taken")

// ErrStopped is returned after Run has ended.
var ErrStopped = errors.New("the core has stopped")

// errAttemptCancelled is the cause of the context's end for an attempt that the scheduler cancelled.
var errAttemptCancelled = errors.New("attempt cancelled by the scheduler")

// RejectedError is the final answer after which the client may safely retry the request.
type RejectedError struct {
	RetryAfter time.Duration // the client should wait this long before it retries
}

// Error returns a text that is part of SFTP status texts (WriteFailed).
func (r *RejectedError) Error() string { return fmt.Sprintf("refused, come back in %v", r.RetryAfter) }

// Clock returns Unix time in microseconds, computed from its start time and the monotonic time since then, so that steps of
// the system clock move no deadline.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the present time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the present time.
func (c Clock) Now() scheduler.Micros {
	return scheduler.Micros(c.start.UnixMicro()) + scheduler.Micros(time.Since(c.start)/time.Microsecond)
}

// timeOf converts a time of this clock to a time.Time. It returns latest if that is earlier or if t is 0.
func (c Clock) timeOf(t scheduler.Micros, latest time.Time) time.Time {
	if converted := c.start.Add(time.Duration(t-scheduler.Micros(c.start.UnixMicro())) * time.Microsecond); t > 0 && converted.Before(latest) {
		return converted
	}
	return latest
}

// message carries an event to the loop of Run. inflight is set for Request and ClientLeft events. A request with admitBy set is
// held back until the scheduler is ready for it, or until that time.
type message struct {
	event    scheduler.Event
	inflight *inflight
	admitBy  scheduler.Micros
	query    func(s *scheduler.Scheduler) // if set, the loop runs it instead of handling an event
}

// Core owns the scheduler and the state of all requests.
type Core struct {
	clock              Clock
	scheduler          *scheduler.Scheduler
	checkHealth        func(node string) scheduler.HealthChecked
	inbox              chan message
	stopped            chan struct{}
	requests           map[string]*inflight // by request id; only the loop uses requests, usedIDs and waitingForCapacity
	usedIDs            idHistory            // ids of finished requests
	waitingForCapacity []message            // requests that wait until the scheduler is ready for them, the oldest first
	saveRequested      chan struct{}        // buffered; holds an element while the scheduler wants the learned state saved

	SendToPeer func(to int, a scheduler.Action) // sends a message to another front; set before Run, discards messages by default

	Observer Observer // is notified of attempts; set before Run, may be nil

	Log *slog.Logger // logs the progress of each request at level debug; set before Run, discards by default

	Guard *lifecycle.Guard // decides which operations are allowed now; set before Run, by default a guard of this core's own

	counters   counters
	announceID atomic.Pointer[func(id string)] // is called with the id of each submitted request
}

// New returns a core. The function probe runs a health check of a node; it must return within a bounded time.
func New(settings scheduler.Settings, seed int64, bounds limits.Limits, probe func(node string) scheduler.HealthChecked) (*Core, error) {
	sched, err := scheduler.New(settings, seed)
	if err != nil {
		return nil, fmt.Errorf("scheduler: %w", err)
	}
	return &Core{
		clock: NewClock(), scheduler: sched, checkHealth: probe, inbox: make(chan message, bounds.Requests.Inbox),
		stopped: make(chan struct{}), requests: map[string]*inflight{},
		usedIDs:       newIDHistory(scheduler.Micros(bounds.Requests.IDRetention/time.Microsecond), bounds.Requests.PastIDs),
		saveRequested: make(chan struct{}, 1), SendToPeer: func(int, scheduler.Action) {}, Log: slog.New(slog.DiscardHandler),
		Guard: lifecycle.New(bounds.Stop, slog.New(slog.DiscardHandler)),
	}, nil
}

// UpdateEndpoints passes a change of the endpoint list to the scheduler, before any request that is submitted later.
func (c *Core) UpdateEndpoints(news scheduler.EndpointsChanged) { c.submit(message{event: news}) }

// Handle passes a message of another front to the scheduler.
func (c *Core) Handle(e scheduler.Event) { c.submit(message{event: e}) }

// SetMaxOpen changes the maximum number of open requests.
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

// readyInterval is how often waiting requests are checked for admission. Capacity may become free by the passing of time
// alone, as a token bucket fills, so that no event announces it.
const readyInterval = 10 * time.Millisecond

// Run is the loop that owns the scheduler; it ends with ctx. It passes all pending events to the scheduler in one step and
// carries out the resulting actions in order.
func (c *Core) Run(ctx context.Context) {
	defer close(c.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []scheduler.Event
	handle := func(m message) {
		if m.query != nil { // the scheduler must know all events that came before the query
			c.step(c.clock.Now(), events, timer)
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
		case <-timer.C:
			events = append(events, scheduler.TimerFired{})
		case m := <-c.inbox:
			handle(m)
		}
		for pending := len(c.inbox); pending > 0; pending-- {
			handle(<-c.inbox)
		}
		now := c.clock.Now()
		c.step(now, events, timer)
		c.admitWaiting(now, timer)
	}
}

func (c *Core) step(now scheduler.Micros, events []scheduler.Event, timer *time.Timer) {
	if len(events) == 0 {
		return
	}
	for _, a := range c.scheduler.Step(now, events) {
		c.perform(a, now, timer)
	}
}

// admitWaiting admits the waiting requests that the scheduler is ready for or whose time is up. Each admitted request is
// passed to the scheduler before the next one is checked.
func (c *Core) admitWaiting(now scheduler.Micros, timer *time.Timer) {
	c.waitingForCapacity = slices.DeleteFunc(c.waitingForCapacity, func(m message) bool {
		r := m.event.(scheduler.Request)
		if now < m.admitBy && !c.scheduler.Ready(now, r) {
			return false
		}
		m.admitBy = 0
		if c.track(m) {
			c.step(now, []scheduler.Event{r}, timer)
		}
		return true
	})
	if len(c.waitingForCapacity) > 0 {
		timer.Reset(readyInterval)
	}
}

func (c *Core) perform(a scheduler.Action, now scheduler.Micros, timer *time.Timer) {
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
		timer.Reset(time.Duration(a.At-now) * time.Microsecond)
	}
}

// deliver passes an action to its request. A final action ends the request.
func (c *Core) deliver(id string, action scheduler.Action, final bool) {
	inflight := c.requests[id]
	if inflight == nil || inflight.ended {
		return
	}
	if start, ok := action.(scheduler.StartAttempt); ok {
		inflight.outstanding++
		c.observeStart(inflight, start)
	}
	inflight.actions <- action
	if final {
		c.endRequest(inflight)
	}
}
