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
	"log/slog"
	"net"
	"net/http"
	"os"
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

// errSpoilt tells that a node answered with what can't be read, or not to its end. The request may have run, and
// the node lives.
var errSpoilt = errors.New("the answer is spoilt")

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
	*nodes.Nodes[*stream]
	limits limits.Limits
	whole  atomic.Int64  // attempts of requests that were written whole
	long   chan struct{} // a token for each long answer that is being read
}

// stream reads answers from a connection, each within a number of bytes.
type stream struct {
	*bufio.Reader
	limit io.LimitedReader
	from  *source
	first time.Time // when the last answer began to come
}

// source is a connection that keeps how the last read of it ended.
type source struct {
	net.Conn
	ended error
}

func (s *source) Read(p []byte) (n int, err error) {
	n, s.ended = s.Conn.Read(p)
	return n, s.ended
}

func newStream(c net.Conn) *stream {
	s := &stream{from: &source{Conn: c}}
	s.limit.R = s.from
	s.Reader = bufio.NewReader(&s.limit)
	return s
}

// NewNodes returns an empty list.
func NewNodes(l limits.Limits) *Nodes {
	return &Nodes{limits: l, long: make(chan struct{}, l.LongAnswers), Nodes: nodes.New(l, nodes.Session[*stream]{
		Open:  func(c net.Conn) (*stream, error) { return newStream(c), nil },
		Alive: func(c net.Conn, in *stream) bool { return in.Buffered() == 0 && quiet(c) },
	})}
}

// Attempts tells how many attempts of requests were written whole.
func (s *Nodes) Attempts() int64 { return s.whole.Load() }

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

// attempt sends a request to a node once and tells how that ended. Where the connection breaks before the last
// byte is written the request never ran, and it is written again to another: the node may just have closed it.
func (s *Nodes) attempt(ctx context.Context, node string, r *http.Request) (*http.Response, rules.Outcome) {
	message, err := encode(r)
	if err != nil {
		return nil, rules.Outcome{Result: rules.Moot}
	}
	for tries := 1; ; tries++ {
		resp, out, written := s.once(ctx, node, r, message)
		if written || tries == s.limits.WriteTries || ctx.Err() != nil {
			return resp, out
		}
	}
}

func encode(r *http.Request) ([]byte, error) {
	var message bytes.Buffer
	if err := r.Write(&message); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return message.Bytes(), nil
}

// once makes an attempt on one connection. written is false only where another connection may do better.
func (s *Nodes) once(ctx context.Context, node string, r *http.Request, message []byte) (resp *http.Response, out rules.Outcome, written bool) {
	c, err := s.Acquire(ctx, node, nodes.Running)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, rules.Outcome{Result: rules.TimedOut}, true
	case errors.Is(err, nodes.ErrNotTaking):
		return nil, rules.Outcome{Result: rules.Full}, true
	case err != nil:
		return nil, rules.Outcome{Result: rules.Unreachable}, true
	}
	began := time.Now()
	resp, written, err = s.exchange(ctx, c, r, message)
	if written {
		s.whole.Add(1)
	}
	switch {
	case errors.Is(err, errSpoilt):
		// As with an error of the node's own, its latency is what came before the answer.
		return nil, rules.Outcome{Result: rules.Errored, Latency: micros(c.Session.first.Sub(began))}, true
	case err != nil && ctx.Err() != nil:
		return nil, rules.Outcome{Result: rules.TimedOut}, true
	case err != nil && !written:
		return nil, rules.Outcome{Result: rules.Unreachable}, false
	case err != nil:
		return nil, rules.Outcome{Result: rules.Reset, Alive: s.Renew(node)}, true
	}
	return resp, protocol.ParseOutcome(resp.StatusCode, resp.Header), true
}

// exchange writes a request and reads the answer to its last byte; only then is it sure that there is one.
// written tells whether the request's last byte left. The connection is given back, or closed if ctx ended or
// anything was odd.
func (s *Nodes) exchange(ctx context.Context, c *nodes.Conn[*stream], r *http.Request, message []byte) (resp *http.Response, written bool, err error) {
	clean := false
	unhook := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() { s.Release(c, unhook() && clean) }()
	if _, err := c.Write(message); err != nil {
		return nil, false, fmt.Errorf("write: %w", err)
	}
	resp, body, err := s.read(ctx, c, r)
	if err != nil {
		return nil, true, err
	}
	// What came behind the answer is none to the next request: it costs the connection.
	clean = !resp.Close && c.Session.Buffered() == 0
	resp.Body, resp.ContentLength, resp.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	return resp, true, nil
}

