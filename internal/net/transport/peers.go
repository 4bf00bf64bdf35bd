package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/scheduler"
)

// Peers exchanges short messages with other fronts. Messages may be lost, so nothing waits for one, and unreadable ones are
// skipped.
type Peers struct {
	conn       *net.UDPConn
	addrs      []netip.AddrPort       // by front number
	numbers    map[netip.AddrPort]int // front number by address
	retryDelay time.Duration          // pause after a failed read
	log        *slog.Logger
	paused     atomic.Bool
	resumed    chan struct{} // has a buffer of one: Resume was called

	// Intercept is called first with each datagram of a peer, and reports whether it has handled it; other datagrams are
	// parsed as scheduler messages. text is valid until Intercept returns. Set before Run; nil for none.
	Intercept func(from int, text []byte) bool
	// OnDrop is called for each dropped datagram, which is then not logged. Set before Run; nil for none.
	OnDrop func(from netip.AddrPort, reason error)
}

// Reasons for dropping a datagram.
var (
	ErrNoPeer  = errors.New("sender is not a peer")
	ErrTooLong = errors.New("datagram is too long")
)

// ListenPeers opens the socket for messages from other fronts.
func ListenPeers(listen netip.AddrPort, addrs []netip.AddrPort, l limits.Limits, log *slog.Logger) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return NewPeers(conn, addrs, l, log), nil
}

// NewPeers receives messages on a socket that is already open.
func NewPeers(conn *net.UDPConn, addrs []netip.AddrPort, l limits.Limits, log *slog.Logger) *Peers {
	p := &Peers{resumed: make(chan struct{}, 1), conn: conn, addrs: addrs, numbers: make(map[netip.AddrPort]int, len(addrs)), retryDelay: l.AcceptRetry, log: log}
	for i, a := range addrs {
		p.numbers[a] = i
	}
	return p
}

// Socket returns the socket, to be handed to another process of this front.
func (p *Peers) Socket() *net.UDPConn { return p.conn }

// Pause leaves messages to another process that has the socket, until Resume. Nothing is sent meanwhile.
func (p *Peers) Pause() {
	p.paused.Store(true)
	p.conn.SetReadDeadline(time.Unix(1, 0))
}

// Resume receives and sends messages again.
func (p *Peers) Resume() {
	p.conn.SetReadDeadline(time.Time{})
	if p.paused.Swap(false) {
		p.resumed <- struct{}{}
	}
}

// Send sends a scheduler action to the front with the given number. An action without a message format is ignored.
func (p *Peers) Send(to int, a scheduler.Action) {
	if text := protocol.FormatPeerMessage(a); text != nil {
		p.SendBytes(to, text)
	}
}

// SendBytes sends a datagram to the front with the given number.
func (p *Peers) SendBytes(to int, text []byte) {
	if !p.paused.Load() && to >= 0 && to < len(p.addrs) {
		p.conn.WriteToUDPAddrPort(text, p.addrs[to]) // a send that fails counts as a lost message
	}
}

// Run calls handle with each received message until ctx ends.
func (p *Peers) Run(ctx context.Context, handle func(scheduler.Event)) {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buffer := make([]byte, protocol.MaxPeerMessageBytes+1)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.paused.Load() {
			select {
			case <-p.resumed:
			case <-ctx.Done():
			}
			continue
		}
		if err != nil { // a message to a peer whose process has ended makes the next read fail
			sleep(ctx, p.retryDelay)
			continue
		}
		p.receive(from, buffer[:n], handle)
	}
}

// receive processes one datagram.
func (p *Peers) receive(from netip.AddrPort, text []byte, handle func(scheduler.Event)) {
	number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	switch {
	case !known:
		p.reportDrop(from, ErrNoPeer)
		return
	case len(text) > protocol.MaxPeerMessageBytes:
		p.reportDrop(from, ErrTooLong)
		return
	case p.Intercept != nil && p.Intercept(number, text):
		return
	}
	e, err := protocol.ParsePeerMessage(number, text)
	if err != nil {
		p.reportDrop(from, err)
		return
	}
	handle(e)
}

// reportDrop reports a dropped datagram to OnDrop. Without OnDrop, only unreadable messages of peers are logged.
func (p *Peers) reportDrop(from netip.AddrPort, reason error) {
	switch {
	case p.OnDrop != nil:
		p.OnDrop(from, reason)
	case reason != ErrNoPeer && reason != ErrTooLong:
		p.log.Warn("peer message unreadable", "peer", from.String(), "error", reason)
	}
}
