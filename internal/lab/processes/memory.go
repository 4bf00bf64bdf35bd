package processes

import (
	"context"
	"fmt"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
)

// memoryNodes is the number of nodes when the memory of a front is measured.
const memoryNodes = 16

// heldPatience is the maximum wait of clients whose requests the nodes hold: longer than a measurement.
const heldPatience = 60 * time.Second

// settle is the time in which a front reads what was sent to it.
const settle = 400 * time.Millisecond

// kind is a state of client connections for which memory is measured.
type kind struct {
	name string
	held bool // the nodes don't answer attempts
	full bool // each connection has one completely sent request, which stays open
	do   func(ctx context.Context, f *Front, c *client, set protocol.Settings, shard int) error
}

var kinds = []kind{
	{"idle, one request done", false, false, func(ctx context.Context, f *Front, c *client, set protocol.Settings, shard int) error {
		return f.exchange(ctx, c, set, shard)
	}},
	{"busy, a request held", true, true, func(ctx context.Context, f *Front, c *client, set protocol.Settings, shard int) error {
		return f.send(ctx, c, set, shard)
	}},
	{"busy, half of a body of 60 KiB sent", true, false, func(ctx context.Context, f *Front, c *client, set protocol.Settings, shard int) error {
		return f.sendPart(ctx, c, set, shard, bodyBytes/2)
	}},
	{"busy, all but a byte of a body of 60 KiB sent", true, false, func(ctx context.Context, f *Front, c *client, set protocol.Settings, shard int) error {
		return f.sendPart(ctx, c, set, shard, bodyBytes-1)
	}},
}

// memory measures the memory and descriptors of a client connection, idle and busy.
func (l *Lab) memory(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, k := range kinds {
		more, err := l.memoryOf(ctx, k)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", k.name, err)
		}
		rows = append(rows, more...)
	}
	whole, err := l.whole(ctx)
	return append(append(rows, whole...), reckoned()...), err
}

func (l *Lab) memoryOf(ctx context.Context, k kind) ([]Row, error) {
	var used []Usage
	for _, many := range l.Plan.Connections {
		u, err := l.connected(ctx, k, many)
		if err != nil {
			return nil, err
		}
		used = append(used, u)
	}
	var resident, descriptors []float64
	for _, u := range used {
		resident, descriptors = append(resident, float64(u.Resident)), append(descriptors, float64(u.Descriptors))
	}
	counts, sized := floats(l.Plan.Connections), sizes(l.Plan.Connections, "connections")
	memory, files := fit(counts, resident), fit(counts, descriptors)
	return []Row{
		{
			Measure: "memory of a client connection: " + k.name, Sizes: sized, Fit: memory, Unit: "bytes", Value: megabytes(int64(memory.At(sizeConnections))),
			In: "MB", Budget: budgetMemory, Note: fmt.Sprintf("at 3,667; limits.For reckons %d bytes each", reckonedEach),
		},
		{
			Measure: "descriptors of a client connection: " + k.name, Sizes: sized, Fit: files, Unit: "descriptors", Value: files.At(sizeConnections) + sizeNodes,
			In: "descriptors", Note: "at 3,667, and one kept connection to each of 1,800 nodes; today's sockets are 1,024",
		},
	}, nil
}

// connected returns the usage of a new front with many connections of a kind. A new front has no garbage from a measurement
// with fewer connections.
func (l *Lab) connected(ctx context.Context, k kind, many int) (Usage, error) {
	nodes, err := startNodes(memoryNodes)
	if err != nil {
		return Usage{}, err
	}
	defer closeNodes(nodes)
	list := entries(nodes)
	c := config{fronts: 1, memoryMB: wideMemoryMB, sockets: wideSockets, giveUp: heldPatience, nodes: list, shards: len(list), traced: true}
	d, err := startDiscovery(list)
	if err != nil {
		return Usage{}, err
	}
	defer d.Close()
	c.discovery = d.Addr
	front, err := l.start(ctx, c)
	if err != nil {
		return Usage{}, err
	}
	defer front.Kill()
	set, err := front.config.settings()
	if err != nil {
		return Usage{}, err
	}
	for _, n := range nodes {
		n.Holds.Store(k.held)
	}
	clients, err := front.open(nil, many, func(c *client) error { return k.do(ctx, front, c, set, int(sent.Load())%len(nodes)) })
	defer closeClients(clients)
	if err != nil {
		return Usage{}, err
	}
	if k.full { // wait until the front has read all of the requests
		if err := front.await(ctx, func() bool { return front.figure("in_flight") == int64(many) }); err != nil {
			return Usage{}, err
		}
	}
	rest(ctx, settle)
	u, err := front.Usage()
	l.logf("%d connections, %s: %.1f MB resident, %.1f MB live on the heap at the last collection, %d descriptors, %d in flight", many, k.name,
		megabytes(u.Resident), megabytes(front.log.live()), u.Descriptors, front.figure("in_flight"))
	return u, err
}

// reckonedEach is the memory that limits.For assumes per client connection, in bytes, a body included.
const reckonedEach = 96 << 10

// reckoned returns the rows that limits.For computes, without a measurement.
func reckoned() []Row {
	allowed := func(memoryMB, sockets int) limits.Limits {
		return limits.For(limits.Site{MemoryMB: memoryMB, Sockets: sockets, Open: 1 << 20})
	}
	today, wide := allowed(todayMemoryMB, todaySockets), allowed(int(budgetMemory), wideSockets)
	least := int(budgetMemory)
	for allowed(least, wideSockets).Clients.Conns < sizeConnections {
		least++
	}
	files := todaySockets
	for allowed(1<<20, files).Clients.KeptConns < sizeConnections {
		files++
	}
	return []Row{
		{
			Measure: "memory that limits.For wants for 3,667 client connections", Sizes: "reckoned", Value: float64(least), In: "MB", Budget: budgetMemory,
			Note: fmt.Sprintf("256 MB allow %d clients and %d to nodes", wide.Clients.Conns, wide.Nodes.Conns),
		},
		{
			Measure: "sockets that limits.For wants to keep 3,667 idle clients", Sizes: "reckoned", Value: float64(files), In: "descriptors",
			Note: fmt.Sprintf("192 MB and 1,024 sockets allow %d clients, %d of them kept idle, %d to nodes",
				today.Clients.Conns, today.Clients.KeptConns, today.Nodes.Conns),
		},
	}
}
