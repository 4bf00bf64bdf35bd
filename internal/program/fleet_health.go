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

// Bounds of the monitor of the zone's health.
const (
	leastInbox   = 1024        // observations and messages that may wait for it, where the core's own inbox is shorter
	longestProbe = time.Minute // the scheduler is answered within this that a node is silent still
)

// sharedHealth is a front's part in the zones' shared health of nodes. It is empty where no file of the fleet is named.
type sharedHealth struct {
	monitor      *monitor.Monitor // nil where health is not shared
	sharesHealth bool
	fleetPath    string
	site         frontConfig // as of the start
	began        int64       // Unix time in microseconds
}

// newMonitor sets up the monitor of the zone's health as the operator's file tells. It is nil where that is off. The
// figures of the start, which the file has to fit, hold while the process runs.
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

// sendToFront sends a datagram to the front of a number, where there is a socket for that.
func (p *platform) sendToFront(to int, message []byte) {
	if p.peers != nil {
		p.peers.SendBytes(to, message)
	}
}

// runMonitor starts the monitor, where there is one, and has it hear what other fronts say. The messages' socket is open.
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

// dropped counts a datagram that is of no use.
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

// updateMonitor hands news of the node list on, where anybody wants it.
func (p *platform) updateMonitor(news scheduler.EndpointsChanged) {
	if p.monitor != nil {
		p.monitor.UpdateEndpoints(news)
	}
}

// reloadFleet reads the fleet's file anew, for settings that are about to hold. What it brings holds once the returned
// function was called, which does not fail for what the file says. Whether health is shared holds from a start on.
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

// healthFigures are the figures of the zone's health, nil where it is not shared.
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
