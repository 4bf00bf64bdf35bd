// Package monitor is the shell around health.Monitor: one goroutine owns it, feeds it from a bounded inbox and a timer,
// and performs its actions. What it decides stands in package health.
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

// ErrStopped tells that the monitor has ended.
var ErrStopped = errors.New("the monitor of the zone's health has stopped")

// Hooks are what a Monitor acts through. All must be set.
type Hooks struct {
	Now    func() scheduler.Micros                   // the scheduler's clock
	Probe  func(node string) scheduler.HealthChecked // asks a node itself, and returns within a bounded time
	Report func(scheduler.Event)                     // tells the scheduler
	Send   func(to int, message []byte)              // sends a datagram to the front of a number, without waiting
	Log    *slog.Logger
}

// Bounds of a Monitor.
type Bounds struct {
	Inbox        int           // observations and messages that may wait; more are dropped and counted
	MaxProbeWait time.Duration // a probe that the scheduler wants is answered within this, as failed at the latest
}

// Monitor runs a health.Monitor. Its methods may be called from any goroutine.
type Monitor struct {
	core         *health.Monitor // of Run's goroutine
	hooks        Hooks
	maxProbeWait time.Duration
	inbox        *inbox
	waiters      waiters
	drops        drops
	stopped      chan struct{} // closed once Run has ended
}

// New returns a Monitor that does not run yet. The error names the field of the configuration that is wrong.
func New(c health.Config, b Bounds, h Hooks) (*Monitor, error) {
	core, err := health.New(c)
	if err != nil {
		return nil, err
	}
	m := &Monitor{core: core, hooks: h, maxProbeWait: b.MaxProbeWait, inbox: newInbox(b.Inbox), stopped: make(chan struct{})}
	m.drops.log = h.Log
	return m, nil
}

// Run has the monitor decide until ctx ends: events that wait go into one step together.
func (m *Monitor) Run(ctx context.Context) {
	defer close(m.stopped)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		var events []health.Event
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
			events = append(events, health.TimerFired{})
		case <-m.inbox.waiting:
		}
		entries := m.inbox.drain()
		for _, e := range entries {
			if e.query == nil {
				events = append(events, e.event)
				continue
			}
			m.step(events, alarm) // what came ahead of the question has to be known
			events = nil
			e.query()
		}
		m.step(events, alarm)
	}
}

func (m *Monitor) step(events []health.Event, alarm *time.Timer) {
	if len(events) == 0 {
		return
	}
	now := m.hooks.Now()
	for _, a := range m.core.Step(now, events) {
		m.perform(a, now, alarm)
	}
	if slices.ContainsFunc(events, received) {
		m.drops.logNew(m.core.Counters().Dropped)
	}
}

// received tells whether an event is a message, of which something may have been dropped.
func received(e health.Event) bool {
	_, ok := e.(health.MessageReceived)
	return ok
}

func (m *Monitor) perform(a health.Action, now scheduler.Micros, alarm *time.Timer) {
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
		alarm.Reset(time.Duration(a.At-now) * time.Microsecond)
	}
}

// Probe has a node probed for the scheduler: by this front, or by others of its zone. It returns within the bound, and
// at the monitor's end.
func (m *Monitor) Probe(node string) scheduler.HealthChecked {
	failed := scheduler.HealthChecked{Node: node, Queue: -1}
	answer := m.waiters.enter(node)
	m.inbox.put(health.ProbeRequested{Node: node})
	late := time.NewTimer(m.maxProbeWait)
	defer late.Stop()
	select {
	case p := <-answer:
		return p
	case <-late.C:
	case <-m.stopped:
	}
	m.waiters.leave(node, answer)
	return failed
}

// UpdateEndpoints takes in news of the node list.
func (m *Monitor) UpdateEndpoints(news scheduler.EndpointsChanged) {
	m.inbox.put(health.EndpointsChanged{Full: news.Full, Nodes: news.Endpoints})
}

// AttemptStarted takes in that an attempt was sent, unless there is no room for it.
func (m *Monitor) AttemptStarted(node, id string, attempt int) bool {
	return m.inbox.offer(health.AttemptStarted{Node: node, ID: id, Attempt: attempt})
}

// AttemptEnded takes in how an attempt ended whose start was taken in. There is room for it.
func (m *Monitor) AttemptEnded(node string, e scheduler.AttemptEnded) {
	m.inbox.put(health.AttemptEnded{Node: node, ID: e.ID, Attempt: e.Attempt, Result: e.Result, Alive: e.Alive})
}

// Intercept takes in a datagram of the front of a number. False is for one that is no message of a monitor's.
func (m *Monitor) Intercept(from int, text []byte) bool {
	if !health.IsMessage(text) {
		return false
	}
	message, err := health.Decode(text)
	if err != nil {
		m.drops.add(health.DropUnreadable, "front", from, "error", err)
		return true
	}
	m.inbox.offer(health.MessageReceived{From: from, Message: message})
	return true
}

// Reconfigure has another configuration hold, whole or not at all. The error names the field that is wrong.
func (m *Monitor) Reconfigure(ctx context.Context, c health.Config) (err error) {
	asked := m.query(ctx, func() { err = m.core.Reconfigure(c) })
	if asked != nil {
		return fmt.Errorf("the zone's health: %w", asked)
	}
	return err
}

// query runs a function between two steps, and waits for its end.
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
