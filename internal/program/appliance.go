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
	"otterturn/internal/state/changestore"
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
	files    *sftp.Front        // nil without sftp.listen
	changes  *changestore.Store // nil without sftp.changes
	client   *sftp.Client
	nodes    *transport.Nodes
	saver    *saver.Saver     // nil without learned.folder
	certs    *manager.Manager // nil where no front has TLS
	failed   chan error
	stops    []func()

	mu       sync.Mutex
	lastRead Operator        // the file as last read; only its node list is used
	drained  map[string]bool // nodes that an operator drains, by name
}

// ServeAppliance runs the appliance until SIGTERM or SIGINT. On SIGHUP it reads the operator's file again.
func ServeAppliance(path string) error {
	shutdown, reloadSignals := notifyShutdown(), notifyReload()
	ignoreClosedLog()
	operator, err := LoadOperator(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a, err := newAppliance(operator)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer a.lines.Flush(flushTimeout)
	for _, warning := range operator.Warnings() {
		a.log.Warn("configuration warning", "setting", warning)
	}
	guard := a.core.Guard
	go func() { guard.BeginShutdown(<-shutdown) }()
	setRuntimeLimits(a.limits)
	if err := a.restoreLearned(); err != nil {
		return fmt.Errorf("%s: learned.folder: %w", path, err)
	}
	coreEnded, saverEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(coreEnded)
		a.core.Run(ctx)
	}()
	saverCtx, stopSaver := context.WithCancel(ctx)
	defer stopSaver()
	go func() {
		defer close(saverEnded)
		a.runSaver(saverCtx)
	}()
	go a.client.Run(ctx)
	go a.nodes.Run(ctx)
	a.updateNodes()
	go a.watchReloads(ctx, reloadSignals, path)
	for _, start := range []func(context.Context) error{a.startCertificates, a.startFiles, a.startHTTP, a.startConsole} {
		if err := start(ctx); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	a.log.Info("serving", "sftp", operator.SFTP.Listen, "http", operator.HTTP.Listen, "console", operator.Console.Socket)
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
	stopSaver()
	<-saverEnded
	cancel()
	<-coreEnded
	err = errors.Join(err, a.saveFinal(), a.closeChangeStore())
	a.log.Info("stopped", "after", guard.Since().String(), "violations", guard.Violations())
	return err
}

func newAppliance(config Operator) (*Appliance, error) {
	siteLimits := config.limits()
	lines := logs.NewWriter(os.Stderr)
	a := &Appliance{
		operator: config, lines: lines, log: logs.New(lines, config.Log.level()), lastRead: config, limits: siteLimits,
		client: sftp.NewClient(siteLimits), nodes: transport.NewNodes(siteLimits),
		failed: make(chan error, 4), drained: map[string]bool{},
	}
	probe := a.client.Probe(siteLimits)
	if config.SFTP.Listen == "" {
		probe = transport.NewHealthChecker(a.nodes, protocol.Settings{}, a.log).Check
	}
	var err error
	settings := config.Settings().Scheduler
	settings.MaxOpen = siteLimits.Requests.Scheduled
	a.core, err = routing.New(settings, rand.Int64(), siteLimits, probe)
	if err != nil {
		return nil, err
	}
	a.core.Log, a.core.Guard = a.log, lifecycle.New(siteLimits.Stop, a.log)
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

// startHTTP starts the HTTP front, with an admission gate if door.room is set.
func (a *Appliance) startHTTP(context.Context) error {
	config := a.operator
	if config.HTTP.Listen == "" {
		return nil
	}
	front := transport.NewFront(config.Settings(), a.limits, transport.NewRoundTripper(a.core, a.nodes))
	if door := config.Door; door.Room > 0 {
		front.Admission = gate.New(admission.Config{
			MaxAdmitted: door.Room, MaxWaiting: door.Waiting, MaxRetryAfter: config.Limits.RetryAfter.Microseconds(),
		}, door.Patience)
	}
	return a.serve("http.listen", config.HTTP.Listen, a.withTLS(config.HTTP.TLS, front.Serve), func(net.Listener) { front.Stop(nil) })
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
	a.updateNodes()
	return nil
}

// discardLog discards the log of HTTP servers, which report errors of their clients only.
var discardLog = log.New(io.Discard, "", 0)

// watchReloads reads the operator's file again at each SIGHUP and applies its node list and its certificate files. All other
// settings take effect at the next start.
func (a *Appliance) watchReloads(ctx context.Context, reloadSignals <-chan os.Signal, path string) {
	for {
		operator, ok := awaitReload(ctx, reloadSignals, LoadOperator, path, a.log)
		if !ok {
			return
		}
		a.mu.Lock()
		a.lastRead = operator
		a.mu.Unlock()
		a.updateNodes()
		if a.certs == nil {
			continue
		}
		if err := a.certs.LoadFiles(providedFiles(operator)); err != nil {
			a.log.Error("reload of certificates failed, certificates unchanged", "error", err)
		}
	}
}

// currentNodeList returns the node list with the addresses that dial chooses; drained nodes are marked. The caller holds the lock.
func (a *Appliance) currentNodeList(dial func(sftp, http string) string) protocol.List {
	list := a.lastRead.nodeList(dial)
	for i, h := range list.Hosts {
		if a.drained[h.Node] {
			list.Hosts[i].State = scheduler.Draining
		}
	}
	return list
}

// updateNodes applies the node list to the connection pools and the scheduler.
func (a *Appliance) updateNodes() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.nodes.Apply(a.currentNodeList(func(_, http string) string { return http }))
	a.core.UpdateEndpoints(a.client.Apply(a.currentNodeList(func(sftp, _ string) string { return sftp })))
}
