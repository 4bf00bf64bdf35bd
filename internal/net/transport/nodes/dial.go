package nodes

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// dialed is how one attempt to open a connection ended.
type dialed struct {
	conn net.Conn
	err  error
}

// race is hedged connecting: a further attempt begins beside those that are not up soon, and the first that comes up
// is used. A live node may be late with one connection and take the next at once; a vanished machine takes none. One
// late connection alone would make the node suspect, and so cold for the whole ramp.
type race struct {
	ctx     context.Context
	address string
	open    Dial
	ended   chan dialed
	begun   int // attempts in all
	running int // of them those that have not ended
}

// Dial opens a connection to an address, until its context ends.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func (r *race) begin() {
	r.begun++
	r.running++
	go func() {
		conn, err := r.open(r.ctx, "tcp", r.address)
		r.ended <- dialed{conn, err}
	}()
}

// dial opens a connection within the time for connecting. Beside the room that its caller has reserved, each further
// attempt needs some of its own.
func (s *Nodes[T]) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Nodes.ConnectTimeout)
	defer cancel()
	r := &race{ctx: ctx, address: address, open: s.dialer, ended: make(chan dialed, s.limits.Nodes.ConnectTries)}
	defer s.abandon(r)
	r.begin()
	hedge := time.NewTicker(s.limits.Nodes.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if r.begun < s.limits.Nodes.ConnectTries && s.spare() {
				r.begin()
			}
		case d := <-r.ended:
			r.running--
			switch {
			case !errors.Is(d.err, syscall.ECONNRESET):
				return d.conn, d.err
			case r.running > 0:
				s.unspare()
			case r.begun == s.limits.Nodes.ConnectTries:
				return nil, d.err
			default:
				// A process that has died refuses. One that resets a connection as it comes up lives, and took for
				// dead it would count as cold, for the whole ramp, once it answers again.
				r.begin()
			}
		}
	}
}

// abandon closes what still comes up of a race that is decided, and gives back the room of each.
func (s *Nodes[T]) abandon(r *race) {
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if d := <-r.ended; d.conn != nil {
				d.conn.Close()
			}
			s.unspare()
		}
	}()
}

// spare takes room for a further attempt, where there is some that nobody else uses.
func (s *Nodes[T]) spare() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limits.Nodes.Conns {
		return false
	}
	s.open++
	return true
}

func (s *Nodes[T]) unspare() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left()
}
