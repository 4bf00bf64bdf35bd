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
	"otterturn/rules"
)

// Peers carries short messages between fronts. They may be lost, so nothing waits for one, and what can't be read is
// passed over.
type Peers struct {
	conn    *net.UDPConn
	addrs   []netip.AddrPort       // by number
	numbers map[netip.AddrPort]int // whose address it is
	again   time.Duration          // pause after a failure
	log     *slog.Logger
	paused  atomic.Bool
	resumed chan struct{} // holds one: no longer paused
}

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
	p := &Peers{resumed: make(chan struct{}, 1), conn: conn, addrs: addrs, numbers: make(map[netip.AddrPort]int, len(addrs)), again: l.AcceptRetry, log: log}
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
func (p *Peers) Send(to int, a rules.Action) {
	if text := protocol.FormatNote(a); text != nil && !p.paused.Load() && to >= 0 && to < len(p.addrs) {
		p.conn.WriteToUDPAddrPort(text, p.addrs[to]) // one that can't be sent is one that was lost
	}
}

// Run hands what comes to hear until ctx ends.
func (p *Peers) Run(ctx context.Context, hear func(rules.Event)) {
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
			rest(ctx, p.again)
			continue
		}
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known || n > protocol.LongestNote {
			continue // no peer's
		}
		e, err := protocol.ParseNote(number, buffer[:n])
		if err != nil {
			p.log.Warn("a peer's message can't be read", "peer", from.String(), "error", err)
			continue
		}
		hear(e)
	}
}
