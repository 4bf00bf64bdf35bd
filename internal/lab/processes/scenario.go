package processes

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"otterturn/internal/lab/load"
	"otterturn/internal/net/protocol"
)

// Scenario is a small case that both real and hollow fronts can run: nodes with one shard each, all in one zone, and an event
// at one of them after three seconds. Requests have one to three units, come at random times and are spread evenly over all
// shards.
type Scenario struct {
	Name   string
	Fronts int
	Nodes  int
	Rate   float64       // requests per second per front
	Span   time.Duration // time measured, from the event on
	Event  NodeEvent
}

// NodeEvent is an event at a node.
type NodeEvent int

// The kinds of NodeEvent.
const (
	BecomesSilent NodeEvent = iota // the node accepts connections and requests but answers nothing; discovery doesn't report it
	Restarts                       // the node's process ends and starts again a second later as a cold node; discovery reports the new start
)

// Scenarios holds the scenarios in which real and hollow fronts are compared. Each pair of front and node has more requests
// than at the size of the fleet, which makes the results less random.
var Scenarios = []Scenario{
	{"a node falls silent", 8, 12, 120, 12 * time.Second, BecomesSilent},
	{"a node begins anew", 8, 12, 120, 8 * time.Second, Restarts},
}

// Time of load before the event, and time from the end of a node's process to its restart.
const (
	scenarioWarmUp = 3 * time.Second
	restartDelay   = time.Second
)

// Cost of requests in a scenario and the maximum wait of their clients.
const (
	maxScenarioUnits      = 3
	unitTime              = 5 * time.Millisecond // processor time per unit; each request has a core to itself
	scenarioClientTimeout = 2500 * time.Millisecond
	coldSpeed             = 0.2
	rampTime              = 17 * time.Second
)

// Outcome is what a front sent from the event on, as the mean over all fronts.
type Outcome struct {
	Probes       float64 // at the node of the event
	Attempts     float64 // at that node
	Messages     float64 // to other fronts
	MessageBytes float64 // of these, without UDP headers
	Served       float64 // requests, those before the event included
	Refused      float64
	Failed       float64
}

func (o Outcome) String() string {
	return fmt.Sprintf("per front: %.1f probes, %.1f attempts, %.1f messages of %.0f bytes in total; %.0f served, %.0f refused, %.1f failed",
		o.Probes, o.Attempts, o.Messages, o.MessageBytes, o.Served, o.Refused, o.Failed)
}

// RunScenario runs a scenario with real processes.
func (l *Lab) RunScenario(ctx context.Context, s Scenario) (Outcome, error) {
	nodes, err := startNodes(s.Nodes)
	if err != nil {
		return Outcome{}, err
	}
	defer closeNodes(nodes)
	run := &scenarioRun{scenario: s, nodes: nodes, list: entries(nodes)}
	for i := range run.list { // names as long as those of the nodes behind hollow fronts
		run.list[i].Host, run.list[i].Zone = fmt.Sprintf("storage-%04d.zone-00.region-0", i), zones[0]
	}
	if run.discovery, err = startDiscovery(run.list); err != nil {
		return Outcome{}, err
	}
	defer run.discovery.Close()
	if run.relay, err = newRelay(s.Fronts); err != nil {
		return Outcome{}, err
	}
	defer run.relay.close()
	c := config{
		discovery: run.discovery.Addr, onRequest: true, memoryMB: todayMemoryMB, sockets: todaySockets, clientTimeout: scenarioClientTimeout,
		nodes: run.list, shards: s.Nodes, maxUnits: maxScenarioUnits,
	}
	run.fronts, err = l.startAll(ctx, s.Fronts, c, func(c *config) {
		c.peerListen, c.peers = run.relay.fronts[c.number].String(), run.relay.peersOf(c.number)
	})
	if err != nil {
		return Outcome{}, err
	}
	defer killAll(run.fronts)
	return run.run(ctx)
}

// scenarioRun is a run of a scenario.
type scenarioRun struct {
	scenario    Scenario
	nodes       []*Node
	list        []Entry
	discovery   *Discovery
	relay       *relay
	fronts      []*Front
	restartedAt atomic.Pointer[time.Time] // when the node was restarted, nil before
}

// run sends requests without a pause before and after the event, and counts from the event on.
func (s *scenarioRun) run(ctx context.Context) (Outcome, error) {
	settings, err := s.fronts[0].config.settings()
	if err != nil {
		return Outcome{}, err
	}
	for _, n := range s.nodes {
		n.workTime = func(r *http.Request) time.Duration { return s.attemptTime(r, settings, n) }
	}
	type loadResult struct {
		all []load.Progress
		err error
	}
	done := make(chan loadResult, 1)
	go func() {
		all, err := sendLoadToAll(ctx, s.fronts, s.scenario.Rate, scenarioWarmUp+s.scenario.Span, s.scenario.Nodes)
		done <- loadResult{all, err}
	}()
	wait(ctx, scenarioWarmUp)
	before := s.sentSoFar()
	if err := s.triggerEvent(ctx); err != nil {
		return Outcome{}, err
	}
	after := s.sentSoFar()
	ended := <-done
	out := Outcome{
		Probes: after.Probes - before.Probes, Attempts: after.Attempts - before.Attempts,
		Messages: after.Messages - before.Messages, MessageBytes: after.MessageBytes - before.MessageBytes,
	}
	for _, p := range ended.all {
		out.Served += float64(p.Ended[load.Served]) / float64(len(s.fronts))
		out.Refused += float64(p.Ended[load.Rejected]) / float64(len(s.fronts))
		out.Failed += float64(p.Ended[load.Failed]) / float64(len(s.fronts))
	}
	return out, ended.err
}

// triggerEvent triggers the event and waits for the rest of the scenario's time.
func (s *scenarioRun) triggerEvent(ctx context.Context) error {
	node, began := s.nodes[0], time.Now()
	switch s.scenario.Event {
	case BecomesSilent:
		node.Silent.Store(true)
	case Restarts:
		node.stop()
		wait(ctx, restartDelay)
		now := time.Now()
		s.restartedAt.Store(&now)
		if err := node.start(); err != nil {
			return err
		}
		cold := s.list[0]
		cold.StartMs = now.UnixMilli()
		s.discovery.Change(cold)
	}
	wait(ctx, s.scenario.Span-time.Since(began))
	return nil
}

// attemptTime returns the time that a node works on a request, with a core to itself.
func (s *scenarioRun) attemptTime(r *http.Request, settings protocol.Settings, n *Node) time.Duration {
	m, err := protocol.ParseRequest(r, settings)
	if err != nil {
		return 0
	}
	speed := 1.0
	if restarted := s.restartedAt.Load(); restarted != nil && n == s.nodes[0] {
		speed = min(1, coldSpeed+(1-coldSpeed)*float64(time.Since(*restarted))/float64(rampTime))
	}
	return time.Duration(m.Units * float64(unitTime) / speed)
}

// sentSoFar returns what a front has sent so far, as the mean over all fronts.
func (s *scenarioRun) sentSoFar() Outcome {
	n := float64(len(s.fronts))
	return Outcome{
		Probes: float64(s.nodes[0].Probes.Load()) / n, Attempts: float64(s.nodes[0].Requests.Load()) / n,
		Messages: float64(s.relay.Messages.Load()) / n, MessageBytes: float64(s.relay.Bytes.Load()) / n,
	}
}
