package processes

import (
	"context"
	"fmt"
	"time"

	"otterturn/internal/lab/load"
)

// Scenario is a small case that real and hollow fronts can both play: nodes, one shard each, the first of which falls silent
// under requests, and the last of which is replaced at the same time by a cold one. Requests have one unit each, come at
// random times and go to all shards alike.
type Scenario struct {
	Fronts, Nodes int
	Rate          float64       // requests a second of each front
	Silent        bool          // the first node takes connections and requests from then on, and answers nothing
	Cold          bool          // the last node begins anew at that time
	Span          time.Duration // that is watched from then on
}

// Small is the scenario that both are held against each other by.
func Small() Scenario {
	return Scenario{Fronts: 8, Nodes: 4, Rate: silentRate, Silent: true, Cold: true, Span: 10 * time.Second}
}

// Outcome is what one front sent in a scenario, on the mean of all.
type Outcome struct {
	Probes       float64 // at the silent node
	Attempts     float64 // at the silent node
	Messages     float64 // between fronts
	MessageBytes float64 // of these, without heads of UDP
	Served       float64 // requests
	Refused      float64
	Failed       float64
}

func (o Outcome) String() string {
	return fmt.Sprintf("a front: %.1f probes, %.1f attempts, %.1f messages of %.0f bytes; %.0f served, %.0f refused, %.0f failed",
		o.Probes, o.Attempts, o.Messages, o.MessageBytes, o.Served, o.Refused, o.Failed)
}

// Play plays a scenario with real processes.
func (l *Lab) Play(ctx context.Context, s Scenario) (Outcome, error) {
	nodes, err := startNodes(s.Nodes)
	if err != nil {
		return Outcome{}, err
	}
	defer closeNodes(nodes)
	list := entries(nodes)
	discovery, err := startDiscovery(list)
	if err != nil {
		return Outcome{}, err
	}
	defer discovery.Close()
	between, err := newRelay(s.Fronts)
	if err != nil {
		return Outcome{}, err
	}
	defer between.close()
	c := config{discovery: discovery.Addr, memoryMB: todayMemoryMB, sockets: todaySockets, giveUp: patience, nodes: list, shards: len(list)}
	fronts, err := l.startAll(ctx, s.Fronts, c, func(c *config) {
		c.peerListen, c.peers = between.fronts[c.number].String(), between.peers(c.number)
	})
	if err != nil {
		return Outcome{}, err
	}
	defer killAll(fronts)
	if _, err := askAll(ctx, fronts, s.Rate, warmUp, s.Nodes); err != nil {
		return Outcome{}, err
	}
	return s.watch(ctx, fronts, nodes, discovery, between)
}

// watch has the scenario's events happen, and counts what is sent from then on.
func (s Scenario) watch(ctx context.Context, fronts []*Front, nodes []*Node, discovery *Discovery, between *relay) (Outcome, error) {
	first := nodes[0]
	probes, attempts, messages, bytes := first.Probes.Load(), first.Requests.Load(), between.Messages.Load(), between.Bytes.Load()
	first.Mute.Store(s.Silent)
	if s.Cold {
		cold := entry(s.Nodes-1, nodes[s.Nodes-1].Addr)
		cold.Born = time.Now().UnixMilli()
		discovery.Change(cold)
	}
	all, err := askAll(ctx, fronts, s.Rate, s.Span, s.Nodes)
	n := float64(s.Fronts)
	out := Outcome{Probes: float64(first.Probes.Load()-probes) / n, Attempts: float64(first.Requests.Load()-attempts) / n,
		Messages: float64(between.Messages.Load()-messages) / n, MessageBytes: float64(between.Bytes.Load()-bytes) / n}
	for _, p := range all {
		out.Served += float64(p.Ended[load.Served]) / n
		out.Refused += float64(p.Ended[load.Refused]) / n
		out.Failed += float64(p.Ended[load.Failed]) / n
	}
	return out, err
}

// compare plays the small scenario, for the hollow fronts to be held against it.
func (l *Lab) compare(ctx context.Context) ([]Row, error) {
	s := Small()
	s.Span = l.Plan.Silence
	o, err := l.Play(ctx, s)
	if err != nil {
		return nil, err
	}
	l.logf("%d fronts, %d nodes, one silent, one cold, %.0f s: %s", s.Fronts, s.Nodes, s.Span.Seconds(), o)
	sized := fmt.Sprintf("%d fronts, %d nodes, one silent, one cold", s.Fronts, s.Nodes)
	seconds := s.Span.Seconds()
	return []Row{
		{Measure: "small scenario: messages of a front", Sizes: sized, Value: o.Messages / seconds, In: "a second",
			Note: fmt.Sprintf("%s bytes a second; not a figure at size: to be held against the hollow fronts", short(o.MessageBytes/seconds))},
		{Measure: "small scenario: probes of a front", Sizes: sized, Value: o.Probes / seconds, In: "a second",
			Note: fmt.Sprintf("%s attempts at the silent node a front", short(o.Attempts))},
	}, nil
}
