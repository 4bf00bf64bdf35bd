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

// heldClientTimeout is the maximum wait of clients whose requests the nodes hold: longer than a measurement.
const heldClientTimeout = 60 * time.Second

// settleTime is the time in which a front reads what was sent to it.
const settleTime = 400 * time.Millisecond

// connectionState describes client connections whose memory is measured.
type connectionState struct {
	name         string
	held         bool // the nodes don't answer attempts
	wholeRequest bool // each connection has one completely sent request, which stays open
	do           func(ctx context.Context, f *Front, c *client, settings protocol.Settings, shard int) error
}

var connectionStates = []connectionState{
	{"idle, one request done", false, false, func(ctx context.Context, f *Front, c *client, settings protocol.Settings, shard int) error {
		return f.exchange(ctx, c, settings, shard)
	}},
	{"busy, a request held", true, true, func(ctx context.Context, f *Front, c *client, settings protocol.Settings, shard int) error {
		return f.send(ctx, c, settings, shard)
	}},
	{"busy, half of a body of 60 KiB sent", true, false, func(ctx context.Context, f *Front, c *client, settings protocol.Settings, shard int) error {
		return f.sendPartialBody(ctx, c, settings, shard, bodyBytes/2)
	}},
	{"busy, all but a byte of a body of 60 KiB sent", true, false, func(ctx context.Context, f *Front, c *client, settings protocol.Settings, shard int) error {
		return f.sendPartialBody(ctx, c, settings, shard, bodyBytes-1)
	}},
}

// measureMemory measures the memory and descriptors of a client connection, idle and busy.
func (l *Lab) measureMemory(ctx context.Context) ([]Row, error) {
	var rows []Row
	for _, state := range connectionStates {
		more, err := l.connectionMemory(ctx, state)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", state.name, err)
		}
		rows = append(rows, more...)
	}
	whole, err := l.measureFullSize(ctx)
	return append(append(rows, whole...), computedRows()...), err
}

func (l *Lab) connectionMemory(ctx context.Context, state connectionState) ([]Row, error) {
	var used []Usage
	for _, count := range l.Plan.Connections {
		u, err := l.usageWithClients(ctx, state, count)
		if err != nil {
			return nil, err
		}
		used = append(used, u)
	}
	var resident, descriptors []float64
	for _, u := range used {
		resident, descriptors = append(resident, float64(u.Resident)), append(descriptors, float64(u.Descriptors))
	}
	counts, sizeText := toFloats(l.Plan.Connections), formatSizes(l.Plan.Connections, "connections")
	memoryFit, descriptorFit := fit(counts, resident), fit(counts, descriptors)
	return []Row{
		{
			Measure: "memory of a client connection: " + state.name, Sizes: sizeText, Fit: memoryFit, SlopeUnit: "bytes",
			Value: megabytes(int64(memoryFit.At(sizeConnections))), ValueUnit: "MB", Budget: budgetMemory,
			Note: fmt.Sprintf("at 3,667; limits.New reckons %d bytes each", bytesPerConnection),
		},
		{
			Measure: "descriptors of a client connection: " + state.name, Sizes: sizeText, Fit: descriptorFit, SlopeUnit: "descriptors",
			Value: descriptorFit.At(sizeConnections) + sizeNodes, ValueUnit: "descriptors",
			Note: "at 3,667, and one kept connection to each of 1,800 nodes; today's sockets are 1,024",
		},
	}, nil
}

// usageWithClients returns the usage of a new front with count connections in a state. A new front has no garbage from a
// measurement with fewer connections.
func (l *Lab) usageWithClients(ctx context.Context, state connectionState, count int) (Usage, error) {
	nodes, err := startNodes(memoryNodes)
	if err != nil {
		return Usage{}, err
	}
	defer closeNodes(nodes)
	list := entries(nodes)
	c := config{
		fronts: 1, memoryMB: ampleMemoryMB, sockets: ampleSockets, clientTimeout: heldClientTimeout, nodes: list, shards: len(list),
		traceGC: true,
	}
	discovery, err := startDiscovery(list)
	if err != nil {
		return Usage{}, err
	}
	defer discovery.Close()
	c.discovery = discovery.Addr
	front, err := l.start(ctx, c)
	if err != nil {
		return Usage{}, err
	}
	defer front.Kill()
	settings, err := front.config.settings()
	if err != nil {
		return Usage{}, err
	}
	for _, n := range nodes {
		n.HoldsAttempts.Store(state.held)
	}
	clients, err := front.connect(nil, count, func(c *client) error {
		return state.do(ctx, front, c, settings, int(requestCount.Load())%len(nodes))
	})
	defer closeClients(clients)
	if err != nil {
		return Usage{}, err
	}
	if state.wholeRequest { // wait until the front has read all of the requests
		if err := front.await(ctx, func() bool { return front.metric("in_flight") == int64(count) }); err != nil {
			return Usage{}, err
		}
	}
	wait(ctx, settleTime)
	u, err := front.Usage()
	l.logf("%d connections, %s: %.1f MB resident, %.1f MB live on the heap at the last collection, %d descriptors, %d in flight",
		count, state.name, megabytes(u.Resident), megabytes(front.log.liveHeap()), u.Descriptors, front.metric("in_flight"))
	return u, err
}

// bytesPerConnection is the memory that limits.New assumes per client connection, in bytes, a body included.
const bytesPerConnection = 96 << 10

// computedRows returns the rows that limits.New computes, without a measurement.
func computedRows() []Row {
	allowed := func(memoryMB, sockets int) limits.Limits {
		return limits.New(limits.Site{MemoryMB: memoryMB, Sockets: sockets, Open: 1 << 20})
	}
	today, wide := allowed(todayMemoryMB, todaySockets), allowed(int(budgetMemory), ampleSockets)
	minMemoryMB := int(budgetMemory)
	for allowed(minMemoryMB, ampleSockets).Clients.Conns < sizeConnections {
		minMemoryMB++
	}
	minSockets := todaySockets
	for allowed(1<<20, minSockets).Clients.KeptConns < sizeConnections {
		minSockets++
	}
	return []Row{
		{
			Measure: "memory that limits.New wants for 3,667 client connections", Sizes: "reckoned", Value: float64(minMemoryMB), ValueUnit: "MB",
			Budget: budgetMemory,
			Note:   fmt.Sprintf("256 MB allow %d clients and %d to nodes", wide.Clients.Conns, wide.Nodes.Conns),
		},
		{
			Measure: "sockets that limits.New wants to keep 3,667 idle clients", Sizes: "reckoned", Value: float64(minSockets),
			ValueUnit: "descriptors",
			Note: fmt.Sprintf("192 MB and 1,024 sockets allow %d clients, %d of them kept idle, %d to nodes",
				today.Clients.Conns, today.Clients.KeptConns, today.Nodes.Conns),
		},
	}
}
