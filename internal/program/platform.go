// Package program wires the parts together: configuration, limits, signals, and the fronts before the core.
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

// platform is the platform's front.
type platform struct {
	path   string // of the configuration
	text   []byte // of it, as it is in force
	config protocol.Config
	limits limits.Limits
	lines  *logs.Writer // under log
	log    *slog.Logger
	guard  *lifecycle.Guard
	nodes  *transport.Nodes
	core   *routing.Core
	front  *transport.Front

	peers        *transport.Peers                 // nil where fronts don't talk
	otherProcess atomic.Pointer[handover.Channel] // to the other process of this front, while there are two
	succeeded    bool                             // state was handed over
	peerMessages bool                             // fronts may say something to each other

	sharedHealth

	ready                    atomic.Bool // clients are served
	reloads, reloadsRejected atomic.Int64

	mu     sync.Mutex // held from news of the list until pool and scheduler have it, so that they hear it in order
	roster *roster.Roster
}

// Platform runs the platform's front, as the RELAY_ variables tell, until SIGTERM or an interrupt. At SIGHUP it
// reads the configuration again, follows the discovery that it names then and takes over its settings.
func Platform() error {
	shutdown, hangups := notifyShutdown(), notifyReload()
	ignoreClosedLog()
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return misuse{errors.New("RELAY_CONFIG: not set")}
	}
	level, err := logLevel()
	if err != nil {
		return err
	}
	config, text, err := readConfig(path)
	if err != nil {
		return misuse{err}
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	p, err := newPlatform(path, text, config, level)
	if err != nil {
		return err
	}
	defer p.lines.Flush(flushTimeout)
	go func() { p.guard.BeginShutdown(<-shutdown) }()
	listener, err := clientsListener(config.Listen, os.Getenv(acceptVariable))
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
	p.run(ctx, hangups)
	if socket != "" {
		p.listenForSuccessors(ctx, socket)
	}
	return p.serve(listener, config.Listen)
}

// serve serves clients until a shutdown. Where accepting has failed for good, what was taken is answered as in a shutdown.
func (p *platform) serve(listener net.Listener, address string) error {
	p.log.Info("serving", "address", address)
	served := make(chan error, 1)
	go func() { served <- p.front.Serve(listener) }()
	p.ready.Store(true)
	var failed error
	select {
	case failed = <-served:
	case <-p.guard.Stopping():
	}
	p.ready.Store(false)
	p.log.Info("stopping")
	err := p.front.Stop(p.core.SetMaxOpen)
	tally := p.core.Tally()
	p.log.Info("stopped", "after", p.guard.Since().String(), "open", tally.Open, "ended_by_shutdown", tally.EndedByShutdown,
		"violations", p.guard.Violations())
	return errors.Join(failed, err)
}

// newPlatform builds the parts. None of them runs yet.
func newPlatform(path string, text []byte, config protocol.Config, level slog.Level) (*platform, error) {
	set := config.Settings
	l := limitsOf(config)
	limitRuntime(l)
	lines := logs.NewWriter(os.Stderr)
	log := logs.New(lines, level)
	p := &platform{
		path: path, text: text, config: config, limits: l, lines: lines, log: log, guard: lifecycle.New(l.Stop, log),
		nodes: transport.NewNodes(l), roster: roster.New(), peerMessages: set.Scheduler.PeerMessages,
	}
	set.Scheduler.MaxOpen = l.Requests.Scheduled
	probe := transport.NewHealthChecker(p.nodes, set, p.log).Check
	var err error
	if p.monitor, err = p.newMonitor(probe); err != nil {
		return nil, err
	}
	if p.monitor != nil {
		probe = p.monitor.Probe
	}
	core, err := routing.New(set.Scheduler, config.Seed, l, probe)
	if err != nil {
		return nil, err
	}
	core.Log, core.Guard = p.log, p.guard
	p.core = core
	p.front = transport.NewFront(set, l, transport.NewRoundTripper(core, p.nodes))
	return p, nil
}

// limitsOf computes the limits of a configuration.
func limitsOf(config protocol.Config) limits.Limits {
	set := config.Settings
	return limits.For(limits.Site{
		MemoryMB: config.MemoryMB, Sockets: config.Sockets, Open: set.MaxOpen,
		ConnIdle: set.ConnIdle, Connect: set.Connect, Deadline: set.LongestWait, DrainGrace: set.DrainGrace,
		Askers: set.Askers,
	})
}

// run starts the parts that go on beside the clients.
func (p *platform) run(ctx context.Context, hangups <-chan os.Signal) {
	if len(p.config.Peers) > 0 && p.peers == nil {
		// Messages may be lost, so a front without its socket serves: cold nodes get less of it.
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
	p.runMonitor(ctx)
	if p.peers != nil {
		go p.peers.Run(ctx, p.core.Handle)
	}
	go p.core.Run(ctx)
	go p.nodes.Run(ctx)
	if !p.succeeded { // else the list is newer than the one that it was started with
		p.told(p.config.Known)
	}
	go p.follow(ctx, hangups)
}

// startControl opens the operators' address, where there is one.
func (p *platform) startControl() error {
	addr := p.config.Control
	if own := os.Getenv("RELAY_CONTROL"); own != "" { // a second process of a front has its own
		addr = own
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

// limitRuntime keeps the run time within the machine: one core, and collections before the memory limit is near.
func limitRuntime(l limits.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(l.Memory)
}
