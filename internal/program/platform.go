// Package program wires the parts together: configuration, limits, signals, and the fronts before the core.
package program

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
)

// Platform runs the platform's front, as the RELAY_ variables tell, until SIGTERM or an interrupt.
func Platform() error {
	path := os.Getenv("RELAY_CONFIG")
	if path == "" {
		return fmt.Errorf("RELAY_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	config, err := protocol.ParseConfig(text)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	set := config.Settings
	l := limits.For(limits.Site{MemoryMB: config.MemoryMB, Sockets: config.Sockets, Open: set.MaxOpen,
		ConnIdle: set.ConnIdle, Connect: set.Connect, Deadline: set.LongestWait})
	bound(l)
	stopped, unhook := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer unhook()

	nodes := transport.NewNodes(l)
	prober := transport.NewProber(nodes, set, log.Printf)
	core, err := routing.New(set.Rules, config.Seed, l.Inbox, prober.Probe)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go core.Run(ctx)
	go nodes.Run(ctx)
	apply := func(list protocol.List) { core.Tell(nodes.Apply(list)) }
	apply(config.Known)
	go transport.Watch(ctx, config.Discovery, config.Known.Seq, set.Zones, l, apply, log.Printf)

	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	front := transport.NewFront(set, l, transport.NewRoundTripper(core, nodes))
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-stopped.Done():
		return front.Stop()
	}
}

// bound keeps the run time within the machine: one core, and collections before the memory limit is near.
func bound(l limits.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(l.Memory)
}
