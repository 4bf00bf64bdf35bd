package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// requestsPerClient is the number of requests per client when a front is measured at full size.
const requestsPerClient = 3

// measureFullSize measures a front at full size: with all client connections, each after some requests, and with one kept
// connection to each of all nodes.
func (l *Lab) measureFullSize(ctx context.Context) ([]Row, error) {
	front, nodes, stop, err := l.startFrontAndNodes(ctx, l.Plan.KeptNodes)
	if err != nil {
		return nil, err
	}
	defer stop()
	settings, err := front.config.settings()
	if err != nil {
		return nil, err
	}
	count := l.Plan.Connections[len(l.Plan.Connections)-1]
	exchange := func(c *client) error { return front.exchange(ctx, c, settings, rand.IntN(len(nodes))) }
	began := time.Now()
	clients, err := front.connect(nil, count, exchange)
	defer func() { closeClients(clients) }()
	for range requestsPerClient - 1 {
		if err == nil {
			err = forEachClient(clients, exchange)
		}
	}
	if err != nil {
		return nil, err
	}
	u, err := front.Usage()
	_, nodeConnections := countConnections(nodes)
	l.logf("%d connections, %d requests in %.1f s, %d connections to %d nodes: %.1f MB resident, %d descriptors",
		count, count*requestsPerClient, time.Since(began).Seconds(), nodeConnections, len(nodes), megabytes(u.Resident), u.Descriptors)
	sizeText := fmt.Sprintf("%d connections, %d nodes", count, len(nodes))
	return []Row{
		{
			Measure: "memory of a whole front, clients idle", Sizes: sizeText, Value: megabytes(u.Resident), ValueUnit: "MB", Budget: budgetMemory,
			Note: fmt.Sprintf("%d requests on each connection, %d connections to nodes; the collector had room for 614 MB", requestsPerClient,
				nodeConnections),
		},
		{
			Measure: "descriptors of a whole front", Sizes: sizeText, Value: float64(u.Descriptors), ValueUnit: "descriptors",
			Note: "today's sockets are 1,024",
		},
	}, err
}
