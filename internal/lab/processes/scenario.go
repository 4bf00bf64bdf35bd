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

// Scenario is a small case that real and hollow fronts can both play: nodes with a shard each, all in one zone, and after
// three seconds an event at one of them. Requests have one to three units, come at random times and go to all shards alike.
type Scenario struct {
	Name   string
	Fronts int
	Nodes  int
	Rate   float64       // requests a second of each front
	Span   time.Duration // from the event on
	Event  Happening
}

// Happening is an event at a node.
type Happening int

// The kinds of Happening.
const (
	FallsSilent Happening = iota // it takes connections and requests, and answers nothing; the list does not tell
	BeginsAnew                   // its process ends, and begins anew, cold, a second later, as the list tells then
)

// Scenarios are those by which both are held against each other. Each pair of front and node has more requests than at the
// size of the fleet, so that chance tells less.
var Scenarios = []Scenario{
	{"a node falls silent", 8, 12, 120, 12 * time.Second, FallsSilent},
	{"a node begins anew", 8, 12, 120, 8 * time.Second, BeginsAnew},
}

// Ahead of the event clients ask for so long; a dead process begins anew after so long.
const (
	scenarioWarm = 3 * time.Second
	deadFor      = time.Second
)

// What requests of a scenario cost and how long their clients wait.
const (
	scenarioUnits    = 3
	unitTime         = 5 * time.Millisecond // of a core; each request has one
	scenarioPatience = 2500 * time.Millisecond
	coldFrom         = 0.2
	ramp             = 17 * time.Second
)

// Outcome is what one front sent from the event on, on the mean of all.
type Outcome struct {
	Probes       float64 // at the node that the event is about
	Attempts     float64 // at that node
	Messages     float64 // to other fronts
	MessageBytes float64 // of these, without heads of UDP
	Served       float64 // requests, those ahead of the event included
	Refused      float64
	Failed       float64
}

func (o Outcome) String() string {
	return fmt.Sprintf("a front: %.1f probes, %.1f attempts, %.1f messages of %.0f bytes in all; %.0f served, %.0f refused, %.1f failed",
		o.Probes, o.Attempts, o.Messages, o.MessageBytes, o.Served, o.Refused, o.Failed)
}

// Play plays a scenario with real processes.
func (l *Lab) Play(ctx context.Context, s Scenario) (Outcome, error) {
	nodes, err := startNodes(s.Nodes)
	if err != nil {
		return Outcome{}, err
	}
	defer closeNodes(nodes)
	stage := &stage{scenario: s, nodes: nodes, list: entries(nodes)}
	for i := range stage.list { // names as long as the hollow fleet's
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

// stage is a scenario that is played.
type stage struct {
	scenario  Scenario
	nodes     []*Node
	list      []Entry
	discovery *Discovery
	relay     *relay
	fronts    []*Front
	cold      atomic.Pointer[time.Time] // when the node began anew, nil before
}

// play has clients ask ahead of the event and behind it, without a pause, and counts from the event on.
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

// happen has the event happen, and lets the scenario's time pass.
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

// takes is how long a node works on a request, which has a core of its own.
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

// count is what a front has sent so far, on the mean.
func (s *stage) count() Outcome {
	n := float64(len(s.fronts))
	return Outcome{
		Probes: float64(s.nodes[0].Probes.Load()) / n, Attempts: float64(s.nodes[0].Requests.Load()) / n,
		Messages: float64(s.relay.Messages.Load()) / n, MessageBytes: float64(s.relay.Bytes.Load()) / n,
	}
}
