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

// retireAfter is for how long clients may still name a class that a new file no longer has: they hear of it late.
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

// follow keeps a watch on discovery until ctx ends. At each hangup the file is read again whole: one that is bad
// leaves all as it is. A good one's classes, plans and attempts hold at once, and it moves the watch: the new one
// begins once the old one has ended, with the whole list, as versions may not carry over. Addresses and limits hold
// until the program is started anew.
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

// change reads the file anew and has its settings hold, whole or not at all.
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
	// The scheduler has a class before the first request of it comes. A class that is no more has its number kept.
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

// applyLimits has bounds hold that follow from the settings: when a shutdown ends, how long ids are remembered, how long a node
// keeps an idle connection. Sizes and counts hold from the start on.
func (p *platform) applyLimits(l limits.Limits) {
	p.guard.Reconfigure(l.Stop)
	p.core.RetainIDs(l.Requests.IDRetention)
	p.nodes.Reconfigure(l.Nodes)
}

// told takes in news of the node list: the pools learn of it before the scheduler does.
func (p *platform) told(list protocol.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tell(p.roster.Update(list))
}

// tell hands news on. The lock is held.
func (p *platform) tell(list protocol.List) {
	if len(list.Hosts) > 0 || list.Whole {
		news := p.nodes.Apply(list)
		p.updateMonitor(news)
		p.core.UpdateEndpoints(news)
	}
}

// reread waits for a hangup at which read brings a configuration, or for the end of ctx.
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
