package transport

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"otterturn/internal/net/protocol"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// RoundTripper sends a client's request through the core to the nodes. http.Transport would resend a GET or a request with
// an idempotency key by itself when a kept connection breaks: an attempt that is not counted, and a second copy of a request
// that may still run. So each attempt here is one exchange on one connection.
type RoundTripper struct {
	core  *routing.Core
	nodes *Nodes
}

// NewRoundTripper returns a RoundTripper. Requests must carry an inboundRequest in their context.
func NewRoundTripper(core *routing.Core, nodes *Nodes) *RoundTripper {
	return &RoundTripper{core: core, nodes: nodes}
}

type inboundKey struct{}

// inboundRequest is a request that has arrived completely: its body is buffered, or was sent to a node except for its end.
type inboundRequest struct {
	protocol.Request
	upload *upload
}

// withInbound adds the parsed request to the context that RoundTrip receives.
func withInbound(ctx context.Context, inbound inboundRequest) context.Context {
	return context.WithValue(ctx, inboundKey{}, inbound)
}

// RoundTrip returns a node's answer with status 200, or the core's rejection or failure as an error.
func (t *RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	inbound, ok := r.Context().Value(inboundKey{}).(inboundRequest)
	if !ok {
		return nil, errors.New("round trip: no parsed request in the context")
	}
	var handoff responseHandoff
	var clientGone func() bool
	holdMemory := func() (end func()) { return func() {} }
	if conn := connOf(r.Context()); conn != nil {
		clientGone = conn.hungUp
		holdMemory = conn.requestMemory.Hold // the connection has another reservation for its next request
	}
	resp, err := routing.Do(r.Context(), t.core, inbound.Request.Request,
		func(ctx context.Context, a routing.Attempt) (resp *http.Response, outcome scheduler.AttemptEnded) {
			defer func() { handoff.put(resp) }()
			defer holdMemory()()
			a.ClientGone = clientGone
			if inbound.upload != nil {
				return t.nodes.finishUpload(ctx, a, inbound.upload)
			}
			return t.nodes.attempt(ctx, a, r.Clone(ctx), inbound.Body)
		})
	if err != nil {
		handoff.drop()
	} else if streamedBody, ok := resp.Body.(*streamedResponse); ok { // the request stays open until its body has been passed on
		streamedBody.onClose = t.core.HoldOpen()
	}
	return resp, err
}

// responseHandoff passes an answer to a client that may have left. The answer is then closed here, as nothing else would
// release its connection.
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
