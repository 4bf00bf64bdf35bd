package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"otterturn/internal/soak/audit"
	"otterturn/internal/soak/peers"
)

// Run is one run of a scenario.
type Run struct {
	scenario  Scenario
	binary    string // path of the program under test
	wrapper   string // path of this program, which wraps processes for fault injection
	folder    string // holds logs and configuration files
	startedAt time.Time
	record    *audit.Record
	discovery *peers.Discovery
	nodes     []*peers.Node
	files     *peers.FileServer
	fronts    []*front
	draining  sync.Mutex
}

// Play runs a scenario with the given binary of the program. The logs of its processes stay in the folder.
func Play(s Scenario, binary, folder string) (Result, error) {
	wrapper, err := os.Executable()
	if err != nil {
		return Result{}, err
	}
	r := &Run{scenario: s, binary: binary, wrapper: wrapper, folder: folder, startedAt: time.Now(), record: &audit.Record{
		Window: s.Window, MemoryLimit: int64(s.MemoryMB) << 20,
	}}
	defer r.close()
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	if err := r.startAll(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTime)
	defer cancel()
	err = r.play(ctx)
	return r.result(), err
}

func (r *Run) clock() time.Duration { return time.Since(r.startedAt) }

// setUp starts the nodes, discovery and the file server, and writes the configuration files of the fronts.
func (r *Run) setUp() error {
	var hosts []peers.Host
	for i := range nodeCount {
		n, err := peers.NewNode(fmt.Sprintf("s-%08x", i), r.clock, r.record, r.scenario.ConnIdle)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
		hosts = append(hosts, peers.Host{Host: n.Name, Dial: n.Addr, Site: "a", Class: "m", Block: i % shardCount, Health: "up", Share: 1})
	}
	r.discovery = peers.NewDiscovery(hosts)
	var err error
	if r.files, err = peers.NewFileServer(r.clock, r.record); err != nil {
		return err
	}
	for i := range r.scenario.Fronts {
		f, err := r.newFront(i)
		if err != nil {
			return err
		}
		r.fronts = append(r.fronts, f)
	}
	return nil
}

// newFront writes the configuration file of a front and starts its agent. The first front is an appliance, and the log of one front in
// four goes to a pipe that nobody reads.
func (r *Run) newFront(number int) (*front, error) {
	f := &front{
		run: r, number: number, name: fmt.Sprintf("n%d", number), appliance: number == 0, logBlocked: number%4 == 3,
		random:      rand.New(rand.NewPCG(r.scenario.Seed, uint64(100+number))),
		faultRandom: rand.New(rand.NewPCG(r.scenario.Seed, uint64(1000+number))), longest: r.scenario.Longest,
	}
	f.folder = filepath.Join(r.folder, f.name)
	if err := os.MkdirAll(f.folder, 0o700); err != nil {
		return nil, err
	}
	f.config = filepath.Join(f.folder, "config")
	var err error
	if f.addr, err = freeAddr(number); err != nil {
		return nil, err
	}
	if f.appliance {
		if f.sftp, err = freeAddr(number); err != nil {
			return nil, err
		}
		console := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%d.sock", os.Getpid(), r.scenario.Seed))
		text := r.scenario.applianceConfig(f.addr, f.sftp, filepath.Join(f.folder, "learned"), console, r.nodes, r.files)
		return f, os.WriteFile(f.config, text, 0o600)
	}
	if f.control, err = freeAddr(number); err != nil {
		return nil, err
	}
	if f.agent, err = peers.NewAgent(r.discovery); err != nil {
		return nil, err
	}
	text := r.scenario.platformConfig(f.addr, f.control, f.agent.Addr, r.discovery.FullList(), f.longest)
	return f, os.WriteFile(f.config, text, 0o600)
}

// startAll starts all fronts concurrently.
func (r *Run) startAll() error {
	errs := make([]error, len(r.fronts))
	var all sync.WaitGroup
	for i, f := range r.fronts {
		all.Go(func() { errs[i] = f.start() })
	}
	all.Wait()
	return errors.Join(errs...)
}

// play runs clients and faults until ctx ends, and then waits for the last answers.
func (r *Run) play(ctx context.Context) error {
	clientCtx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	var clients, restarts sync.WaitGroup
	for _, f := range r.fronts {
		for i := range r.scenario.Clients {
			clients.Go(func() { r.newClient(f, i).Run(clientCtx) })
		}
		if f.appliance {
			for i := range r.scenario.Clients {
				clients.Go(func() { r.newFileClient(f, i).Run(clientCtx) })
			}
		}
	}
	for _, f := range r.fronts[1:min(1+crowdedFronts, len(r.fronts))] {
		clients.Go(func() { r.newCrowd(f).Run(clientCtx) })
	}
	errs := make([]error, len(r.fronts))
	for i, f := range r.fronts {
		restarts.Go(func() { errs[i] = f.restartOnce(ctx) })
	}
	r.injectFaults(ctx)
	restarts.Wait()
	stopClients()
	clients.Wait()
	for _, f := range r.fronts {
		f.recordViolations()
	}
	return errors.Join(errs...)
}

func (r *Run) newClient(f *front, number int) *peers.Client {
	classes := platformClasses
	if f.appliance {
		classes = applianceClasses
	}
	return &peers.Client{
		Target: f.Target, Classes: classes, Shards: shardCount, Clock: r.clock, Record: r.record, Think: 25 * time.Millisecond,
		Random: rand.New(rand.NewPCG(r.scenario.Seed, uint64(10_000+100*f.number+number))),
	}
}

// newCrowd returns the crowd at a front of the platform.
func (r *Run) newCrowd(f *front) *peers.Crowd {
	return &peers.Crowd{
		Kind: r.scenario.CrowdKind, Size: r.scenario.CrowdSize, Target: f.Target, Class: platformClasses[1].Name, Reconnect: true,
		Spread: crowdSpread,
	}
}

func (r *Run) newFileClient(f *front, number int) *peers.FileClient {
	return &peers.FileClient{
		Target: f.sftpTarget, Prefix: "/riverside", Clock: r.clock, Record: r.record,
		Random: rand.New(rand.NewPCG(r.scenario.Seed, uint64(20_000+number))),
	}
}

// close stops everything that the run has started.
func (r *Run) close() {
	for _, f := range r.fronts {
		if f.cmd != nil {
			f.kill()
		}
		if f.agent != nil {
			f.agent.Close()
		}
		if f.logPipe != nil {
			f.logPipe.Close()
		}
	}
	for _, n := range r.nodes {
		n.Close()
	}
	if r.files != nil {
		r.files.Close()
	}
}

func (r *Run) result() Result {
	out := Result{Scenario: r.scenario, Requests: len(r.record.Requests), Attempts: len(r.record.Attempts), Processes: len(r.record.Processes)}
	for _, request := range r.record.Requests {
		if request.Ending == audit.Answered {
			out.Answered++
		}
	}
	for _, p := range r.record.Processes {
		out.PeakMemory = max(out.PeakMemory, p.PeakMemory)
	}
	out.Violations = audit.Check(r.record)
	return out
}
