package processes

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
)

// maxMessageBytes is the buffer size for a message between fronts, in bytes.
const maxMessageBytes = 2048

// relay forwards messages between fronts and counts them. It has one socket for each ordered pair of fronts, whose address
// stands for the one front in the other's list of peers.
type relay struct {
	fronts   []netip.AddrPort // addresses at which fronts receive messages
	sockets  [][]*net.UDPConn // indexed by the front that has the address as a peer, then by the front that it stands for
	Messages atomic.Int64
	Bytes    atomic.Int64
}

// newRelay opens the sockets for count fronts and starts forwarding.
func newRelay(count int) (*relay, error) {
	r := &relay{sockets: make([][]*net.UDPConn, count)}
	for i := range count {
		r.fronts = append(r.fronts, netip.MustParseAddrPort(newAddress()))
		for range count {
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ownHost())})
			if err != nil {
				r.close()
				return nil, fmt.Errorf("relay: %w", err)
			}
			r.sockets[i] = append(r.sockets[i], c)
		}
	}
	for i := range count {
		for j := range count {
			go r.forward(i, j)
		}
	}
	return r, nil
}

// peersOf returns the list of peers of a front: its own address, and the relay's addresses in place of the others.
func (r *relay) peersOf(front int) []string {
	var out []string
	for j, c := range r.sockets[front] {
		if j == front {
			out = append(out, r.fronts[front].String())
			continue
		}
		out = append(out, c.LocalAddr().String())
	}
	return out
}

// forward forwards messages from one front to another until the relay is closed.
func (r *relay) forward(from, to int) {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, _, err := r.sockets[from][to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.Messages.Add(1)
		r.Bytes.Add(int64(n))
		r.sockets[to][from].WriteToUDPAddrPort(buffer[:n], r.fronts[to]) // errors are ignored: messages may be lost
	}
}

func (r *relay) close() {
	for _, own := range r.sockets {
		for _, c := range own {
			c.Close()
		}
	}
}
