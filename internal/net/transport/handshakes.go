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
	"otterturn/internal/net/steady"
)

// Handshakes is a listener that returns connections after their TLS handshake. It has limits of its own: each handshake has
// a timeout, and when too many are in progress the oldest is closed. So a slow or silent client delays no other handshake
// and takes no connection slot from the clients being served.
type Handshakes struct {
	net.Listener
	config *tls.Config
	limits limits.Limits
	ready  chan net.Conn
	failed chan error
	ctx    context.Context
	end    context.CancelFunc

	mu   sync.Mutex
	open *queue.List // handshakes in progress, the oldest first
}

// NewHandshakes returns a TLS listener on top of a plain TCP listener. It accepts until Close.
func NewHandshakes(l net.Listener, config *tls.Config, lim limits.Limits) *Handshakes {
	h := &Handshakes{
		Listener: accept.New(l, lim.AcceptRetry, nil), config: config, limits: lim, ready: make(chan net.Conn), failed: make(chan error, 1),
		open: queue.New(),
	}
	h.ctx, h.end = context.WithCancel(context.Background())
	go h.run()
	return h
}

func (h *Handshakes) run() {
	for {
		raw, err := h.Listener.Accept()
		if err == nil {
			go h.complete(raw, h.register(raw))
			continue
		}
		if h.ctx.Err() == nil {
			h.failed <- err
		}
		return
	}
}

// register adds a handshake and ends the oldest one if there are too many.
func (h *Handshakes) register(raw net.Conn) *queue.Element {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open.Len() >= h.limits.Clients.Handshakes {
		h.open.Front().Value.(net.Conn).Close() // the goroutine of that handshake then removes it from the list
		h.open.MoveToBack(h.open.Front())
	}
	return h.open.PushBack(raw)
}

func (h *Handshakes) complete(raw net.Conn, at *queue.Element) {
	limited, end := context.WithTimeout(h.ctx, h.limits.Clients.HandshakeTimeout)
	conn := tls.Server(steady.Conn{Conn: raw}, h.config)
	err := conn.HandshakeContext(limited)
	end()
	h.mu.Lock()
	h.open.Remove(at)
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
func (h *Handshakes) Accept() (net.Conn, error) {
	select {
	case c := <-h.ready:
		return c, nil
	case err := <-h.failed:
		return nil, err
	case <-h.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener and ends the handshakes in progress.
func (h *Handshakes) Close() error {
	h.end()
	return h.Listener.Close()
}
