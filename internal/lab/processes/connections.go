package processes

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"otterturn/internal/net/protocol"
)

// connections measures the cost of a kept connection to a node, and the rate of handshakes at the request rate of a pair of
// front and node: with enough sockets to keep all connections, and with too few.
func (l *Lab) connections(ctx context.Context) ([]Row, error) {
	rows, err := l.kept(ctx)
	if err != nil {
		return nil, err
	}
	more, err := l.handshakes(ctx)
	return append(rows, more...), err
}

// kept measures a front that keeps connections to more and more nodes.
func (l *Lab) kept(ctx context.Context) ([]Row, error) {
	front, _, end, err := l.beforeNodes(ctx, l.Plan.Kept)
	if err != nil {
		return nil, err
	}
	defer end()
	set, err := front.config.settings()
	if err != nil {
		return nil, err
	}
	clients, err := front.open(nil, clientWorkers, func(*client) error { return nil })
	defer closeClients(clients)
	if err != nil {
		return nil, err
	}
	var next atomic.Int64
	var counts []int
	var memory, files []float64
	for quarter := range 5 {
		upTo := int64(l.Plan.Kept * quarter / 4)
		if err := each(clients, func(c *client) error { return front.touch(ctx, c, set, &next, upTo) }); err != nil {
			return nil, err
		}
		next.Store(upTo)
		u, err := front.Usage()
		if err != nil {
			return nil, err
		}
		l.logf("%d nodes with a connection kept: %.1f MB, %d descriptors", upTo, megabytes(u.Resident), u.Descriptors)
		counts, memory, files = append(counts, int(upTo)), append(memory, float64(u.Resident)), append(files, float64(u.Descriptors))
	}
	sized := sizes(counts, "nodes")
	m, d := fit(floats(counts), memory), fit(floats(counts), files)
	return []Row{
		{
			Measure: "memory of a node with a connection kept to it", Sizes: sized, Fit: m, Unit: "bytes", Value: m.Slope * sizeNodes / (1 << 20), In: "MB",
			Budget: budgetMemory, Note: "what the scheduler keeps of a node that was used, and garbage of one request, are among it",
		},
		{
			Measure: "descriptors of a kept connection", Sizes: sized, Fit: d, Unit: "descriptors", Value: d.Slope * sizeNodes, In: "descriptors",
			Note: "today's sockets are 1,024; at a node 1,200 connections, one of each front",
		},
	}, nil
}

// touch sends one request to each shard from next up to upTo; several goroutines share next.
func (f *Front) touch(ctx context.Context, c *client, set protocol.Settings, next *atomic.Int64, upTo int64) error {
	for {
		shard := next.Add(1) - 1
		if shard >= upTo {
			return nil
		}
		if err := f.exchange(ctx, c, set, int(shard)); err != nil {
			return err
		}
	}
}

// room is a named set of limits of a front.
type room struct {
	name              string
	memoryMB, sockets int
}

// shaken is the result of a handshake measurement over all nodes of one front.
type shaken struct {
	point
	handshakes float64 // per second
	open       int64   // connections open at the end
}

// handshakes loads fronts with and without enough sockets for one connection per node, at the request rate per pair of front
// and node in the full fleet.
func (l *Lab) handshakes(ctx context.Context) ([]Row, error) {
	rooms := []room{{"kept, 16,384 sockets", wideMemoryMB, wideSockets}, {"as today, 192 MB and 1,024 sockets", todayMemoryMB, todaySockets}}
	var rows []Row
	for _, r := range rooms {
		s, err := l.shake(ctx, r)
		if err != nil {
			return rows, err
		}
		sized := fmt.Sprintf("%.0f requests a second served before %d nodes", s.served, l.Plan.Kept)
		rows = append(rows,
			Row{
				Measure: "handshakes of a front with nodes: " + r.name, Sizes: sized, Value: s.handshakes, In: "a second",
				Note: fmt.Sprintf("%d connections open, %s handshakes a second at each node of 1,200 fronts%s",
					s.open, short(s.handshakes/float64(l.Plan.Kept)*sizeFronts), s.short()),
			},
			Row{
				Measure: "processor time of a request before all nodes: " + r.name, Sizes: sized, Value: s.processor / s.served * sizeRate / 1e4,
				In: "% of a core", Budget: budgetCore, Note: fmt.Sprintf("%s us a request, idle time included%s", short(s.processor/s.served), s.short()),
			})
	}
	return rows, nil
}

// shake counts handshakes after a first load period in which the front closes connections that were idle too long.
func (l *Lab) shake(ctx context.Context, r room) (shaken, error) {
	nodes, err := startNodes(l.Plan.Kept)
	if err != nil {
		return shaken{}, err
	}
	defer closeNodes(nodes)
	front, end, err := l.before(ctx, entries(nodes), r.memoryMB, r.sockets)
	if err != nil {
		return shaken{}, err
	}
	defer end()
	rate := sizeRate / float64(sizeNodes) * float64(len(nodes))
	if _, err := front.ask(ctx, rate, l.Plan.Silence, len(nodes)); err != nil {
		return shaken{}, err
	}
	opened, _ := connectionsAt(nodes)
	began := time.Now()
	p, err := l.rate(ctx, front, rate, l.Plan.Silence, len(nodes))
	now, open := connectionsAt(nodes)
	return shaken{point: p, handshakes: float64(now-opened) / time.Since(began).Seconds(), open: open}, err
}

// connectionsAt sums the connections that nodes have accepted so far and those open now.
func connectionsAt(nodes []*Node) (opened, open int64) {
	for _, n := range nodes {
		opened += n.Opened.Load()
		open += n.Open.Load()
	}
	return opened, open
}
