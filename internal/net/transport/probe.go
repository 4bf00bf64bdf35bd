package transport

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"

	"otterturn/internal/net/protocol"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// HealthChecker checks the health of nodes and reads their load reports.
type HealthChecker struct {
	nodes            *Nodes
	path             string
	queue            string      // field of the load report with the queue length, "" for none
	reportUnreadable atomic.Bool // the last report could not be parsed, and that was logged
	log              *slog.Logger
}

// NewHealthChecker returns a HealthChecker that requests load reports if the nodes provide them.
func NewHealthChecker(nodes *Nodes, set protocol.Settings, log *slog.Logger) *HealthChecker {
	p := &HealthChecker{nodes: nodes, path: "/health", queue: set.LoadQueue, log: log}
	if set.LoadReports {
		p.path = "/status/load"
	}
	return p
}

// Check checks one node. After a malformed answer or a connection that breaks, it tries again on another connection, which
// says more about the node.
func (p *HealthChecker) Check(node string) scheduler.HealthChecked {
	out := scheduler.HealthChecked{Node: node, Queue: -1}
	ctx, release := context.WithTimeout(context.Background(), p.nodes.limits.Nodes.ProbeTimeout)
	defer release()
	resp, again, err := p.checkOnce(ctx, node)
	for tries := 1; again && tries < p.nodes.limits.Nodes.ProbeTries; tries++ {
		resp, again, err = p.checkOnce(ctx, node)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return out
	}
	out.OK = true
	if p.queue == "" {
		return out
	}
	text, err := io.ReadAll(resp.Body)
	if err == nil {
		out.Queue, err = protocol.ParseLoad(string(text), p.queue)
	}
	if err != nil {
		out.Queue = -1
	}
	if was := p.reportUnreadable.Swap(err != nil); err != nil && !was { // a line for each report would flood the log
		p.log.Warn("load report unreadable", "node", node, "error", err)
	}
	return out
}

// checkOnce sends one health check. again reports whether another try may succeed.
func (p *HealthChecker) checkOnce(ctx context.Context, node string) (resp *http.Response, again bool, err error) {
	c, err := p.nodes.Acquire(ctx, node, nodes.AnyState)
	if err != nil {
		return nil, false, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.RemoteAddr().String()+p.path, nil)
	if err != nil {
		p.nodes.Release(c, false)
		return nil, false, err
	}
	message, err := encode(r)
	if err != nil {
		p.nodes.Release(c, false)
		return nil, false, err
	}
	resp, _, _, err = p.nodes.exchange(ctx, c, r, message, func() {})
	return resp, err != nil && ctx.Err() == nil, err
}
