package nodes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// dialResult is how one attempt to open a connection ended.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRace is hedged connecting: a further attempt begins beside those that are not up soon, and the first that comes up
// is used. A live node may be late with one connection and take the next at once; a vanished machine takes none. One
// late connection alone would make the node suspect, and so cold for the whole ramp.
type dialRace struct {
	ctx     context.Context
	address string
	open    Dial
	ended   chan dialResult
	started int // attempts in all
	running int // of them those that have not ended
}

// Dial opens a connection to an address, until its context ends.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func (r *dialRace) begin() {
	r.started++
	r.running++
	go func() {
		conn, err := r.open(r.ctx, "tcp", r.address)
		r.ended <- dialResult{conn, err}
	}()
}

// dial opens a connection within the time for connecting. Beside the room that its caller has reserved, each further
// attempt needs some of its own.
func (s *Pool[T]) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Nodes.ConnectTimeout)
	defer cancel()
	r := &dialRace{ctx: ctx, address: address, open: s.dialer, ended: make(chan dialResult, s.limits.Nodes.ConnectTries)}
	defer s.abandon(r)
	r.begin()
	hedge := time.NewTicker(s.limits.Nodes.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if r.started < s.limits.Nodes.ConnectTries && s.reserveExtra() {
				r.begin()
			}
		case d := <-r.ended:
			r.running--
			switch {
			case isOwnFault(d.err):
				if err := s.retryOwnFault(r); err != nil {
					return nil, err
				}
			case !errors.Is(d.err, syscall.ECONNRESET):
				return d.conn, d.err
			case r.running > 0:
				s.releaseExtra()
			case r.started == s.limits.Nodes.ConnectTries:
				return nil, d.err
			default:
				// A process that has died refuses. One that resets a connection as it comes up lives, and took for
				// dead it would count as cold, for the whole ramp, once it answers again.
				r.begin()
			}
		}
	}
}

// retryOwnFault begins an attempt again that failed for want of something on this machine. The error is the end of the time for
// connecting.
func (s *Pool[T]) retryOwnFault(r *dialRace) error {
	pause := time.NewTimer(s.limits.AcceptRetry)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-r.ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoResources, r.ctx.Err())
	}
	r.started--
	r.begin()
	return nil
}

// ErrNoResources tells that this machine could not open a connection, which says nothing of the node.
var ErrNoResources = errors.New("no connection can be opened from here")

// isOwnFault reports whether an error of socket(2) or connect(2) tells of this machine's resources rather than of the node.
func isOwnFault(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// abandon closes what still comes up of a race that is decided, and gives back the room of each.
func (s *Pool[T]) abandon(r *dialRace) {
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if d := <-r.ended; d.conn != nil {
				d.conn.Close()
			}
			s.releaseExtra()
		}
	}()
}

// reserveExtra takes room for a further attempt, where there is some that nobody else uses.
func (s *Pool[T]) reserveExtra() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.limits.Nodes.Conns {
		return false
	}
	s.open++
	return true
}

func (s *Pool[T]) releaseExtra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uncount()
}
