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

// retireAfter is how long clients may still name a class that a reload removed, as they learn of it late.
const retireAfter = 2 * time.Second

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

// follow watches discovery until ctx ends and reloads the configuration at each SIGHUP. An invalid file changes nothing.
// The classes, plans and attempt settings of a valid file apply at once. The watch then starts again with the file's
// discovery, after the old watch has ended, and requests the full list because sequence numbers may not carry over.
// Addresses and limits on sizes and counts take effect at the next start.
func (p *platform) follow(ctx context.Context, hangups <-chan os.Signal) {
	seq := p.config.Known.Seq
	if p.succeeded {
		seq = transport.FullList
	}
	for ; p.guard.Allow(lifecycle.StartBackground, time.Time{}) == nil; seq = transport.FullList {
		own, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			transport.Watch(own, p.config.Discovery, seq, p.config.Settings.Zones, limitsOf(p.config), p.config.Seed, p.core.Now, p.told, p.log)
		}()
		config, ok := reread(ctx, hangups, p.change, p.path, p.log)
		end()
		<-ended
		if !ok {
			return
		}
		p.config = config
	}
}

// change reloads the configuration and counts and logs the outcome.
func (p *platform) change(path string) (protocol.Config, error) {
	config, err := p.retune(path)
	if err != nil {
		p.reloadsRejected.Add(1)
		return config, err
	}
	p.reloads.Add(1)
	p.log.Info("configuration reloaded", "classes", len(config.Settings.Scheduler.Classes))
	return config, nil
}

// retune reads the file and applies its settings, all of them or, if one is invalid, none.
func (p *platform) retune(path string) (protocol.Config, error) {
	text, err := retryStart(func() ([]byte, error) { return os.ReadFile(path) })
	if err != nil {
		return protocol.Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	config, err := protocol.ParseChange(text, p.config, p.text)
	if err != nil {
		return protocol.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	changeFleet, err := p.reloadFleet(config.Settings.Scheduler)
	if err != nil {
		return protocol.Config{}, err
	}
	// The scheduler gets a new class before the front accepts requests of it. A removed class keeps its number.
	if err := p.core.Reconfigure(config.Settings.Scheduler); err != nil {
		return protocol.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := changeFleet(); err != nil {
		return protocol.Config{}, err
	}
	p.applyLimits(limitsOf(config))
	still := config.Settings
	still.Classes, still.Plans = still.Names, still.PlanNames
	p.front.Reconfigure(still)
	time.AfterFunc(retireAfter, func() { p.front.ReconfigureIf(still, config.Settings) })
	p.text = text
	return config, nil
}

// applyLimits applies the limits that a reload may change: the times of a shutdown, the retention of request ids, and the
// idle time of connections to nodes. Sizes and counts are fixed at the start.
func (p *platform) applyLimits(l limits.Limits) {
	p.guard.Reconfigure(l.Stop)
	p.core.RetainIDs(l.Requests.IDRetention)
	p.nodes.Reconfigure(l.Nodes)
}

// told applies a list from discovery: first to the connection pools, then to the scheduler.
func (p *platform) told(list protocol.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tell(p.roster.Update(list))
}

// tell applies a change of the node list. The caller holds the lock.
func (p *platform) tell(list protocol.List) {
	if len(list.Hosts) > 0 || list.Whole {
		news := p.nodes.Apply(list)
		p.updateMonitor(news)
		p.core.UpdateEndpoints(news)
	}
}

// reread waits for a SIGHUP after which read returns a valid configuration. It returns false when ctx ends.
func reread[T any](ctx context.Context, hangups <-chan os.Signal, read func(path string) (T, error), path string, log *slog.Logger) (T, bool) {
	for {
		select {
		case <-ctx.Done():
			return *new(T), false
		case <-hangups:
		}
		config, err := read(path)
		if err == nil {
			return config, true
		}
		log.Error("reload failed, configuration unchanged", "error", err)
	}
}
