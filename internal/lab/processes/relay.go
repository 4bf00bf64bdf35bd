package processes

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
)

// longestMessage is room for a message between fronts.
const longestMessage = 2048

// relay passes messages between fronts on, and counts them. Each front knows another one by a socket of the relay's, which
// is that pair's alone.
type relay struct {
	fronts   []netip.AddrPort // where each hears messages
	sockets  [][]*net.UDPConn // by who hears, then by who seems to say it
	Messages atomic.Int64
	Bytes    atomic.Int64
}

// newRelay opens the sockets for so many fronts.
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

// peers are the addresses by which a front knows all: its own, and the relay's in the place of the others'.
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

// pass hands on what a front says to another, until the relay is closed.
func (r *relay) pass(from, to int) {
	buffer := make([]byte, longestMessage)
	for {
		n, _, err := r.sockets[from][to].ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		r.Messages.Add(1)
		r.Bytes.Add(int64(n))
		r.sockets[to][from].WriteToUDPAddrPort(buffer[:n], r.fronts[to]) // messages may be lost
	}
}

func (r *relay) close() {
	for _, own := range r.sockets {
		for _, c := range own {
			c.Close()
		}
	}
}
