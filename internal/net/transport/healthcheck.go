package transport

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"

	"otterturn/internal/net/protocol"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// HealthChecker checks the health of nodes and reads their load reports. The answer to a check is buffered completely, within
// the limits of a short answer and within NodeLimits.ProbeTimeout; a longer one is malformed.
type HealthChecker struct {
	nodes            *Nodes
	path             string
	queueField       string      // field of the load report with the queue length, "" for none
	answerMalformed  atomic.Bool // the last check failed because of a malformed answer, and that was logged
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
	if isFirstOfSeries(&p.answerMalformed, errors.Is(err, errMalformedResponse)) {
		p.log.Warn("health check answer malformed", "node", node, "error", err)
	}
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result
	}
	result.OK = true
	if p.queueField != "" {
		result.Queue = p.readReport(node, resp)
	}
	return result
}

// readReport returns the queue length from a load report, -1 if it can't be read.
func (p *HealthChecker) readReport(node string, resp *http.Response) (queue float64) {
	report, err := io.ReadAll(resp.Body) // checkOnce has buffered it
	if err == nil {
		queue, err = protocol.ParseLoad(string(report), p.queueField)
	}
	if isFirstOfSeries(&p.reportUnreadable, err != nil) {
		p.log.Warn("load report unreadable", "node", node, "error", err)
	}
	if err != nil {
		return -1
	}
	return queue
}

// isFirstOfSeries records whether an event has failed, and reports whether it is the first failure after a success: a log line
// for each failure would flood the log.
func isFirstOfSeries(lastFailed *atomic.Bool, failed bool) bool {
	return !lastFailed.Swap(failed) && failed
}

// checkOnce sends one health check. The body of the answer is buffered. mayRetry reports whether another try
// may succeed.
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
	resp, _, _, err = p.nodes.exchange(ctx, c, outboundRequest{Request: r, message: encode(r, nil), onWritten: func() {}})
	return resp, err != nil && ctx.Err() == nil, err
}
