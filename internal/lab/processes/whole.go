package processes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// rounds is the number of requests per client when a front is measured at full size.
const rounds = 3

// whole measures a front at full size: with all client connections, each after some requests, and with one kept connection to
// each of all nodes.
func (l *Lab) whole(ctx context.Context) ([]Row, error) {
	front, nodes, end, err := l.beforeNodes(ctx, l.Plan.Kept)
	if err != nil {
		return nil, err
	}
	defer end()
	set, err := front.config.settings()
	if err != nil {
		return nil, err
	}
	many := l.Plan.Connections[len(l.Plan.Connections)-1]
	ask := func(c *client) error { return front.exchange(ctx, c, set, rand.IntN(len(nodes))) }
	began := time.Now()
	clients, err := front.open(nil, many, ask)
	defer func() { closeClients(clients) }()
	for range rounds - 1 {
		if err == nil {
			err = each(clients, ask)
		}
	}
	if err != nil {
		return nil, err
	}
	u, err := front.Usage()
	_, kept := connectionsAt(nodes)
	l.logf("%d connections, %d requests in %.1f s, %d connections to %d nodes: %.1f MB resident, %d descriptors",
		many, many*rounds, time.Since(began).Seconds(), kept, len(nodes), megabytes(u.Resident), u.Descriptors)
	sized := fmt.Sprintf("%d connections, %d nodes", many, len(nodes))
	return []Row{
		{
			Measure: "memory of a whole front, clients idle", Sizes: sized, Value: megabytes(u.Resident), In: "MB", Budget: budgetMemory,
			Note: fmt.Sprintf("%d requests on each connection, %d connections to nodes; the collector had room for 614 MB", rounds, kept),
		},
		{Measure: "descriptors of a whole front", Sizes: sized, Value: float64(u.Descriptors), In: "descriptors", Note: "today's sockets are 1,024"},
	}, err
}
