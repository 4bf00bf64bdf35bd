// Package transport holds the platform's sockets: the listener for clients, the exchanges with nodes, the watch
// on discovery and the probes.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport/nodes"
	"otterturn/rules"
)

// errTooLong tells that a message's body passes its bound.
var errTooLong = errors.New("the body is too long")

// RoundTripper carries a client's request through the core to the nodes. http.Transport would send a GET or a
// keyed request again by itself when a kept connection breaks: an attempt that nobody counted, and a second
// copy beside one that may still run. So each attempt here is one exchange on one connection.
type RoundTripper struct {
	core  *routing.Core
	nodes *Nodes
}

// NewRoundTripper returns a RoundTripper. Requests must carry a protocol.Request in their context.
func NewRoundTripper(core *routing.Core, nodes *Nodes) *RoundTripper {
	return &RoundTripper{core: core, nodes: nodes}
}

// Nodes are the nodes with HTTP connections to each.
type Nodes struct {
	*nodes.Nodes[*bufio.Reader]
	limits limits.Limits
}

// NewNodes returns an empty list.
func NewNodes(l limits.Limits) *Nodes {
	return &Nodes{limits: l, Nodes: nodes.New(l, nodes.Session[*bufio.Reader]{
		Open:  func(c net.Conn) (*bufio.Reader, error) { return bufio.NewReader(c), nil },
		Alive: func(c net.Conn, r *bufio.Reader) bool { return r.Buffered() == 0 && quiet(c) },
	})}
}

// quiet tells whether a connection is open with nothing to read. An idle one that ended, or on which something
// came unasked, must not carry a request.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) { open = empty(fd) })
	return err == nil && open
}

type messageKey struct{}

// withMessage hands the decoded request to the RoundTripper.
func withMessage(ctx context.Context, m protocol.Request) context.Context {
	return context.WithValue(ctx, messageKey{}, m)
}

// RoundTrip returns a node's 200 answer, or the core's refusal or failure as an error.
func (t *RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	m, ok := r.Context().Value(messageKey{}).(protocol.Request)
	if !ok {
		return nil, errors.New("round trip: no request in the context")
	}
	return routing.Do(r.Context(), t.core, m.Request,
		func(ctx context.Context, node string) (*http.Response, rules.Outcome) {
			out := r.Clone(ctx)
			out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(m.Body)), int64(len(m.Body))
			if len(m.Body) == 0 {
				out.Body = http.NoBody
			}
			if deadline, ok := ctx.Deadline(); ok {
				protocol.SetLeft(out.Header, time.Until(deadline))
			}
			return t.nodes.attempt(ctx, node, out)
		})
}

// attempt sends a request to a node once and tells how that ended.
func (s *Nodes) attempt(ctx context.Context, node string, r *http.Request) (*http.Response, rules.Outcome) {
	c, err := s.Acquire(ctx, node, nodes.Running)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, rules.Outcome{Result: rules.TimedOut}
	case errors.Is(err, nodes.ErrNotTaking):
		return nil, rules.Outcome{Result: rules.Full}
	case err != nil:
		return nil, rules.Outcome{Result: rules.Unreachable}
	}
	resp, written, err := s.exchange(ctx, c, r)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, rules.Outcome{Result: rules.TimedOut}
	case err != nil && !written:
		return nil, rules.Outcome{Result: rules.Unreachable}
	case err != nil:
		return nil, rules.Outcome{Result: rules.Reset}
	}
	return resp, protocol.ParseOutcome(resp.StatusCode, resp.Header)
}

// exchange writes a request and reads the answer to its last byte; only then is it sure that there is one.
// written tells whether the request's last byte left. The connection is given back, or closed if ctx ended.
func (s *Nodes) exchange(ctx context.Context, c *nodes.Conn[*bufio.Reader], r *http.Request) (resp *http.Response, written bool, err error) {
	clean := false
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { s.Release(c, unhook() && clean) }()
	var message bytes.Buffer
	if err := r.Write(&message); err != nil {
		return nil, false, fmt.Errorf("encode: %w", err)
	}
	if _, err := c.Write(message.Bytes()); err != nil {
		return nil, false, fmt.Errorf("write: %w", err)
	}
	// What comes ahead of the answer, such as '100 Continue', must not be taken for it: the answer would then be
	// read as that to the next request.
	for resp == nil || resp.StatusCode < http.StatusOK {
		if resp, err = http.ReadResponse(c.Session, r); err != nil {
			return nil, true, fmt.Errorf("read head: %w", err)
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.limits.Body+1))
	if err != nil {
		return nil, true, fmt.Errorf("read body: %w", err)
	}
	if int64(len(body)) > s.limits.Body {
		return nil, true, errTooLong
	}
	resp.Body, resp.ContentLength, resp.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	clean = !resp.Close
	return resp, true, nil
}

// Prober asks nodes for their health and load.
type Prober struct {
	nodes *Nodes
	path  string
	queue string      // field of the load report, "" for none
	odd   atomic.Bool // the last report could not be read, which was logged
	log   func(format string, args ...any)
}

// NewProber returns a Prober that asks for load reports where nodes have them.
func NewProber(nodes *Nodes, set protocol.Settings, log func(format string, args ...any)) *Prober {
	p := &Prober{nodes: nodes, path: "/health", queue: set.LoadQueue, log: log}
	if set.LoadReports {
		p.path = "/status/load"
	}
	return p
}

// Probe asks one node.
func (p *Prober) Probe(node string) rules.Probed {
	out := rules.Probed{Node: node, Queue: -1}
	ctx, release := context.WithTimeout(context.Background(), p.nodes.limits.Probe)
	defer release()
	c, err := p.nodes.Acquire(ctx, node, nodes.AnyState)
	if err != nil {
		return out
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.RemoteAddr().String()+p.path, nil)
	if err != nil {
		p.nodes.Release(c, false)
		return out
	}
	resp, _, err := p.nodes.exchange(ctx, c, r)
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
	if was := p.odd.Swap(err != nil); err != nil && !was { // a line each would be a flood
		p.log("probe of %s: %v", node, err)
	}
	return out
}