// read reads an answer whole, past the informational ones ahead of it: one of these taken for the answer would
// have the next request answered with this one's. A connection that breaks may mean that the node died; an answer
// that is no good, or stops short, means that it lives.
func (s *Nodes) read(ctx context.Context, c *nodes.Conn[*stream], r *http.Request) (resp *http.Response, body []byte, err error) {
	in, informational := c.Session, 0
	in.limit.N = int64(s.limits.Header)
	for resp == nil || resp.StatusCode < http.StatusOK {
		if informational++; informational > s.limits.Informational {
			return nil, nil, fmt.Errorf("%w: no end of informational answers", errSpoilt)
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, nil, fmt.Errorf("read: %w", err)
		}
		if ctx.Err() != nil { // that may have set a deadline before
			return nil, nil, ctx.Err()
		}
		if _, err := in.Peek(1); err != nil {
			return nil, nil, fmt.Errorf("read head: %w", err)
		}
		in.first = time.Now()
		if err := c.SetReadDeadline(in.first.Add(s.limits.AnswerRest)); err != nil {
			return nil, nil, fmt.Errorf("read: %w", err)
		}
		if resp, err = http.ReadResponse(in.Reader, r); err != nil {
			return nil, nil, spoilt(ctx, "head", err, in)
		}
	}
	if resp.ContentLength > s.limits.Answer {
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, errTooLong)
	}
	if resp.ContentLength < 0 || resp.ContentLength > s.limits.Body {
		select { // many at once must not fill the memory
		case s.long <- struct{}{}:
			defer func() { <-s.long }()
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
		if err := c.SetReadDeadline(time.Now().Add(s.limits.AnswerRest)); err != nil {
			return nil, nil, fmt.Errorf("read: %w", err)
		}
	}
	in.limit.N = 2 * s.limits.Answer // in chunks it is longer
	if body, err = io.ReadAll(io.LimitReader(resp.Body, s.limits.Answer+1)); err != nil {
		return nil, nil, spoilt(ctx, "body", err, in)
	}
	if int64(len(body)) > s.limits.Answer {
		return nil, nil, fmt.Errorf("%w: %w", errSpoilt, errTooLong)
	}
	return resp, body, nil
}

// spoilt tells an answer that is no good from a connection that broke within it, and from the end of the wait.
func spoilt(ctx context.Context, part string, err error, in *stream) error {
	broke := in.from.ended != nil && !errors.Is(in.from.ended, os.ErrDeadlineExceeded)
	if broke || ctx.Err() != nil {
		return fmt.Errorf("read %s: %w", part, err)
	}
	return fmt.Errorf("%w: %s: %w", errSpoilt, part, err)
}

func micros(d time.Duration) rules.Micros { return rules.Micros(d / time.Microsecond) }

// Prober asks nodes for their health and load.
type Prober struct {
	nodes *Nodes
	path  string
	queue string      // field of the load report, "" for none
	odd   atomic.Bool // the last report could not be read, which was logged
	log   *slog.Logger
}

// NewProber returns a Prober that asks for load reports where nodes have them.
func NewProber(nodes *Nodes, set protocol.Settings, log *slog.Logger) *Prober {
	p := &Prober{nodes: nodes, path: "/health", queue: set.LoadQueue, log: log}
	if set.LoadReports {
		p.path = "/status/load"
	}
	return p
}

// Probe asks one node. An answer that is spoilt, or a connection that breaks under the probe, says nothing of the
// node that another connection would not tell better, so it is asked again.
func (p *Prober) Probe(node string) rules.Probed {
	out := rules.Probed{Node: node, Queue: -1}
	ctx, release := context.WithTimeout(context.Background(), p.nodes.limits.Probe)
	defer release()
	resp, again, err := p.ask(ctx, node)
	for tries := 1; again && tries < p.nodes.limits.ProbeTries; tries++ {
		resp, again, err = p.ask(ctx, node)
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
	if was := p.odd.Swap(err != nil); err != nil && !was { // a line each would be a flood
		p.log.Warn("a load report can't be read", "node", node, "error", err)
	}
	return out
}

// ask sends a probe once. again tells that one more may do better.
func (p *Prober) ask(ctx context.Context, node string) (resp *http.Response, again bool, err error) {
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
	resp, _, err = p.nodes.exchange(ctx, c, r, message)
	return resp, err != nil && ctx.Err() == nil, err
}
