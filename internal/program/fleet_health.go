package program

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"otterturn/internal/fleet/monitor"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/transport"
	"otterturn/scheduler"
)

// Bounds of the health monitor.
const (
	minInbox     = 1024        // events that may wait for the monitor, if the core's inbox is shorter
	maxProbeWait = time.Minute // the scheduler's health check of a silent node is answered after at most this time
)

// sharedHealth is the state of the node health that fronts share. It is empty without a fleet file.
type sharedHealth struct {
	monitor       *monitor.Monitor // nil where health is not shared
	healthEnabled bool
	fleetPath     string
	startConfig   frontConfig // the front's configuration at the start of the process
	startedAt     int64       // Unix time in microseconds
}

// newMonitor returns the health monitor that the fleet file configures, or nil where shared health is off. The front's
// configuration at the start, which the file must be consistent with, applies as long as the process runs.
func (p *platform) newMonitor(probe func(string) scheduler.HealthChecked) (*monitor.Monitor, error) {
	path := os.Getenv(fleetVariable)
	if path == "" {
		return nil, nil
	}
	settings := p.config.Settings.Scheduler
	p.startedAt = time.Now().UnixMicro()
	p.fleetPath, p.startConfig = path, frontConfig{
		self: settings.FrontIndex, fronts: settings.Fronts, peers: len(p.config.Peers) > 0, probing: settings.HealthChecks,
	}
	fleet, err := loadFleet(path, p.startConfig)
	if err != nil {
		return nil, configurationError{err}
	}
	p.healthEnabled = fleet.Health.Enabled
	if !p.healthEnabled {
		return nil, nil
	}
	config, err := fleet.healthConfig(p.startConfig, p.startedAt)
	if err != nil {
		return nil, configurationError{fmt.Errorf("%s: %w", path, err)}
	}
	return monitor.New(config, monitor.Bounds{Inbox: max(minInbox, p.limits.Requests.Inbox), MaxProbeWait: maxProbeWait}, monitor.Hooks{
		Now:    func() scheduler.Micros { return p.core.Now() },
		Probe:  probe,
		Report: func(e scheduler.Event) { p.core.Handle(e) },
		Send:   p.sendToFront,
		Log:    p.log,
	})
}

// sendToFront sends a datagram to the front with number to, if the socket for peer messages is open.
func (p *platform) sendToFront(to int, message []byte) {
	if p.peers != nil {
		p.peers.SendBytes(to, message)
	}
}

// startMonitor starts the monitor, if there is one, and connects it to the core and to the messages of other fronts. It
// must be called after the socket for peer messages was opened.
func (p *platform) startMonitor(ctx context.Context) {
	if p.monitor == nil {
		return
	}
	if p.peers != nil {
		p.peers.Intercept, p.peers.OnDrop = p.monitor.Intercept, p.countDrop
	}
	p.core.Observer = p.monitor
	go p.monitor.Run(ctx)
}

// countDrop counts and logs an invalid datagram by the kind of the fault.
func (p *platform) countDrop(from netip.AddrPort, reason error) {
	kind := monitor.DropUnknownKind
	switch {
	case errors.Is(reason, transport.ErrNoPeer):
		kind = monitor.DropUnknownSender
	case errors.Is(reason, transport.ErrTooLong):
		kind = monitor.DropTooLong
	}
	p.monitor.CountDrop(kind, "from", from.String(), "error", reason)
}

// updateMonitor passes a change of the endpoint list to the monitor, if there is one.
func (p *platform) updateMonitor(change scheduler.EndpointsChanged) {
	if p.monitor != nil {
		p.monitor.UpdateEndpoints(change)
	}
}

// reloadFleet reads the fleet file again and validates it together with settings, which are about to be applied. The
// returned function applies the file and does not fail because of its content. health.enabled can't change while the
// process runs.
func (p *platform) reloadFleet(settings scheduler.Settings) (apply func() error, err error) {
	if p.fleetPath == "" {
		return func() error { return nil }, nil
	}
	front := p.startConfig
	front.probing = settings.HealthChecks
	fleet, err := loadFleet(p.fleetPath, front)
	if err != nil {
		return nil, err
	}
	if fleet.Health.Enabled != p.healthEnabled {
		return nil, fmt.Errorf("%s: health.enabled: can't change while the program runs", p.fleetPath)
	}
	if p.monitor == nil {
		return func() error { return nil }, nil
	}
	config, err := fleet.healthConfig(front, p.startedAt)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.fleetPath, err)
	}
	return func() error { return p.monitor.Reconfigure(context.Background(), config) }, nil
}

// healthMetrics returns the counters of the health monitor, nil where health is not shared.
func (p *platform) healthMetrics(ctx context.Context) (*protocol.HealthMetrics, error) {
	if p.monitor == nil {
		return nil, nil
	}
	c, err := p.monitor.Counters(ctx)
	if err != nil {
		return nil, err
	}
	return &protocol.HealthMetrics{
		Probes: c.Probes, MessagesSent: c.Sent, BytesSent: c.SentBytes, MessagesReceived: c.Received,
		Dropped: c.Drops(), Shed: c.Shed, Lost: c.Lost, Avoided: c.Avoided,
	}, nil
}
