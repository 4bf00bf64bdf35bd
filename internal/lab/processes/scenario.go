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
	Event  Happening
}

// Happening is an event at a node.
type Happening int

// The kinds of Happening.
const (
	FallsSilent Happening = iota // the node accepts connections and requests but answers nothing; discovery doesn't report it
	BeginsAnew                   // the node's process ends and starts again a second later as a cold node; discovery reports the new start
)

// Scenarios holds the scenarios in which real and hollow fronts are compared. Each pair of front and node has more requests
// than at the size of the fleet, which makes the results less random.
var Scenarios = []Scenario{
	{"a node falls silent", 8, 12, 120, 12 * time.Second, FallsSilent},
	{"a node begins anew", 8, 12, 120, 8 * time.Second, BeginsAnew},
}

// Time of load before the event, and time from the end of a node's process to its restart.
const (
	scenarioWarm = 3 * time.Second
	deadFor      = time.Second
)

// Cost of requests in a scenario and the maximum wait of their clients.
const (
	scenarioUnits    = 3
	unitTime         = 5 * time.Millisecond // processor time per unit; each request has a core to itself
	scenarioPatience = 2500 * time.Millisecond
	coldFrom         = 0.2
	ramp             = 17 * time.Second
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

// Play runs a scenario with real processes.
func (l *Lab) Play(ctx context.Context, s Scenario) (Outcome, error) {
	nodes, err := startNodes(s.Nodes)
	if err != nil {
		return Outcome{}, err
	}
	defer closeNodes(nodes)
	stage := &stage{scenario: s, nodes: nodes, list: entries(nodes)}
	for i := range stage.list { // names as long as those of the hollow fronts' nodes, so that messages have equal lengths
		stage.list[i].Host, stage.list[i].Site = fmt.Sprintf("storage-%04d.zone-00.region-0", i), zones[0]
	}
	if stage.discovery, err = startDiscovery(stage.list); err != nil {
		return Outcome{}, err
	}
	defer stage.discovery.Close()
	if stage.relay, err = newRelay(s.Fronts); err != nil {
		return Outcome{}, err
	}
	defer stage.relay.close()
	c := config{
		discovery: stage.discovery.Addr, asked: true, memoryMB: todayMemoryMB, sockets: todaySockets, giveUp: scenarioPatience,
		nodes: stage.list, shards: s.Nodes, units: scenarioUnits,
	}
	stage.fronts, err = l.startAll(ctx, s.Fronts, c, func(c *config) {
		c.peerListen, c.peers = stage.relay.fronts[c.number].String(), stage.relay.peers(c.number)
	})
	if err != nil {
		return Outcome{}, err
	}
	defer killAll(stage.fronts)
	return stage.play(ctx)
}

// stage is a run of a scenario.
type stage struct {
	scenario  Scenario
	nodes     []*Node
	list      []Entry
	discovery *Discovery
	relay     *relay
	fronts    []*Front
	cold      atomic.Pointer[time.Time] // when the node was restarted, nil before
}

// play sends requests without a pause before and after the event, and counts from the event on.
func (s *stage) play(ctx context.Context) (Outcome, error) {
	set, err := s.fronts[0].config.settings()
	if err != nil {
		return Outcome{}, err
	}
	for _, n := range s.nodes {
		n.work = func(r *http.Request) time.Duration { return s.takes(r, set, n) }
	}
	type asked struct {
		all []load.Progress
		err error
	}
	done := make(chan asked, 1)
	go func() {
		all, err := askAll(ctx, s.fronts, s.scenario.Rate, scenarioWarm+s.scenario.Span, s.scenario.Nodes)
		done <- asked{all, err}
	}()
	rest(ctx, scenarioWarm)
	before := s.count()
	if err := s.happen(ctx); err != nil {
		return Outcome{}, err
	}
	after := s.count()
	ended := <-done
	out := Outcome{
		Probes: after.Probes - before.Probes, Attempts: after.Attempts - before.Attempts,
		Messages: after.Messages - before.Messages, MessageBytes: after.MessageBytes - before.MessageBytes,
	}
	for _, p := range ended.all {
		out.Served += float64(p.Ended[load.Served]) / float64(len(s.fronts))
		out.Refused += float64(p.Ended[load.Refused]) / float64(len(s.fronts))
		out.Failed += float64(p.Ended[load.Failed]) / float64(len(s.fronts))
	}
	return out, ended.err
}

// happen triggers the event and waits for the rest of the scenario's time.
func (s *stage) happen(ctx context.Context) error {
	node, began := s.nodes[0], time.Now()
	switch s.scenario.Event {
	case FallsSilent:
		node.Mute.Store(true)
	case BeginsAnew:
		node.kill()
		rest(ctx, deadFor)
		now := time.Now()
		s.cold.Store(&now)
		if err := node.begin(); err != nil {
			return err
		}
		cold := s.list[0]
		cold.Born = now.UnixMilli()
		s.discovery.Change(cold)
	}
	rest(ctx, s.scenario.Span-time.Since(began))
	return nil
}

// takes returns the time that a node works on a request, with a core to itself.
func (s *stage) takes(r *http.Request, set protocol.Settings, n *Node) time.Duration {
	m, err := protocol.ParseRequest(r, set)
	if err != nil {
		return 0
	}
	share := 1.0
	if since := s.cold.Load(); since != nil && n == s.nodes[0] {
		share = min(1, coldFrom+(1-coldFrom)*float64(time.Since(*since))/float64(ramp))
	}
	return time.Duration(m.Units * float64(unitTime) / share)
}

// count returns what a front has sent so far, as the mean over all fronts.
func (s *stage) count() Outcome {
	n := float64(len(s.fronts))
	return Outcome{
		Probes: float64(s.nodes[0].Probes.Load()) / n, Attempts: float64(s.nodes[0].Requests.Load()) / n,
		Messages: float64(s.relay.Messages.Load()) / n, MessageBytes: float64(s.relay.Bytes.Load()) / n,
	}
}
