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
	leastInbox   = 1024        // events that may wait for the monitor, if the core's inbox is shorter
	longestProbe = time.Minute // the scheduler's health check of a silent node is answered after at most this time
)

// sharedHealth is the state of the node health that fronts share. It is empty without a fleet file.
type sharedHealth struct {
	monitor      *monitor.Monitor // nil where health is not shared
	sharesHealth bool
	fleetPath    string
	site         frontConfig // at the start
	began        int64       // Unix time in microseconds
}

// newMonitor returns the health monitor that the fleet file configures, or nil where shared health is off. The front's
// configuration at the start, which the file must be consistent with, applies as long as the process runs.
func (p *platform) newMonitor(probe func(string) scheduler.HealthChecked) (*monitor.Monitor, error) {
	path := os.Getenv(fleetVariable)
	if path == "" {
		return nil, nil
	}
	set := p.config.Settings.Scheduler
	p.began = time.Now().UnixMicro()
	p.fleetPath, p.site = path, frontConfig{self: set.FrontIndex, fronts: set.Fronts, peers: len(p.config.Peers) > 0, probing: set.HealthChecks}
	fleet, err := loadFleet(path, p.site)
	if err != nil {
		return nil, misuse{err}
	}
	p.sharesHealth = fleet.Health.Enabled
	if !p.sharesHealth {
		return nil, nil
	}
	config, err := fleet.config(p.site, p.began)
	if err != nil {
		return nil, misuse{fmt.Errorf("%s: %w", path, err)}
	}
	return monitor.New(config, monitor.Bounds{Inbox: max(leastInbox, p.limits.Requests.Inbox), MaxProbeWait: longestProbe}, monitor.Hooks{
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

// runMonitor starts the monitor, if there is one, and connects it to the core and to the messages of other fronts. It
// must be called after the socket for peer messages was opened.
func (p *platform) runMonitor(ctx context.Context) {
	if p.monitor == nil {
		return
	}
	if p.peers != nil {
		p.peers.Intercept, p.peers.OnDrop = p.monitor.Intercept, p.dropped
	}
	p.core.Observer = p.monitor
	go p.monitor.Run(ctx)
}

// dropped counts and logs an invalid datagram by the kind of the fault.
func (p *platform) dropped(from netip.AddrPort, why error) {
	kind := monitor.DropUnknownKind
	switch {
	case errors.Is(why, transport.ErrNoPeer):
		kind = monitor.DropUnknownSender
	case errors.Is(why, transport.ErrTooLong):
		kind = monitor.DropTooLong
	}
	p.monitor.Drop(kind, "from", from.String(), "error", why)
}

// updateMonitor passes a change of the endpoint list to the monitor, if there is one.
func (p *platform) updateMonitor(news scheduler.EndpointsChanged) {
	if p.monitor != nil {
		p.monitor.UpdateEndpoints(news)
	}
}

// reloadFleet reads and validates the fleet file again, together with set, the scheduler settings that are about to be
// applied. The returned function applies it and does not fail because of the file's content. health.enabled can't change
// while the process runs.
func (p *platform) reloadFleet(set scheduler.Settings) (apply func() error, err error) {
	if p.fleetPath == "" {
		return func() error { return nil }, nil
	}
	site := p.site
	site.probing = set.HealthChecks
	fleet, err := loadFleet(p.fleetPath, site)
	if err != nil {
		return nil, err
	}
	if fleet.Health.Enabled != p.sharesHealth {
		return nil, fmt.Errorf("%s: health.enabled: can't change while the program runs", p.fleetPath)
	}
	if p.monitor == nil {
		return func() error { return nil }, nil
	}
	config, err := fleet.config(site, p.began)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.fleetPath, err)
	}
	return func() error { return p.monitor.Reconfigure(context.Background(), config) }, nil
}

// healthFigures returns the counters of the health monitor, nil where health is not shared.
func (p *platform) healthFigures(ctx context.Context) (*protocol.HealthFigures, error) {
	if p.monitor == nil {
		return nil, nil
	}
	c, err := p.monitor.Counters(ctx)
	if err != nil {
		return nil, err
	}
	return &protocol.HealthFigures{
		Probes: c.Probes, MessagesSent: c.Sent, BytesSent: c.SentBytes, MessagesReceived: c.Received,
		Dropped: c.Drops(), Shed: c.Shed, Lost: c.Lost, Condemned: c.Avoided,
	}, nil
}
