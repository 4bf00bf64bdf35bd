package processes

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"otterturn/internal/net/protocol"
)

// measureConnections measures the cost of a kept connection to a node, and the rate of handshakes at the request rate of a
// pair of front and node: with enough sockets to keep all connections, and with too few.
func (l *Lab) measureConnections(ctx context.Context) ([]Row, error) {
	rows, err := l.measureKeptConnections(ctx)
	if err != nil {
		return nil, err
	}
	more, err := l.measureHandshakes(ctx)
	return append(rows, more...), err
}

// measureKeptConnections measures a front that keeps connections to more and more nodes.
func (l *Lab) measureKeptConnections(ctx context.Context) ([]Row, error) {
	front, _, stop, err := l.startFrontAndNodes(ctx, l.Plan.KeptNodes)
	if err != nil {
		return nil, err
	}
	defer stop()
	settings, err := front.config.settings()
	if err != nil {
		return nil, err
	}
	clients, err := front.connect(nil, clientWorkers, func(*client) error { return nil })
	defer closeClients(clients)
	if err != nil {
		return nil, err
	}
	var next atomic.Int64
	var counts []int
	var memory, descriptors []float64
	for quarter := range 5 {
		upTo := int64(l.Plan.KeptNodes * quarter / 4)
		if err := forEachClient(clients, func(c *client) error { return front.requestEachShard(ctx, c, settings, &next, upTo) }); err != nil {
			return nil, err
		}
		next.Store(upTo)
		u, err := front.Usage()
		if err != nil {
			return nil, err
		}
		l.logf("%d nodes with a connection kept: %.1f MB, %d descriptors", upTo, megabytes(u.Resident), u.Descriptors)
		counts, memory, descriptors = append(counts, int(upTo)), append(memory, float64(u.Resident)), append(descriptors, float64(u.Descriptors))
	}
	sizeText := formatSizes(counts, "nodes")
	memoryFit, descriptorFit := fit(toFloats(counts), memory), fit(toFloats(counts), descriptors)
	return []Row{
		{
			Measure: "memory of a node with a connection kept to it", Sizes: sizeText, Fit: memoryFit, SlopeUnit: "bytes",
			Value: memoryFit.Slope * sizeNodes / (1 << 20), ValueUnit: "MB",
			Budget: budgetMemory, Note: "what the scheduler keeps of a node that was used, and garbage of one request, are among it",
		},
		{
			Measure: "descriptors of a kept connection", Sizes: sizeText, Fit: descriptorFit, SlopeUnit: "descriptors",
			Value: descriptorFit.Slope * sizeNodes, ValueUnit: "descriptors",
			Note: "today's sockets are 1,024; at a node 1,200 connections, one of each front",
		},
	}, nil
}

// requestEachShard sends one request to each shard from next up to upTo; several goroutines share next.
func (f *Front) requestEachShard(ctx context.Context, c *client, settings protocol.Settings, next *atomic.Int64, upTo int64) error {
	for {
		shard := next.Add(1) - 1
		if shard >= upTo {
			return nil
		}
		if err := f.exchange(ctx, c, settings, int(shard)); err != nil {
			return err
		}
	}
}

// namedLimits is a named set of limits of a front.
type namedLimits struct {
	name              string
	memoryMB, sockets int
}

// handshakeResult is the result of a handshake measurement over all nodes of one front.
type handshakeResult struct {
	ratePoint
	handshakes float64 // per second
	open       int64   // connections open at the end
}

// measureHandshakes loads fronts with and without enough sockets for one connection per node, at the request rate per pair of
// front and node in the full fleet.
func (l *Lab) measureHandshakes(ctx context.Context) ([]Row, error) {
	variants := []namedLimits{
		{"kept, 16,384 sockets", ampleMemoryMB, ampleSockets},
		{"as today, 192 MB and 1,024 sockets", todayMemoryMB, todaySockets},
	}
	var rows []Row
	for _, variant := range variants {
		result, err := l.countHandshakes(ctx, variant)
		if err != nil {
			return rows, err
		}
		sizeText := fmt.Sprintf("%.0f requests a second served before %d nodes", result.served, l.Plan.KeptNodes)
		rows = append(rows,
			Row{
				Measure: "handshakes of a front with nodes: " + variant.name, Sizes: sizeText, Value: result.handshakes, ValueUnit: "a second",
				Note: fmt.Sprintf("%d connections open, %s handshakes a second at each node of 1,200 fronts%s",
					result.open, formatNumber(result.handshakes/float64(l.Plan.KeptNodes)*sizeFronts), result.shortfallNote()),
			},
			Row{
				Measure: "processor time of a request before all nodes: " + variant.name, Sizes: sizeText,
				Value:     result.processor / result.served * sizeRate / 1e4,
				ValueUnit: "% of a core", Budget: budgetCore, Note: fmt.Sprintf("%s us a request, idle time included%s",
					formatNumber(result.processor/result.served), result.shortfallNote()),
			})
	}
	return rows, nil
}

// countHandshakes counts handshakes after a first load period in which the front closes connections that were idle too long.
func (l *Lab) countHandshakes(ctx context.Context, frontLimits namedLimits) (handshakeResult, error) {
	nodes, err := startNodes(l.Plan.KeptNodes)
	if err != nil {
		return handshakeResult{}, err
	}
	defer closeNodes(nodes)
	front, stop, err := l.startFrontFor(ctx, entries(nodes), frontLimits.memoryMB, frontLimits.sockets)
	if err != nil {
		return handshakeResult{}, err
	}
	defer stop()
	rate := sizeRate / float64(sizeNodes) * float64(len(nodes))
	if _, err := front.sendLoad(ctx, rate, l.Plan.SilentTime, len(nodes)); err != nil {
		return handshakeResult{}, err
	}
	openedBefore, _ := countConnections(nodes)
	began := time.Now()
	result, err := l.measureRate(ctx, front, rate, l.Plan.SilentTime, len(nodes))
	openedAfter, open := countConnections(nodes)
	return handshakeResult{ratePoint: result, handshakes: float64(openedAfter-openedBefore) / time.Since(began).Seconds(), open: open}, err
}

// countConnections sums the connections that nodes have accepted so far and those open now.
func countConnections(nodes []*Node) (opened, open int64) {
	for _, n := range nodes {
		opened += n.Opened.Load()
		open += n.Open.Load()
	}
	return opened, open
}
