// Package monitor is the shell of health.Monitor: one goroutine owns the core, passes it events from a bounded inbox and a
// timer, and performs its actions. All decisions are made in package health.
package monitor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"otterturn/internal/fleet/health"
	"otterturn/scheduler"
)

// ErrStopped means that the monitor has ended.
var ErrStopped = errors.New("the monitor of the zone's health has stopped")

// Hooks are the functions through which a Monitor acts. All must be set.
type Hooks struct {
	Now    func() scheduler.Micros                   // the scheduler's clock
	Probe  func(node string) scheduler.HealthChecked // probes a node and returns within a bounded time
	Report func(scheduler.Event)                     // delivers an event to the scheduler
	Send   func(to int, message []byte)              // sends a datagram to the front with number to, without blocking
	Log    *slog.Logger
}

// Bounds are the limits of a Monitor.
type Bounds struct {
	Inbox        int           // maximum queued observations and messages; further ones are dropped and counted
	MaxProbeWait time.Duration // a probe that the scheduler requests is answered as failed after this time
}

// Monitor runs a health.Monitor. Its methods may be called from any goroutine.
type Monitor struct {
	core         *health.Monitor // accessed only by the goroutine of Run
	hooks        Hooks
	maxProbeWait time.Duration
	inbox        *inbox
	waiters      waiters
	drops        drops
	stopped      chan struct{} // closed once Run has ended
}

// New returns a Monitor that is not running yet. The error names every invalid field of the configuration.
func New(c health.Config, b Bounds, h Hooks) (*Monitor, error) {
	core, err := health.New(c)
	if err != nil {
		return nil, err
	}
	m := &Monitor{core: core, hooks: h, maxProbeWait: b.MaxProbeWait, inbox: newInbox(b.Inbox), stopped: make(chan struct{})}
	m.drops.log = h.Log
	return m, nil
}

// Run runs the monitor until ctx is done. It passes all queued events to the core in one step.
func (m *Monitor) Run(ctx context.Context) {
	defer close(m.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var events []health.Event
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			events = append(events, health.TimerFired{})
		case <-m.inbox.notify:
		}
		entries := m.inbox.drain()
		for _, e := range entries {
			if e.query == nil {
				events = append(events, e.event)
				continue
			}
			m.step(events, timer) // the core processes earlier events before the query
			events = nil
			e.query()
		}
		m.step(events, timer)
	}
}

func (m *Monitor) step(events []health.Event, timer *time.Timer) {
	if len(events) == 0 {
		return
	}
	now := m.hooks.Now()
	for _, a := range m.core.Step(now, events) {
		m.perform(a, now, timer)
	}
	if slices.ContainsFunc(events, received) {
		m.drops.logNew(m.core.Counters().Dropped)
	}
}

// received reports whether an event is a message; the core may have dropped it or some of its entries.
func received(e health.Event) bool {
	_, ok := e.(health.MessageReceived)
	return ok
}

func (m *Monitor) perform(a health.Action, now scheduler.Micros, timer *time.Timer) {
	switch a := a.(type) {
	case health.StartProbe:
		go func() { m.inbox.put(health.ProbeEnded{HealthChecked: m.hooks.Probe(a.Node)}) }()
	case health.AnswerProbe:
		m.waiters.answer(a.HealthChecked)
	case health.ReportSilent:
		m.hooks.Report(a.NodeSilent)
		m.hooks.Log.Info("node silent in zone", "node", a.Node)
	case health.SendMessage:
		m.hooks.Send(a.To, a.Message.Encode())
	case health.SetTimer:
		timer.Reset(time.Duration(a.At-now) * time.Microsecond)
	}
}

// Probe probes a node for the scheduler, or answers from evidence of other fronts of the zone. It returns after
// Bounds.MaxProbeWait at the latest, or when the monitor ends.
func (m *Monitor) Probe(node string) scheduler.HealthChecked {
	failed := scheduler.HealthChecked{Node: node, Queue: -1}
	answer := m.waiters.add(node)
	m.inbox.put(health.ProbeRequested{Node: node})
	timeout := time.NewTimer(m.maxProbeWait)
	defer timeout.Stop()
	select {
	case p := <-answer:
		return p
	case <-timeout.C:
	case <-m.stopped:
	}
	m.waiters.remove(node, answer)
	return failed
}

// UpdateEndpoints passes on a change of the endpoint list.
func (m *Monitor) UpdateEndpoints(news scheduler.EndpointsChanged) {
	m.inbox.put(health.EndpointsChanged{Full: news.Full, Nodes: news.Endpoints})
}

// AttemptStarted records that an attempt was sent. It returns false if the inbox is full.
func (m *Monitor) AttemptStarted(node, id string, attempt int) bool {
	return m.inbox.offer(health.AttemptStarted{Node: node, ID: id, Attempt: attempt})
}

// AttemptEnded records the result of an attempt whose start was accepted. It is accepted even if the inbox is full.
func (m *Monitor) AttemptEnded(node string, e scheduler.AttemptEnded) {
	m.inbox.put(health.AttemptEnded{Node: node, ID: e.ID, Attempt: e.Attempt, Result: e.Result, Alive: e.Alive})
}

// Intercept handles a datagram from the front with number from. It returns false if the datagram is no health message.
func (m *Monitor) Intercept(from int, data []byte) bool {
	if !health.IsMessage(data) {
		return false
	}
	message, err := health.Decode(data)
	if err != nil {
		m.drops.add(health.DropUnreadable, "front", from, "error", err)
		return true
	}
	m.inbox.offer(health.MessageReceived{From: from, Message: message})
	return true
}

// Reconfigure replaces the configuration, or returns an error that names the invalid fields and changes nothing.
func (m *Monitor) Reconfigure(ctx context.Context, c health.Config) (err error) {
	queryErr := m.query(ctx, func() { err = m.core.Reconfigure(c) })
	if queryErr != nil {
		return fmt.Errorf("reconfigure health monitor: %w", queryErr)
	}
	return err
}

// query runs f between two steps and waits until it returns.
func (m *Monitor) query(ctx context.Context, f func()) error {
	done := make(chan struct{})
	m.inbox.add(entry{query: func() {
		f()
		close(done)
	}})
	select {
	case <-done:
		return nil
	case <-m.stopped:
		return ErrStopped
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
