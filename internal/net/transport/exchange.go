// Package transport contains the network connections of a front: the listener for clients, the exchanges with nodes, the
// discovery watch, the messages between fronts and the health checks.
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
	"otterturn/internal/memory"
	"otterturn/internal/net/headfilter"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// errBodyTooLong says that the body of a message exceeds its limit.
var errBodyTooLong = errors.New("the body is too long")

// errMalformedResponse says that a node's answer can't be parsed or is incomplete. The request may have run, and the node is
// alive.
var errMalformedResponse = errors.New("malformed answer")

// Nodes holds the HTTP connections to the nodes.
type Nodes struct {
	*nodes.Pool[*stream]
	limits          limits.Limits
	memory          *memory.Budget // for bodies and answers, shared by all fronts of the process
	attemptsWritten atomic.Int64   // attempts whose request was written completely
}

// stream reads answers from a connection, with a limit on the bytes of each.
type stream struct {
	*bufio.Reader
	heads       *headfilter.Reader // removes the fields of an answer that the front does not use
	limit       io.LimitedReader
	source      *source
	firstByteAt time.Time // when the last answer began to arrive
}

// source is a connection that records the error of its last read.
type source struct {
	net.Conn
	readErr error
}

func (s *source) Read(p []byte) (n int, err error) {
	n, s.readErr = s.Conn.Read(p)
	return n, s.readErr
}

func newStream(c net.Conn, l limits.RequestLimits) *stream {
	s := &stream{source: &source{Conn: c}}
	s.limit.R = s.source
	s.heads = headfilter.NewReader(&s.limit, answerFields, headfilter.Limits{Bytes: l.HeaderBytes, Fields: l.HeaderFields})
	s.Reader = bufio.NewReader(s.heads)
	return s
}

// answerFields are the fields of a node's answer that the front or net/http use.
var answerFields = headfilter.NewFields(append(protocol.AnswerFields(), "Connection", "Content-Length", "Transfer-Encoding")...)

// NewNodes returns a pool without nodes.
func NewNodes(l limits.Limits) *Nodes {
	return &Nodes{limits: l, memory: memory.NewBudget(l.Memory.Shared), Pool: nodes.New(l, nodes.Session[*stream]{
		Open:  func(c net.Conn) (*stream, error) { return newStream(c, l.Requests), nil },
		Alive: func(c net.Conn, session *stream) bool { return session.Buffered() == 0 && isIdle(c) },
	})}
}

// Memory returns the budget for bodies and answers.
func (s *Nodes) Memory() *memory.Budget { return s.memory }

// Attempts returns the number of attempts whose request was written completely.
func (s *Nodes) Attempts() int64 { return s.attemptsWritten.Load() }

// isIdle reports whether a connection is open with nothing to read. A kept connection that was closed, or on which data
// arrived without a request, must not carry a request.
func isIdle(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) { open = hasNothingToRead(fd) })
	return err == nil && open
}

// attempt sends a request to a node once and returns the result. If the connection breaks before the last byte is written,
// the request never ran and is written to another connection: the node may just have closed an idle one.
func (s *Nodes) attempt(ctx context.Context, a routing.Attempt, r *http.Request, body []byte) (*http.Response, scheduler.AttemptEnded) {
	for try := 1; ; try++ {
		resp, result, written := s.attemptOnce(ctx, a, r, body)
		if written || try == s.limits.Nodes.WriteTries || a.CheckPermitted() != nil {
			return resp, result
		}
	}
}

// attemptOnce makes an attempt on one connection. written is false only if another connection may succeed.
func (s *Nodes) attemptOnce(ctx context.Context, a routing.Attempt, r *http.Request, body []byte) (
	resp *http.Response, result scheduler.AttemptEnded, written bool,
) {
	c, err := s.Acquire(a.BeginContext, a.Node, nodes.Running)
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, scheduler.AttemptEnded{Result: scheduler.TimedOut}, true
	case err != nil && a.BeginContext.Err() != nil:
		return nil, scheduler.AttemptEnded{Result: scheduler.NotStarted}, true
	case errors.Is(err, nodes.ErrNotAccepting):
		return nil, scheduler.AttemptEnded{Result: scheduler.QueueFull}, true
	case errors.Is(err, nodes.ErrNoResources):
		return nil, scheduler.AttemptEnded{Result: scheduler.NotStarted}, true
	case err != nil:
		return nil, scheduler.AttemptEnded{Result: scheduler.Unreachable}, true
	}
	message := encodeForNow(ctx, r, body)
	if a.CheckPermitted() != nil {
		s.Release(c, true)
		return nil, scheduler.AttemptEnded{Result: scheduler.NotStarted}, true
	}
	return s.completeAttempt(ctx, a, c, r, message)
}

