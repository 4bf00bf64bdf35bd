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
	path   string // of the configuration file
	text   []byte // of the configuration that is in force
	config protocol.Config
	limits limits.Limits
	lines  *logs.Writer // the output of log
	log    *slog.Logger
	guard  *lifecycle.Guard
	nodes  *transport.Nodes
	core   *routing.Core
	front  *transport.Front

	peers        *transport.Peers                 // nil without messages between fronts
	otherProcess atomic.Pointer[handover.Channel] // to the predecessor or successor, while there is one
	succeeded    bool                             // this process received the state of a predecessor
	peerMessages bool                             // messages between fronts are enabled

	sharedHealth

	ready                    atomic.Bool // the process serves clients
	reloads, reloadsRejected atomic.Int64

	mu     sync.Mutex // held while a change of the node list is applied, so that pools and scheduler see the changes in order
	roster *roster.Roster
}

// Platform runs the platform's front, configured by the RELAY_ environment variables, until SIGTERM or SIGINT. On SIGHUP
// it reads the configuration again, applies its settings and follows the discovery service that it names.
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

// serve serves clients until a shutdown. If accepting fails permanently, it answers the accepted requests as in a
// shutdown and returns the error.
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

// newPlatform builds the components without starting them.
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

// run starts the background components.
func (p *platform) run(ctx context.Context, hangups <-chan os.Signal) {
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
	p.runMonitor(ctx)
	if p.peers != nil {
		go p.peers.Run(ctx, p.core.Handle)
	}
	go p.core.Run(ctx)
	go p.nodes.Run(ctx)
	if !p.succeeded { // a list that was handed over is newer than the configured one
		p.told(p.config.Known)
	}
	go p.follow(ctx, hangups)
}

// startControl serves the operators' HTTP interface if an address is configured.
func (p *platform) startControl() error {
	addr := p.config.Control
	if own := os.Getenv("RELAY_CONTROL"); own != "" { // during an upgrade the second process of a front needs an address of its own
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

// limitRuntime limits the Go runtime to one core and sets its memory limit, near which it collects garbage more often.
func limitRuntime(l limits.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(l.Memory)
}
