package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"otterturn/internal/admission"
	"otterturn/internal/admission/gate"
	"otterturn/internal/certs/manager"
	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
	"otterturn/internal/net/transport/sftp"
	"otterturn/internal/state/saver"
	"otterturn/scheduler"
)

// Appliance is a front that runs for one site as the operator's file configures it.
type Appliance struct {
	operator Operator
	lines    *logs.Writer // the output of log
	log      *slog.Logger
	limits   limits.Limits
	core     *routing.Core
	files    *sftp.Front // nil without sftp.listen
	client   *sftp.Client
	nodes    *transport.Nodes
	saver    *saver.Saver     // nil without learned.folder
	certs    *manager.Manager // nil where no front has TLS
	failed   chan error
	stops    []func()

	mu      sync.Mutex
	listed  Operator        // the file as last read; only its node list is used
	drained map[string]bool // nodes that an operator drains, by name
}

// Serve runs the appliance until SIGTERM or SIGINT. On SIGHUP it reads the operator's file again.
func Serve(path string) error {
	shutdown, hangups := notifyShutdown(), notifyReload()
	ignoreClosedLog()
	o, err := LoadOperator(path)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	a, err := newAppliance(o)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer a.lines.Flush(flushTimeout)
	guard := a.core.Guard
	go func() { guard.BeginShutdown(<-shutdown) }()
	limitRuntime(a.limits)
	if err := a.restoreLearned(); err != nil {
		return fmt.Errorf("%s: learned.folder: %w", path, err)
	}
	coreEnded, saved := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(coreEnded)
		a.core.Run(ctx)
	}()
	saving, endSaving := context.WithCancel(ctx)
	defer endSaving()
	go func() {
		defer close(saved)
		a.runSaver(saving)
	}()
	go a.client.Run(ctx)
	go a.nodes.Run(ctx)
	a.tellNodes()
	go a.follow(ctx, hangups, path)
	for _, start := range []func(context.Context) error{a.startCertificates, a.startFiles, a.startHTTP, a.startConsole} {
		if err := start(ctx); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	a.log.Info("serving", "sftp", o.SFTP.Listen, "http", o.HTTP.Listen, "console", o.Console.Socket)
	select {
	case err = <-a.failed:
		guard.BeginShutdown(time.Now())
	case <-guard.Stopping():
	}
	var wait sync.WaitGroup
	for _, stop := range a.stops {
		wait.Go(stop)
	}
	wait.Wait()
	endSaving()
	<-saved
	end()
	<-coreEnded
	err = errors.Join(err, a.saveLast())
	a.log.Info("stopped", "after", guard.Since().String(), "violations", guard.Violations())
	return err
}

func newAppliance(o Operator) (*Appliance, error) {
	l := o.limits()
	lines := logs.NewWriter(os.Stderr)
	a := &Appliance{
		operator: o, lines: lines, log: logs.New(lines, o.Log.level()), listed: o, limits: l, client: sftp.NewClient(l), nodes: transport.NewNodes(l),
		failed: make(chan error, 4), drained: map[string]bool{},
	}
	probe := a.client.Probe(l)
	if o.SFTP.Listen == "" {
		probe = transport.NewHealthChecker(a.nodes, protocol.Settings{}, a.log).Check
	}
	var err error
	set := o.Settings().Scheduler
	set.MaxOpen = l.Requests.Scheduled
	a.core, err = routing.New(set, rand.Int64(), l, probe)
	if err != nil {
		return nil, err
	}
	a.core.Log, a.core.Guard = a.log, lifecycle.New(l.Stop, a.log)
	return a, nil
}

// serve opens a listener and runs a server on it. If the server fails, the appliance stops.
func (a *Appliance) serve(field, addr string, run func(net.Listener) error, stop func(net.Listener)) error {
	l, err := listen(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	go func() {
		if err := run(l); err != nil {
			a.failed <- fmt.Errorf("%s: %w", field, err)
		}
	}()
	a.stops = append(a.stops, func() { stop(l) })
	return nil
}

func (a *Appliance) startFiles(context.Context) error {
	if a.operator.SFTP.Listen == "" {
		return nil
	}
	a.files = sftp.NewFront(a.operator.site(), a.limits, a.core, a.client.Attempt)
	return a.serve("sftp.listen", a.operator.SFTP.Listen, a.secure(a.operator.SFTP.TLS, a.files.Serve), a.files.Stop)
}

// startHTTP starts the HTTP front, with an admission gate if door.room is set.
func (a *Appliance) startHTTP(context.Context) error {
	o := a.operator
	if o.HTTP.Listen == "" {
		return nil
	}
	front := transport.NewFront(o.Settings(), a.limits, transport.NewRoundTripper(a.core, a.nodes))
	if d := o.Door; d.Room > 0 {
		front.Admission = gate.New(admission.Config{Room: d.Room, Waiting: d.Waiting, MaxRetryAfter: o.Limits.RetryAfter.Microseconds()}, d.Patience)
	}
	return a.serve("http.listen", o.HTTP.Listen, a.secure(o.HTTP.TLS, front.Serve), func(net.Listener) { front.Stop(nil) })
}

func (a *Appliance) startConsole(context.Context) error {
	if a.operator.Console.Socket == "" {
		return nil
	}
	return a.serve("console.socket", a.operator.Console.Socket, newConsole(a).serve, func(l net.Listener) { l.Close() })
}

func noAddress(_, _ string) string { return "" }

// drain starts or ends the draining of a node, which gets no new requests meanwhile.
func (a *Appliance) drain(node string, on bool) error {
	a.mu.Lock()
	known := a.hasNode(node)
	if known {
		a.drained[node] = on
	}
	a.mu.Unlock()
	if !known {
		return fmt.Errorf("no node %q", node)
	}
	a.tellNodes()
	return nil
}

// quiet discards the log of HTTP servers, which report errors of their clients only.
var quiet = log.New(io.Discard, "", 0)

// follow reads the operator's file again at each SIGHUP and applies its node list and its certificate files. All other
// settings take effect at the next start.
func (a *Appliance) follow(ctx context.Context, hangups <-chan os.Signal, path string) {
	for {
		o, ok := reread(ctx, hangups, LoadOperator, path, a.log)
		if !ok {
			return
		}
		a.mu.Lock()
		a.listed = o
		a.mu.Unlock()
		a.tellNodes()
		if a.certs == nil {
			continue
		}
		if err := a.certs.Load(brought(o)); err != nil {
			a.log.Error("reload of certificates failed, certificates unchanged", "error", err)
		}
	}
}

// hosts returns the node list with the addresses that dial chooses; drained nodes are marked. The caller holds the lock.
func (a *Appliance) hosts(dial func(sftp, http string) string) protocol.List {
	list := a.listed.list(dial)
	for i, h := range list.Hosts {
		if a.drained[h.Node] {
			list.Hosts[i].State = scheduler.Draining
		}
	}
	return list
}

// tellNodes applies the node list to the connection pools and the scheduler.
func (a *Appliance) tellNodes() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes.Apply(a.hosts(func(_, http string) string { return http }))
	a.core.UpdateEndpoints(a.client.Apply(a.hosts(func(sftp, _ string) string { return sftp })))
}
