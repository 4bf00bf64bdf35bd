package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/internal/net/transport/nodes"
	"otterturn/scheduler"
)

// upload is a long request that was sent to a node except for its end. A node begins to carry out a request when its last
// byte arrives. The scheduler decides on the request when the client's last byte has arrived, as on any other request: if an
// attempt starts, the end is sent. The bytes that were sent are not kept, so no other node can get the request.
type upload struct {
	node      string
	conn      *nodes.Conn[*stream]
	request   *http.Request
	unsentEnd []byte // the end of the request as it will be written
	guard     *lifecycle.Guard
	release   func(reusable bool)
}

// startUpload sends a long request to a node as it arrives. bodyStart is the part of its body that has arrived. An error
// means that the node can't take the request; errors on the client's side have the type clientError.
func (s *Nodes) startUpload(ctx context.Context, guard *lifecycle.Guard, node string, r *http.Request, bodyStart []byte,
	readNext func(p []byte) (int, error),
) (*upload, error) {
	connectCtx, cancel := context.WithTimeout(ctx, 2*s.limits.Nodes.ConnectTimeout) // time to wait for a connection if all are in use
	defer cancel()
	c, err := s.Acquire(connectCtx, node, nodes.Running)
	if err != nil {
		return nil, err
	}
	u := &upload{node: node, conn: c, request: r, guard: guard}
	u.release = func(reusable bool) { s.Release(c, reusable) }
	if err := u.sendAllButEnd(r, bodyStart, readNext, s.limits); err != nil {
		u.close()
		return nil, err
	}
	return u, nil
}

// sendAllButEnd writes the head and the body except for its end.
func (u *upload) sendAllButEnd(r *http.Request, bodyStart []byte, readNext func(p []byte) (int, error), l limits.Limits) error {
	var pending bytes.Buffer
	writeHead(&pending, r)
	body := io.Writer(&pending)
	if r.ContentLength < 0 {
		body = httputil.NewChunkedWriter(&pending)
	}
	buffer := bodyStart // is used again once its content has been sent
	for ; len(bodyStart) > bufferBytes; bodyStart = bodyStart[bufferBytes:] {
		body.Write(bodyStart[:bufferBytes])
		if err := u.write(&pending, l); err != nil {
			return err
		}
	}
	body.Write(bodyStart)
	buffer = slices.Grow(buffer[:0], bufferBytes)[:bufferBytes]
	for {
		n, err := readNext(buffer)
		if n > 0 { // more data arrived, so the pending bytes are not the end
			if err := u.write(&pending, l); err != nil {
				return err
			}
			body.Write(buffer[:n])
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return clientError{err}
		}
	}
	if r.ContentLength < 0 {
		body.(io.Closer).Close()
		pending.WriteString("\r\n")
	}
	u.unsentEnd = pending.Bytes()
	return u.conn.SetWriteDeadline(time.Time{})
}

// write sends the pending bytes. The node may take a while to accept them, and the client waits as long.
func (u *upload) write(pending *bytes.Buffer, l limits.Limits) error {
	if err := u.guard.Allow(lifecycle.Stream, time.Time{}); err != nil {
		return err
	}
	if err := u.conn.SetWriteDeadline(time.Now().Add(l.Nodes.StreamSilence)); err != nil {
		return err
	}
	if _, err := u.conn.Write(pending.Bytes()); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	pending.Reset()
	return nil
}

// clientError is an error on the client's side.
type clientError struct{ error }

func (e clientError) Unwrap() error { return e.error }

// close closes the connection unless finishUpload has used it.
func (u *upload) close() {
	if u != nil && u.release != nil {
		u.release(false)
		u.release = nil
	}
}

// finishUpload writes the end of a long request and reads the answer. The result of any further call is NotStarted.
func (s *Nodes) finishUpload(ctx context.Context, a routing.Attempt, u *upload) (*http.Response, scheduler.AttemptEnded) {
	if u.node != a.Node || u.release == nil || a.CheckPermitted() != nil {
		return nil, scheduler.AttemptEnded{Result: scheduler.NotStarted}
	}
	u.release = nil
	resp, result, written := s.completeAttempt(ctx, a, u.conn, u.request, net.Buffers{u.unsentEnd})
	if !written && result.Result == scheduler.Unreachable {
		// The connection had been open for long, so its failure says little about the node. A new connection shows whether
		// the node is alive.
		result = scheduler.AttemptEnded{Result: scheduler.Reset, Alive: s.Reconnect(a.Node)}
	}
	return resp, result
}

// upload sends a long request to its node as it arrives.
func (t *RoundTripper) upload(r *http.Request, inbound *inboundRequest, readNext func(p []byte) (int, error)) error {
	node, shard, err := t.core.NodeFor(r.Context(), inbound.Request.Request)
	if err != nil {
		return err
	}
	if node == "" {
		return errNoNodeAvailable
	}
	outbound := &http.Request{
		Method: r.Method, URL: r.URL, Host: r.Host, Header: protocol.Forwarded(r.Header), ContentLength: r.ContentLength,
	}
	protocol.SetTimeLeft(outbound.Header, time.Until(t.core.Guard.Deadline(toDuration(inbound.TimeLeft))))
	bodyStart := inbound.Body
	inbound.Body = nil
	if inbound.upload, err = t.nodes.startUpload(r.Context(), t.core.Guard, node, outbound, bodyStart, readNext); err != nil {
		return err
	}
	inbound.Shard = shard // the shard that holds a new object
	return nil
}

// errNoNodeAvailable is returned if no node can take a request now.
var errNoNodeAvailable = errors.New("no node can take the request")
