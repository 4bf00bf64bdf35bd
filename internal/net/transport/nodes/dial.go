package nodes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// dialResult is the result of one attempt to open a connection.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRace implements hedged connecting: if an attempt has not ended after a delay, another one starts in parallel, and the first
// connection that is established is used. A running node may accept one connection late and the next one at once, while a machine
// that is gone accepts none. Without the further attempts, one late connection would make the node suspect, and the node would
// then count as cold for the whole slow start.
type dialRace struct {
	ctx     context.Context
	address string
	open    Dial
	ended   chan dialResult
	started int // attempts in total
	running int // attempts that have not ended
}

// Dial opens a connection to an address. It fails when its context ends.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func (r *dialRace) begin() {
	r.started++
	r.running++
	go func() {
		conn, err := r.open(r.ctx, "tcp", r.address)
		r.ended <- dialResult{conn, err}
	}()
}

// dial opens a connection within the connect timeout. The caller has reserved a place for the first attempt; each parallel one needs
// a place of its own.
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
				// A machine refuses connections to a process that has died. A process that resets a new connection
				// runs. If it were treated as dead, it would count as cold for the whole slow start once it answers.
				r.begin()
			}
		}
	}
}

// retryOwnFault waits and then repeats an attempt that failed because this machine lacked a resource. It returns an error if the
// connect timeout expires first.
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

// ErrNoResources reports that this machine lacked a resource to open a connection. It says nothing about the node.
var ErrNoResources = errors.New("no local resources to open a connection")

// isOwnFault reports whether an error of socket(2) or connect(2) is due to this machine's resources rather than to the node.
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

// abandon closes the connections that are established after the race is decided, and frees the place of each attempt.
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

// reserveExtra reserves a place for a further attempt. It reports whether one is free; it closes no idle connection for it.
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
