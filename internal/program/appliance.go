package program

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
	"otterturn/internal/net/transport/sftp"
	"otterturn/rules"
)

// Appliance is one site's front as the operator's file sets it up.
type Appliance struct {
	operator Operator
	limits   limits.Limits
	core     *routing.Core
	files    *sftp.Front
	http     *transport.Front
	client   *sftp.Client
	nodes    *transport.Nodes

	mu      sync.Mutex
	drained map[string]bool // nodes that the operator drains
}

// Serve runs the appliance until SIGTERM or an interrupt.
func Serve(path string) error {
	o, err := LoadOperator(path)
	if err != nil {
		return err
	}
	l := o.limits()
	bound(l)
	stopped, unhook := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer unhook()
	ctx, end := context.WithCancel(context.Background())
	defer end()

	a := &Appliance{operator: o, limits: l, drained: map[string]bool{}, client: sftp.NewClient(l),
		nodes: transport.NewNodes(l)}
	probe := a.client.Probe(l)
	if o.SFTP.Listen == "" {
		probe = transport.NewProber(a.nodes, false, log.Printf).Probe
	}
	var seed [8]byte
	rand.Read(seed[:])
	a.core, err = routing.New(o.settings().Rules, int64(binary.LittleEndian.Uint64(seed[:])), l.Inbox, probe)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	go a.core.Run(ctx)
	go a.client.Run(ctx)
	go a.nodes.Run(ctx)
	a.tellNodes()

	failed := make(chan error, 4)
	var stops []func()
	serve := func(name, addr string, run func(net.Listener) error, stop func(net.Listener)) error {
		listener, err := listen(addr)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		go func() {
			if err := run(listener); err != nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		}()
		stops = append(stops, func() { stop(listener) })
		return nil
	}
	if o.SFTP.Listen != "" {
		a.files = sftp.NewFront(o.site(), l, a.core, a.client.Attempt)
		if err := serve("sftp.listen", o.SFTP.Listen, a.files.Serve, a.files.Stop); err != nil {
			return err
		}
	}
	if o.HTTP.Listen != "" {
		a.http = transport.NewFront(o.settings(), l, transport.NewRoundTripper(a.core, a.nodes))
		run := a.http.Serve
		if o.ACME.Directory != "" {
			certs, err := newCertificates(o.ACME)
			if err != nil {
				return err
			}
			answers := &http.Server{Handler: certs.HTTPHandler(http.NotFoundHandler()), ReadTimeout: l.ReadRequest,
				WriteTimeout: l.WriteAnswer, IdleTimeout: l.ClientIdle, MaxHeaderBytes: l.Header}
			err = serve("acme.challenge", o.ACME.Challenge, ignoreClosed(answers.Serve),
				func(net.Listener) { answers.Close() })
			if err != nil {
				return err
			}
			go obtain(ctx, certs, o.ACME.Domains, log.Printf)
			run = func(plain net.Listener) error { return a.http.ServeTLS(plain, certs.TLSConfig()) }
		}
		stop := func(net.Listener) { a.http.Stop() }
		if err := serve("http.listen", o.HTTP.Listen, run, stop); err != nil {
			return err
		}
	}
	if o.Console.Socket != "" {
		console := newConsole(a)
		if err := serve("console.socket", o.Console.Socket, console.serve, func(l net.Listener) { l.Close() }); err != nil {
			return err
		}
	}
	log.Printf("serving: sftp %q, http %q, console %q", o.SFTP.Listen, o.HTTP.Listen, o.Console.Socket)
	select {
	case err = <-failed:
	case <-stopped.Done():
	}
	var wait sync.WaitGroup
	for _, stop := range stops {
		wait.Go(stop)
	}
	wait.Wait()
	return err
}

// listen opens an address with a port, or a socket in the file system that the operator's user alone may use.
func listen(addr string) (net.Listener, error) {
	if address(addr) {
		return net.Listen("tcp", addr)
	}
	if c, err := net.Dial("unix", addr); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another program serves it", addr)
	}
	if err := os.Remove(addr); err != nil && !errors.Is(err, os.ErrNotExist) { // left by one that was killed
		return nil, err
	}
	old := syscall.Umask(0o177)
	defer syscall.Umask(old)
	return net.Listen("unix", addr)
}

func ignoreClosed(serve func(net.Listener) error) func(net.Listener) error {
	return func(l net.Listener) error {
		if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// drain tells the scheduler that a node gets nothing new, or takes that back.
func (a *Appliance) drain(node string, on bool) error {
	known := false
	for _, n := range a.operator.Nodes {
		known = known || n.Name == node
	}
	if !known {
		return fmt.Errorf("no node %q", node)
	}
	a.mu.Lock()
	a.drained[node] = on
	a.mu.Unlock()
	a.tellNodes()
	return nil
}

// tellNodes hands the node list, with what the operator drains, to the pools and the scheduler.
func (a *Appliance) tellNodes() {
	a.mu.Lock()
	defer a.mu.Unlock()
	set := func(list protocol.List) protocol.List {
		for i, h := range list.Hosts {
			if a.drained[h.Node] {
				list.Hosts[i].State = rules.Draining
			}
		}
		return list
	}
	a.nodes.Apply(set(a.operator.list(func(_, http string) string { return http })))
	a.core.Tell(a.client.Apply(set(a.operator.list(func(sftp, _ string) string { return sftp }))))
}
