package program

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/transport"
)

// classRetention is how long clients may still name a class that a reload removed: they are informed of the reload late.
const classRetention = 2 * time.Second

func readConfig(path string) (protocol.Config, []byte, error) {
	text, err := retryStart(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return protocol.Config{}, nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	config, err := protocol.ParseConfig(text)
	if err != nil {
		return protocol.Config{}, nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, text, nil
}

// watchDiscovery watches discovery until ctx ends and reloads the configuration at each SIGHUP. An invalid file changes
// nothing. The classes, plans and attempt settings of a valid file apply at once. The watch then starts again with the file's
// discovery, after the old watch has ended, and requests the full list because sequence numbers may not carry over.
// Addresses and limits on sizes and counts take effect at the next start.
func (p *platform) watchDiscovery(ctx context.Context, reloadSignals <-chan os.Signal) {
	seq := p.config.Known.Seq
	if p.tookOver {
		seq = transport.FullList
	}
	for ; p.guard.Allow(lifecycle.StartBackground, time.Time{}) == nil; seq = transport.FullList {
		watchCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			transport.Watch(watchCtx, p.config.Discovery, seq, p.config.Settings.Zones, limitsOf(p.config),
				p.config.Seed, p.core.Now, p.updateNodes, p.log)
		}()
		config, ok := awaitReload(ctx, reloadSignals, p.reload, p.path, p.log)
		cancel()
		<-ended
		if !ok {
			return
		}
		p.config = config
	}
}

// reload reloads the configuration and counts and logs the outcome.
func (p *platform) reload(path string) (protocol.Config, error) {
	config, err := p.readAndApply(path)
	if err != nil {
		p.reloadsRejected.Add(1)
		return config, err
	}
	p.reloads.Add(1)
	p.log.Info("configuration reloaded", "classes", len(config.Settings.Scheduler.Classes))
	return config, nil
}

// readAndApply reads the file and applies its settings, all of them or, if one is invalid, none.
func (p *platform) readAndApply(path string) (protocol.Config, error) {
	text, err := retryStart(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return protocol.Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	config, err := protocol.ParseReload(text, p.config, p.configText)
	if err != nil {
		return protocol.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	applyFleet, err := p.reloadFleet(config.Settings.Scheduler)
	if err != nil {
		return protocol.Config{}, err
	}
	// The scheduler gets a new class before the front accepts requests of it. A removed class keeps its number.
	if err := p.core.Reconfigure(config.Settings.Scheduler); err != nil {
		return protocol.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := applyFleet(); err != nil {
		return protocol.Config{}, err
	}
	p.applyLimits(limitsOf(config))
	transitional := config.Settings
	transitional.Classes, transitional.Plans = transitional.ClassNames, transitional.PlanNames
	p.front.Reconfigure(transitional)
	time.AfterFunc(classRetention, func() { p.front.ReconfigureIf(transitional, config.Settings) })
	p.configText = text
	return config, nil
}

// applyLimits applies the limits that a reload may change: the times of a shutdown, the retention of request ids, and the
// idle time of connections to nodes. Sizes and counts are fixed at the start.
func (p *platform) applyLimits(l limits.Limits) {
	p.guard.Reconfigure(l.Stop)
	p.core.RetainIDs(l.Requests.IDRetention)
	p.nodes.Reconfigure(l.Nodes)
}

// updateNodes applies a list from discovery: first to the connection pools, then to the scheduler.
func (p *platform) updateNodes(list protocol.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyNodes(p.roster.Update(list))
}

// applyNodes applies a change of the node list. The caller holds the lock.
func (p *platform) applyNodes(list protocol.List) {
	if len(list.Hosts) > 0 || list.Full {
		change := p.nodes.Apply(list)
		p.updateMonitor(change)
		p.core.UpdateEndpoints(change)
	}
}

// awaitReload waits for a SIGHUP after which read returns a valid configuration. It returns false when ctx ends.
func awaitReload[T any](
	ctx context.Context, reloadSignals <-chan os.Signal, read func(path string) (T, error), path string, log *slog.Logger,
) (T, bool) {
	for {
		select {
		case <-ctx.Done():
			return *new(T), false
		case <-reloadSignals:
		}
		config, err := read(path)
		if err == nil {
			return config, true
		}
		log.Error("reload failed, configuration unchanged", "error", err)
	}
}
