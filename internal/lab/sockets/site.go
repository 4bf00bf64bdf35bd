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

// Site is a live world behind sockets.
type Site struct {
	world *world.World
	set   protocol.Settings
	nodes map[string]*node
	ends  []func()
	all   sync.WaitGroup
}

// host is a loopback address that this process alone uses: on a shared one, a port that a dead node gave back could be
// taken by another program.
func host() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
}

// settings are what the platform's protocol needs to know of a world: kinds are its classes' names, by class.
func settings(w *world.World, kinds []string, writes []bool) protocol.Settings {
	return protocol.Settings{
		Scheduler: w.Set, Classes: kinds, Writes: writes, Plans: []string{"reserved", "limited"}, Shards: len(w.Nodes),
		LongestWait: time.Minute, Retry: time.Duration(w.Set.MaxRetryAfter) * time.Microsecond,
	}
}

// Start puts a world's nodes on sockets, and so many fronts before them; the world goes by the clock from here on.
func Start(w *world.World, kinds []string, writes []bool, fronts int) (*Site, error) {
	w.Live()
	s := &Site{world: w, set: settings(w, kinds, writes), nodes: map[string]*node{}}
	for _, n := range w.Nodes {
		if err := s.add(n, host()+":0"); err != nil {
			s.Close()
			return nil, err
		}
	}
	w.Changed = s.changed
	w.Audit.Sockets = true
	for i := range fronts {
		f, err := s.front(i)
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("front %d: %w", i, err)
		}
		w.Put(i, f)
	}
	return s, nil
}

func (s *Site) add(n *world.Node, addr string) error {
	s.nodes[n.Name] = &node{world: s.world, node: n, set: s.set}
	return s.nodes[n.Name].listen(addr)
}

// changed follows a node that was added, died or began anew. The world has ended where an address is lost.
func (s *Site) changed(n *world.Node) {
	has := s.nodes[n.Name]
	var err error
	switch {
	case has == nil:
		err = s.add(n, host()+":0")
	case n.Dead:
		s.all.Go(has.die) // it waits for what asks the world
	default:
		s.all.Wait()
		err = has.listen(has.addr)
	}
	if err != nil {
		panic(fmt.Sprintf("a node of the laboratory lost its address: %v", err))
	}
}

// Close ends fronts and nodes, once the world has ended.
func (s *Site) Close() {
	for _, end := range s.ends {
		end()
	}
	for _, n := range s.nodes {
		s.all.Go(n.die)
	}
	s.all.Wait()
}

// front is one of the program's, with its clients.
type front struct {
	site   *Site
	core   *routing.Core
	nodes  *transport.Nodes
	addr   string
	client *http.Client
}

func (s *Site) front(i int) (*front, error) {
	l := limits.For(limits.Site{MemoryMB: 192, Sockets: 1024, Connect: 250 * time.Millisecond, ConnIdle: 15 * time.Second, Deadline: time.Minute})
	l.Stop.Accept, l.Stop.Serve, l.Stop.AtMost = 0, 0, time.Millisecond // there is no one left to wait for
	f := &front{site: s, nodes: transport.NewNodes(l), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	set := s.set
	set.Scheduler.MaxOpen = l.Requests.Scheduled
	set.Scheduler.FrontIndex, set.Scheduler.PeerMessages = i, false // no messages go between these fronts
	var err error
	if f.core, err = routing.New(set.Scheduler, int64(i), l, transport.NewHealthChecker(f.nodes, set, logs.Quiet()).Check); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", host()+":0")
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
	s.ends = append(s.ends, func() {
		f.client.CloseIdleConnections()
		server.Stop(nil)
		end()
		wait.Wait()
	})
	return f, nil
}

// Submit has a client ask over a connection.
func (f *front) Submit(r scheduler.Request) {
	go func() {
		ctx, end := context.WithTimeout(context.Background(), time.Duration(r.TimeLeft)*time.Microsecond+time.Second)
		defer end()
		v, after := load.Send(ctx, f.client, f.addr, f.site.set, r)
		f.site.world.Do(func() { f.site.world.Answer(r.ID, verdicts[v], "", after) })
	}()
}

// Tell hands the node list over, as discovery would.
func (f *front) Tell(list scheduler.EndpointsChanged) {
	out := protocol.List{Whole: list.Full}
	for _, l := range list.Endpoints {
		out.Hosts = append(out.Hosts, protocol.Host{Endpoint: l, Dial: f.site.nodes[l.Node].addr})
	}
	f.core.UpdateEndpoints(f.nodes.Apply(out))
}

// End does nothing: a live front ends with its site.
func (f *front) End() {}

// verdicts are those of a load, for the world.
var verdicts = map[load.Verdict]world.Verdict{load.Served: world.Served, load.Refused: world.Refused, load.Failed: world.Failed}

// Play plays one day of a scenario on sockets, in real time.
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
