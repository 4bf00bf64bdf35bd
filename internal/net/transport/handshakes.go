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

// Handshakes is a listener whose connections have their TLS handshake behind them. It has bounds of its own: a
// client that shakes hands slowly or not at all has its time, and past a number of them the one that has been at it
// longest gives way. None of them holds up the others, or takes the room of clients that are served.
type Handshakes struct {
	net.Listener
	config *tls.Config
	limits limits.Limits
	ready  chan net.Conn
	failed chan error
	ctx    context.Context
	end    context.CancelFunc

	mu   sync.Mutex
	open *queue.List // those under way, the oldest first
}

// NewHandshakes returns a listener before one for plain TCP. It accepts until Close.
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

// register counts a handshake in, and ends the oldest where there are too many.
func (h *Handshakes) register(raw net.Conn) *queue.Element {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open.Len() >= h.limits.Clients.Handshakes {
		h.open.Front().Value.(net.Conn).Close() // which ends it: its own goroutine takes it off the list
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
	if err != nil || conn.ConnectionState().NegotiatedProtocol == acme.ALPNProto { // an authority looks, and asks nothing
		raw.Close()
		return
	}
	select {
	case h.ready <- conn:
	case <-h.ctx.Done():
		raw.Close()
	}
}

// Accept returns the next connection whose handshake is over.
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

// Close ends the listener and the handshakes under way.
func (h *Handshakes) Close() error {
	h.end()
	return h.Listener.Close()
}
