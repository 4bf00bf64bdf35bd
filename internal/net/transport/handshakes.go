package transport

import (
	queue "container/list"
	"context"
	"crypto/tls"
	"net"
	"sync"

	"golang.org/x/crypto/acme"

	"otterturn/internal/limits"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/retryconn"
)

// HandshakeListener is a listener that returns connections after their TLS handshake. It has limits of its own: each handshake has
// a timeout, and when too many are in progress the oldest is closed. So a slow or silent client delays no other handshake
// and takes no connection slot from the clients being served.
type HandshakeListener struct {
	net.Listener
	config    *tls.Config
	limits    limits.Limits
	ready     chan net.Conn
	acceptErr chan error
	ctx       context.Context
	cancel    context.CancelFunc

	mu         sync.Mutex
	inProgress *queue.List // handshakes in progress, the oldest first
}

// NewHandshakeListener returns a TLS listener on top of a plain TCP listener. It accepts until Close.
func NewHandshakeListener(l net.Listener, config *tls.Config, lim limits.Limits) *HandshakeListener {
	h := &HandshakeListener{
		Listener: accept.New(l, lim.AcceptRetry, nil), config: config, limits: lim, ready: make(chan net.Conn),
		acceptErr:  make(chan error, 1),
		inProgress: queue.New(),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	go h.acceptLoop()
	return h
}

func (h *HandshakeListener) acceptLoop() {
	for {
		raw, err := h.Listener.Accept()
		if err == nil {
			go h.completeHandshake(raw, h.register(raw))
			continue
		}
		if h.ctx.Err() == nil {
			h.acceptErr <- err
		}
		return
	}
}

// register adds a handshake and ends the oldest one if there are too many.
func (h *HandshakeListener) register(raw net.Conn) *queue.Element {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inProgress.Len() >= h.limits.Clients.Handshakes {
		h.inProgress.Front().Value.(net.Conn).Close() // the goroutine of that handshake then removes it from the list
		h.inProgress.MoveToBack(h.inProgress.Front())
	}
	return h.inProgress.PushBack(raw)
}

func (h *HandshakeListener) completeHandshake(raw net.Conn, element *queue.Element) {
	timeoutCtx, cancel := context.WithTimeout(h.ctx, h.limits.Clients.HandshakeTimeout)
	conn := tls.Server(retryconn.Conn{Conn: raw}, h.config)
	err := conn.HandshakeContext(timeoutCtx)
	cancel()
	h.mu.Lock()
	h.inProgress.Remove(element)
	h.mu.Unlock()
	if err != nil || conn.ConnectionState().NegotiatedProtocol == acme.ALPNProto { // an ACME validation sends no request
		raw.Close()
		return
	}
	select {
	case h.ready <- conn:
	case <-h.ctx.Done():
		raw.Close()
	}
}

// Accept returns the next connection whose handshake is complete.
func (h *HandshakeListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.ready:
		return c, nil
	case err := <-h.acceptErr:
		return nil, err
	case <-h.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener and ends the handshakes in progress.
func (h *HandshakeListener) Close() error {
	h.cancel()
	return h.Listener.Close()
}