// completeAttempt writes the last bytes of a request and returns the result of the attempt.
func (s *Nodes) completeAttempt(
	ctx context.Context, a routing.Attempt, c *nodes.Conn[*stream], r *http.Request, message net.Buffers,
) (resp *http.Response, result scheduler.AttemptEnded, written bool) {
	startedAt := time.Now()
	resp, firstByte, written, err := s.exchange(ctx, c, outboundRequest{
		Request: r, message: message, onWritten: a.MarkWritten, mayStream: true,
	})
	if written {
		s.attemptsWritten.Add(1)
	}
	switch {
	case errors.Is(err, errMalformedResponse):
		// As for an error reported by the node, the latency is the time before the answer.
		return nil, scheduler.AttemptEnded{Result: scheduler.Errored, Latency: toMicros(firstByte.Sub(startedAt))}, true
	case err != nil && ctx.Err() != nil:
		return nil, scheduler.AttemptEnded{Result: scheduler.TimedOut}, true
	case err != nil && !written:
		return nil, scheduler.AttemptEnded{Result: scheduler.Unreachable}, false
	case err != nil:
		return nil, scheduler.AttemptEnded{Result: scheduler.Reset, Alive: s.Reconnect(a.Node)}, true
	}
	// The node has done its work when the first byte arrives. The time until the rest has arrived says nothing about its queue:
	// when it was counted as latency, answers that arrived slowly closed every budget.
	result = protocol.ParseOutcome(resp.StatusCode, resp.Header)
	result.Latency = toMicros(firstByte.Sub(startedAt))
	return resp, result, true
}

// outboundRequest is a request as it is written to a node.
type outboundRequest struct {
	*http.Request
	message   net.Buffers // the encoded request
	onWritten func()      // called when the last byte is sent
	// mayStream allows a long answer to be passed on while it arrives. Its reader must then close the body, and ctx no longer
	// bounds it. Otherwise a long answer is malformed.
	mayStream bool
}

// exchange writes a request and reads the answer to its last byte, since only then is it known to be complete. written
// reports whether the request's last byte was sent. The connection is released, or closed if ctx ended or anything was
// unexpected.
func (s *Nodes) exchange(
	ctx context.Context, c *nodes.Conn[*stream], r outboundRequest,
) (resp *http.Response, firstByte time.Time, written bool, err error) {
	reusable, streamed := false, false
	stopInterrupt := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if interrupted := !stopInterrupt(); !streamed {
			s.Release(c, reusable && !interrupted)
		} else if interrupted { // ctx ended before the body could be passed on; after that the body must not be read
			resp.Body.Close()
			resp, err = nil, ctx.Err()
		}
	}()
	for _, part := range r.message {
		if _, err := c.Write(part); err != nil {
			return nil, firstByte, false, fmt.Errorf("write: %w", err)
		}
	}
	r.onWritten()
	held := s.memory.NewReservation()
	defer func() {
		if err != nil || streamed {
			held.Release()
		}
	}()
	resp, body, err := s.readResponse(ctx, c, r, held)
	firstByte = c.Session.firstByteAt // before another exchange on this connection changes it
	if err != nil {
		return nil, firstByte, true, err
	}
	if streamedBody, ok := resp.Body.(*streamedResponse); ok {
		streamed, streamedBody.release = true, func(reusable bool) { s.Release(c, reusable) }
		return resp, firstByte, true, nil
	}
	// Data after the answer belongs to no request, so the connection is closed.
	reusable = !resp.Close && c.Session.Buffered() == 0
	resp.Body, resp.ContentLength, resp.TransferEncoding = &bufferedAnswer{Reader: bytes.NewReader(body), memory: held}, int64(len(body)), nil
	return resp, firstByte, true, nil
}

func toMicros(d time.Duration) scheduler.Micros { return scheduler.Micros(d / time.Microsecond) }

func toDuration(m scheduler.Micros) time.Duration { return time.Duration(m) * time.Microsecond }
