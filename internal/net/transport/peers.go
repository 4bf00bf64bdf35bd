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

// Peers carries short messages between fronts. They may be lost, so nothing waits for one, and what can't be read is
// passed over.
type Peers struct {
	conn       *net.UDPConn
	addrs      []netip.AddrPort       // by number
	numbers    map[netip.AddrPort]int // whose address it is
	retryDelay time.Duration          // pause after a failure
	log        *slog.Logger
	paused     atomic.Bool
	resumed    chan struct{} // holds one: no longer paused

	// Take hears each datagram of a peer first and tells whether it is its own rather than a note. The text is good
	// until it returns. Set before Run; nil for none.
	Intercept func(from int, text []byte) bool
	// Drop hears of each datagram that was dropped, in the place of the log. Set before Run; nil for none.
	OnDrop func(from netip.AddrPort, why error)
}

// Why a datagram was dropped.
var (
	ErrNoPeer  = errors.New("the sender is no peer")
	ErrTooLong = errors.New("the datagram is too long")
)

// ListenPeers opens the socket for messages of other fronts.
func ListenPeers(listen netip.AddrPort, addrs []netip.AddrPort, l limits.Limits, log *slog.Logger) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return PeersOn(conn, addrs, l, log), nil
}

// PeersOn has messages come on a socket that is open.
func PeersOn(conn *net.UDPConn, addrs []netip.AddrPort, l limits.Limits, log *slog.Logger) *Peers {
	p := &Peers{resumed: make(chan struct{}, 1), conn: conn, addrs: addrs, numbers: make(map[netip.AddrPort]int, len(addrs)), retryDelay: l.AcceptRetry, log: log}
	for i, a := range addrs {
		p.numbers[a] = i
	}
	return p
}

// Socket is what messages come on, to be handed to another process of this front.
func (p *Peers) Socket() *net.UDPConn { return p.conn }

// Pause leaves messages to another process that has the socket, until Resume; nothing is sent meanwhile.
func (p *Peers) Pause() {
	p.paused.Store(true)
	p.conn.SetReadDeadline(time.Unix(1, 0))
}

// Resume takes messages again.
func (p *Peers) Resume() {
	p.conn.SetReadDeadline(time.Time{})
	if p.paused.Swap(false) {
		p.resumed <- struct{}{}
	}
}

// Send sends what the scheduler has for the front of a number.
func (p *Peers) Send(to int, a scheduler.Action) {
	if text := protocol.FormatNote(a); text != nil {
		p.SendBytes(to, text)
	}
}

// SendBytes sends a datagram to the front of a number.
func (p *Peers) SendBytes(to int, text []byte) {
	if !p.paused.Load() && to >= 0 && to < len(p.addrs) {
		p.conn.WriteToUDPAddrPort(text, p.addrs[to]) // one that can't be sent is one that was lost
	}
}

// Run hands what comes to hear until ctx ends.
func (p *Peers) Run(ctx context.Context, hear func(scheduler.Event)) {
	defer context.AfterFunc(ctx, func() { p.conn.Close() })()
	buffer := make([]byte, protocol.LongestNote+1)
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
		if err != nil { // of a peer that is gone, as the next read hears
			sleep(ctx, p.retryDelay)
			continue
		}
		p.receive(from, buffer[:n], hear)
	}
}

// receive hands on one datagram.
func (p *Peers) receive(from netip.AddrPort, text []byte, hear func(scheduler.Event)) {
	number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
	switch {
	case !known:
		p.drop(from, ErrNoPeer)
		return
	case len(text) > protocol.LongestNote:
		p.drop(from, ErrTooLong)
		return
	case p.Intercept != nil && p.Intercept(number, text):
		return
	}
	e, err := protocol.ParseNote(number, text)
	if err != nil {
		p.drop(from, err)
		return
	}
	hear(e)
}

// drop tells of a datagram that was dropped. Without Drop those that can't be read are logged, others are no peer's.
func (p *Peers) drop(from netip.AddrPort, why error) {
	switch {
	case p.OnDrop != nil:
		p.OnDrop(from, why)
	case why != ErrNoPeer && why != ErrTooLong:
		p.log.Warn("peer message unreadable", "peer", from.String(), "error", why)
	}
}
