package processes

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
)

// longestMessage is the buffer size for a message between fronts, in bytes.
const longestMessage = 2048

// relay forwards messages between fronts and counts them. It has one socket for each ordered pair of fronts, whose address
// stands for the one front in the other's list of peers.
type relay struct {
	fronts   []netip.AddrPort // addresses at which fronts receive messages
	sockets  [][]*net.UDPConn // indexed by the front that has the address as a peer, then by the front that it stands for
	Messages atomic.Int64
	Bytes    atomic.Int64
}

// newRelay opens the sockets for many fronts and starts forwarding.
func newRelay(many int) (*relay, error) {
	r := &relay{sockets: make([][]*net.UDPConn, many)}
	for i := range many {
		r.fronts = append(r.fronts, netip.MustParseAddrPort(ownAddress()))
		for range many {
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host())})
			if err != nil {
				r.close()
				return nil, fmt.Errorf("relay: %w", err)
			}
			r.sockets[i] = append(r.sockets[i], c)
		}
	}
	for i := range many {
		for j := range many {
			go r.pass(i, j)
		}
	}
	return r, nil
}

// peers returns the list of peers of a front: its own address, and the relay's addresses in place of the others.
func (r *relay) peers(of int) []string {
	var out []string
	for j, c := range r.sockets[of] {
		if j == of {
			out = append(out, r.fronts[of].String())
			continue
		}
		out = append(out, c.LocalAddr().String())
	}
	return out
}

// pass forwards messages from one front to another until the relay is closed.
func (r *relay) pass(from, to int) {
	buffer := make([]byte, longestMessage)
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
