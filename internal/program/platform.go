// Package program wires the parts together: configuration, limits, signals, and the fronts before the core.
package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
)

// Platform runs the platform's front, as the RELAY_ variables tell, until SIGTERM or an interrupt. At SIGHUP it
// reads the configuration again and follows the discovery that it names then.
func Platform() error {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return misuse{errors.New("RELAY_CONFIG: not set")}
	}
	hangups := hangups()
	config, err := readConfig(path)
	if err != nil {
		return misuse{err}
	}
	set := config.Settings
	l := limits.For(limits.Site{MemoryMB: config.MemoryMB, Sockets: config.Sockets, Open: set.MaxOpen,
		ConnIdle: set.ConnIdle, Connect: set.Connect, Deadline: set.LongestWait, Askers: set.Askers})
	bound(l)
	stopped, unhook := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer unhook()

	log := logs.New(os.Stderr, slog.LevelInfo)
	nodes := transport.NewNodes(l)
	prober := transport.NewProber(nodes, set, log)
	set.Rules.MaxOpen = l.Hold
	core, err := routing.New(set.Rules, config.Seed, l, prober.Probe)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	if len(config.Peers) > 0 {
		// Messages may be lost, so a front without its socket serves: cold nodes get less of it.
		if peers, err := transport.ListenPeers(config.PeerListen, config.Peers, l, log); err != nil {
			log.Error("no messages between fronts", "error", err)
		} else {
			core.Note = peers.Send
			go peers.Run(ctx, core.Hear)
		}
	}
	go core.Run(ctx)
	go nodes.Run(ctx)
	apply := func(list protocol.List) { core.Tell(nodes.Apply(list)) }
	apply(config.Known)
	go follow(ctx, config, hangups, path, log, func(ctx context.Context, addr string, seq int64) {
		transport.Watch(ctx, addr, seq, set.Zones, l, config.Seed, apply, log)
	})

	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	front := transport.NewFront(set, l, transport.NewRoundTripper(core, nodes))
	log.Info("serving", "address", config.Listen)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-stopped.Done():
		log.Info("stopping")
		defer log.Info("stopped")
		return front.Stop(core.Room)
	}
}

// hangups delivers SIGHUP, which would end the program, from here to its end: one may come while it stops.
func hangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

func readConfig(path string) (protocol.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return protocol.Config{}, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	config, err := protocol.ParseConfig(text)
	if err != nil {
		return protocol.Config{}, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// follow keeps a watch on discovery until ctx ends. At each hangup the file is read again whole: one that is bad
// leaves things as they are, and a good one moves the watch. The new watch begins once the old one has ended,
// with the whole list, as versions may not carry over. Limits and settings hold until the program is started anew.
func follow(ctx context.Context, config protocol.Config, hangups <-chan os.Signal, path string, log *slog.Logger,
	watch func(ctx context.Context, addr string, seq int64)) {
	for seq := config.Known.Seq; ; seq = transport.WholeList {
		own, end := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			watch(own, config.Discovery, seq)
		}()
		anew, ok := reread(ctx, hangups, readConfig, path, log)
		end()
		<-ended
		if !ok {
			return
		}
		config = anew
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
		log.Error("reload: the old configuration stays", "error", err)
	}
}

// bound keeps the run time within the machine: one core, and collections before the memory limit is near.
func bound(l limits.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(l.Memory)
}
