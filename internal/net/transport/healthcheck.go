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
	queueField       string      // field of the load report with the queue length, "" for none
	reportUnreadable atomic.Bool // the last report could not be parsed, and that was logged
	log              *slog.Logger
}

// NewHealthChecker returns a HealthChecker that requests load reports if the nodes provide them.
func NewHealthChecker(nodes *Nodes, settings protocol.Settings, log *slog.Logger) *HealthChecker {
	p := &HealthChecker{nodes: nodes, path: "/health", queueField: settings.LoadQueue, log: log}
	if settings.LoadReports {
		p.path = "/status/load"
	}
	return p
}

// Check checks one node. After a malformed answer or a connection that breaks, it tries again on another connection, which
// says more about the node.
func (p *HealthChecker) Check(node string) scheduler.HealthChecked {
	result := scheduler.HealthChecked{Node: node, Queue: -1}
	ctx, cancel := context.WithTimeout(context.Background(), p.nodes.limits.Nodes.ProbeTimeout)
	defer cancel()
	resp, mayRetry, err := p.checkOnce(ctx, node)
	for tries := 1; mayRetry && tries < p.nodes.limits.Nodes.ProbeTries; tries++ {
		resp, mayRetry, err = p.checkOnce(ctx, node)
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return result
	}
	result.OK = true
	if p.queueField == "" {
		return result
	}
	report, err := io.ReadAll(resp.Body)
	if err == nil {
		result.Queue, err = protocol.ParseLoad(string(report), p.queueField)
	}
	if err != nil {
		result.Queue = -1
	}
	if wasUnreadable := p.reportUnreadable.Swap(err != nil); err != nil && !wasUnreadable { // a line for each report would flood the log
		p.log.Warn("load report unreadable", "node", node, "error", err)
	}
	return result
}

// checkOnce sends one health check. mayRetry reports whether another try may succeed.
func (p *HealthChecker) checkOnce(ctx context.Context, node string) (resp *http.Response, mayRetry bool, err error) {
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
