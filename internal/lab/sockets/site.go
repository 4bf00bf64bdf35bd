package sockets

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"otterturn/internal/lab/load"
	"otterturn/internal/lab/scenario"
	"otterturn/internal/lab/world"
	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport"
	"otterturn/scheduler"
)

// Site is a world that runs in real time behind sockets.
type Site struct {
	world      *world.World
	set        protocol.Settings
	nodes      map[string]*node
	stopFronts []func()
	stopping   sync.WaitGroup
}

// loopbackHost returns a loopback address that only this process uses. On a shared address, another program could take the port
// of a dead node before the node restarts.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// protocolSettings returns the settings of the platform's protocol for a world. kinds holds the name of each class, writes whether
// its requests write.
func protocolSettings(w *world.World, kinds []string, writes []bool) protocol.Settings {
	return protocol.Settings{
		Scheduler: w.Set, Classes: kinds, Writes: writes, Plans: []string{"reserved", "limited"}, Shards: len(w.Nodes),
		MaxDeadline: time.Minute, MaxRetryAfter: time.Duration(w.Set.MaxRetryAfter) * time.Microsecond,
	}
}

// Start serves the nodes of a world on sockets and starts fronts for them. From here on the world runs in real time.
func Start(w *world.World, kinds []string, writes []bool, fronts int) (*Site, error) {
	w.Live()
	s := &Site{world: w, set: protocolSettings(w, kinds, writes), nodes: map[string]*node{}}
	for _, n := range w.Nodes {
		if err := s.addNode(n, loopbackHost()+":0"); err != nil {
			s.Close()
			return nil, err
		}
	}
	w.Changed = s.nodeChanged
	w.Audit.Sockets = true
	for i := range fronts {
		f, err := s.front(i)
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("front %d: %w", i, err)
		}
		w.AddFront(i, f)
	}
	return s, nil
}

func (s *Site) addNode(n *world.Node, addr string) error {
	s.nodes[n.Name] = &node{world: s.world, node: n, set: s.set}
	return s.nodes[n.Name].listen(addr)
}

// nodeChanged starts or stops the server of a node that was added, died or restarted. It panics if the address of a node can't
// be opened again, as the world can't go on then.
func (s *Site) nodeChanged(n *world.Node) {
	server := s.nodes[n.Name]
	var err error
	switch {
	case server == nil:
		err = s.addNode(n, loopbackHost()+":0")
	case n.Dead:
		s.stopping.Go(server.stop) // in its own goroutine: stop waits for handlers, which need the world
	default:
		s.stopping.Wait()
		err = server.listen(server.addr)
	}
	if err != nil {
		panic(fmt.Sprintf("emulated node can't listen on its address: %v", err))
	}
}

// Close stops fronts and nodes. The world must have ended.
func (s *Site) Close() {
	for _, end := range s.stopFronts {
		end()
	}
	for _, n := range s.nodes {
		s.stopping.Go(n.stop)
	}
	s.stopping.Wait()
}

// front is a real front of the program, with its clients.
type front struct {
	site   *Site
	core   *routing.Core
	nodes  *transport.Nodes
	addr   string
	client *http.Client
}

func (s *Site) front(i int) (*front, error) {
	l := limits.New(limits.Site{MemoryMB: 192, Sockets: 1024, Connect: 250 * time.Millisecond, NodeIdleTimeout: 15 * time.Second, MaxDeadline: time.Minute})
	l.Stop.Accept, l.Stop.Serve, l.Stop.Exit = 0, 0, time.Millisecond // no client is left to wait for when it stops
	f := &front{site: s, nodes: transport.NewNodes(l), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	set := s.set
	set.Scheduler.MaxOpen = l.Requests.Scheduled
	set.Scheduler.FrontIndex, set.Scheduler.PeerMessages = i, false // these fronts exchange no messages
	var err error
	if f.core, err = routing.New(set.Scheduler, int64(i), l, transport.NewHealthChecker(f.nodes, set, logs.Discard()).Check); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", loopbackHost()+":0")
	if err != nil {
		return nil, err
	}
	f.addr = listener.Addr().String()
	ctx, end := context.WithCancel(context.Background())
	server := transport.NewFront(set, l, transport.NewRoundTripper(f.core, f.nodes))
	var wait sync.WaitGroup
	wait.Go(func() { f.core.Run(ctx) })
	wait.Go(func() { f.nodes.Run(ctx) })
	wait.Go(func() { server.Serve(listener) })
	s.stopFronts = append(s.stopFronts, func() {
		f.client.CloseIdleConnections()
		server.Stop(nil)
		end()
		wait.Wait()
	})
	return f, nil
}

// Submit sends a request from a client of the front.
func (f *front) Submit(r scheduler.Request) {
	go func() {
		ctx, end := context.WithTimeout(context.Background(), time.Duration(r.TimeLeft)*time.Microsecond+time.Second)
		defer end()
		v, after := load.Send(ctx, f.client, f.addr, f.site.set, r)
		f.site.world.Do(func() { f.site.world.Answer(r.ID, verdicts[v], "", after) })
	}()
}

// Tell passes the endpoint list to the front, as discovery would.
func (f *front) Tell(list scheduler.EndpointsChanged) {
	out := protocol.List{Full: list.Full}
	for _, l := range list.Endpoints {
		out.Hosts = append(out.Hosts, protocol.Host{Endpoint: l, Dial: f.site.nodes[l.Node].addr})
	}
	f.core.UpdateEndpoints(f.nodes.Apply(out))
}

// End does nothing: Site.Close stops the front.
func (f *front) End() {}

// verdicts maps verdicts of package load to those of package world.
var verdicts = map[load.Verdict]world.Verdict{load.Served: world.Served, load.Rejected: world.Refused, load.Failed: world.Failed}

// Play runs one day of a scenario on sockets in real time.
func Play(s scenario.Scenario, seed uint64) (scenario.Result, error) {
	var kinds []string
	var writes []bool
	for _, k := range s.Kinds() {
		kinds, writes = append(kinds, k.Name), append(writes, k.Write())
	}
	d := s.Day(seed)
	site, err := Start(d.World, kinds, writes, s.Fronts)
	if err != nil {
		return scenario.Result{}, err
	}
	defer site.Close()
	return d.Run(), nil
}
