package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

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

type inboundKey struct{}

// inboundRequest is a request that has come whole: its body is held, or has gone to a node but for its end.
type inboundRequest struct {
	protocol.Request
	upload *upload
}

// withInbound hands the decoded request to the RoundTripper.
func withInbound(ctx context.Context, m inboundRequest) context.Context {
	return context.WithValue(ctx, inboundKey{}, m)
}

// RoundTrip returns a node's 200 answer, or the core's refusal or failure as an error.
func (t *RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	m, ok := r.Context().Value(inboundKey{}).(inboundRequest)
	if !ok {
		return nil, errors.New("round trip: no request in the context")
	}
	var answer responseHandoff
	var clientGone func() bool
	if conn := connOf(r.Context()); conn != nil {
		clientGone = conn.hungUp
	}
	resp, err := routing.Do(r.Context(), t.core, m.Request.Request,
		func(ctx context.Context, a routing.Attempt) (resp *http.Response, outcome scheduler.AttemptEnded) {
			defer func() { answer.put(resp) }()
			a.ClientGone = clientGone
			if m.upload != nil {
				return t.nodes.finishUpload(ctx, a, m.upload)
			}
			return t.nodes.attempt(ctx, a, withBody(r.Clone(ctx), m.Body))
		})
	if err != nil {
		answer.drop()
	} else if long, ok := resp.Body.(*streamedResponse); ok { // it stays open until its body has been passed on
		long.onClose = t.core.HoldOpen()
	}
	return resp, err
}

// withBody gives a request a body that can be read again for each connection on which it is written.
func withBody(r *http.Request, body []byte) *http.Request {
	r.ContentLength = int64(len(body))
	r.GetBody = func() (io.ReadCloser, error) {
		if len(body) == 0 {
			return http.NoBody, nil
		}
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	return r
}

// responseHandoff is an answer on its way to a client that may have left: nobody else would give its connection back.
type responseHandoff struct {
	mu      sync.Mutex
	resp    *http.Response
	dropped bool
}

func (h *responseHandoff) put(resp *http.Response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resp = resp; h.dropped && resp != nil {
		resp.Body.Close()
	}
}

func (h *responseHandoff) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dropped = true; h.resp != nil {
		h.resp.Body.Close()
	}
}
