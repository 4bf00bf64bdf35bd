// Package program assembles the program from its components: configuration, limits, signals, fronts and the routing core.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"

	"otterturn/internal/handover"
	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/control"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
	"otterturn/internal/roster"
)

// platform is a front that the platform runs, configured by its JSON file.
type platform struct {
	path       string // of the configuration file
	configText []byte // of the configuration that is in force
	config     protocol.Config
	limits     limits.Limits
	lines      *logs.Writer // the output of log
	log        *slog.Logger
	guard      *lifecycle.Guard
	nodes      *transport.Nodes
	core       *routing.Core
	front      *transport.Front

	peers        *transport.Peers                 // nil without messages between fronts
	otherProcess atomic.Pointer[handover.Channel] // to the predecessor or successor, while there is one
	tookOver     bool                             // this process received the state of a predecessor
	peerMessages bool                             // messages between fronts are enabled

	sharedHealth

	ready                    atomic.Bool // the process serves clients
	reloads, reloadsRejected atomic.Int64

	mu     sync.Mutex // held while a change of the node list is applied, so that pools and scheduler see the changes in order
	roster *roster.Roster
}

// ServePlatform runs the platform's front, configured by the RELAY_ environment variables, until SIGTERM or SIGINT. On SIGHUP
// it reads the configuration again, applies its settings and follows the discovery service that it names.
func ServePlatform() error {
	shutdown, reloadSignals := notifyShutdown(), notifyReload()
	ignoreClosedLog()
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return configurationError{errors.New("RELAY_CONFIG: not set")}
	}
	level, err := logLevel()
	if err != nil {
		return err
	}
	config, text, err := readConfig(path)
	if err != nil {
		return configurationError{err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := newPlatform(path, text, config, level)
	if err != nil {
		return err
	}
	defer p.lines.Flush(flushTimeout)
	go func() { p.guard.BeginShutdown(<-shutdown) }()
	listener, err := listenForClients(config.Listen, os.Getenv(acceptVariable))
	if err != nil {
		return err
	}
	if err := p.startControl(); err != nil {
		return err
	}
	socket := handoverPath(os.Getenv(acceptVariable), os.Getenv("TMPDIR"))
	if socket != "" {
		p.takeOver(socket)
	}
	p.start(ctx, reloadSignals)
	if socket != "" {
		p.listenForSuccessors(ctx, socket)
	}
	return p.serve(listener, config.Listen)
}

// serve serves clients until a shutdown. If accepting fails permanently, it answers the accepted requests as in a
// shutdown and returns the error.
func (p *platform) serve(listener net.Listener, address string) error {
	p.log.Info("serving", "address", address)
	served := make(chan error, 1)
	go func() { served <- p.front.Serve(listener) }()
	p.ready.Store(true)
	var acceptErr error
	select {
	case acceptErr = <-served:
	case <-p.guard.Stopping():
	}
	p.ready.Store(false)
	p.log.Info("stopping")
	err := p.front.Stop(p.core.SetMaxOpen)
	tally := p.core.Tally()
	p.log.Info("stopped", "after", p.guard.Since().String(), "open", tally.Open, "ended_by_shutdown", tally.EndedByShutdown,
		"violations", p.guard.Violations())
	return errors.Join(acceptErr, err)
}

// newPlatform builds the components without starting them.
func newPlatform(path string, text []byte, config protocol.Config, level slog.Level) (*platform, error) {
	settings := config.Settings
	siteLimits := limitsOf(config)
	setRuntimeLimits(siteLimits)
	lines := logs.NewWriter(os.Stderr)
	log := logs.New(lines, level)
	p := &platform{
		path: path, configText: text, config: config, limits: siteLimits, lines: lines, log: log, guard: lifecycle.New(siteLimits.Stop, log),
		nodes: transport.NewNodes(siteLimits), roster: roster.New(), peerMessages: settings.Scheduler.PeerMessages,
	}
	settings.Scheduler.MaxOpen = siteLimits.Requests.Scheduled
	probe := transport.NewHealthChecker(p.nodes, settings, p.log).Check
	var err error
	if p.monitor, err = p.newMonitor(probe); err != nil {
		return nil, err
	}
	if p.monitor != nil {
		probe = p.monitor.Probe
	}
	core, err := routing.New(settings.Scheduler, config.Seed, siteLimits, probe)
	if err != nil {
		return nil, err
	}
	core.Log, core.Guard = p.log, p.guard
	p.core = core
	p.front = transport.NewFront(settings, siteLimits, transport.NewRoundTripper(core, p.nodes))
	return p, nil
}

// limitsOf computes the limits of a configuration.
func limitsOf(config protocol.Config) limits.Limits {
	settings := config.Settings
	return limits.New(limits.Site{
		MemoryMB: config.MemoryMB, Sockets: config.Sockets, Open: settings.MaxOpen,
		NodeIdleTimeout: settings.NodeIdleTimeout, Connect: settings.Connect, MaxDeadline: settings.MaxDeadline, DrainGrace: settings.DrainGrace,
		DiscoveryFronts: settings.DiscoveryFronts,
	})
}

// start starts the background components.
func (p *platform) start(ctx context.Context, reloadSignals <-chan os.Signal) {
	if len(p.config.Peers) > 0 && p.peers == nil {
		// Peer messages may be lost at any time, so a front serves without its socket: its cold nodes get less load.
		peers, err := retryStart(func() (*transport.Peers, error) {
			return transport.ListenPeers(p.config.PeerListen, p.config.Peers, p.limits, p.log)
		})
		if err != nil {
			p.log.Error("peer messages unavailable", "error", err)
		}
		p.peers = peers
	}
	if p.peers != nil {
		p.core.SendToPeer = p.peers.Send
	}
	p.startMonitor(ctx)
	if p.peers != nil {
		go p.peers.Run(ctx, p.core.Handle)
	}
	go p.core.Run(ctx)
	go p.nodes.Run(ctx)
	if !p.tookOver { // a list that was handed over is newer than the configured one
		p.updateNodes(p.config.Known)
	}
	go p.watchDiscovery(ctx, reloadSignals)
}

// startControl serves the operators' HTTP interface if an address is configured.
func (p *platform) startControl() error {
	addr := p.config.Control
	if override := os.Getenv("RELAY_CONTROL"); override != "" { // during an upgrade the second process of a front needs an address of its own
		addr = override
	}
	if addr == "" {
		return nil
	}
	l, err := retryStart(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	go func() {
		if err := control.New(p, p.limits).Serve(l); err != nil {
			p.log.Error("operator address failed", "error", err)
		}
	}()
	return nil
}

// setRuntimeLimits limits the Go runtime to one core and sets its memory limit, near which it collects garbage more often.
func setRuntimeLimits(l limits.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(l.Memory.Runtime)
}
