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
	results chan dialResult
	started int // attempts in total
	running int // attempts that have not ended
}

// Dial opens a connection to an address. It fails when its context ends.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

func (r *dialRace) start() {
	r.started++
	r.running++
	go func() {
		conn, err := r.open(r.ctx, "tcp", r.address)
		r.results <- dialResult{conn, err}
	}()
}

// dial opens a connection within the connect timeout. The caller has reserved a place for the first attempt; each parallel one needs
// a place of its own.
func (p *Pool[T]) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.Nodes.ConnectTimeout)
	defer cancel()
	r := &dialRace{ctx: ctx, address: address, open: p.dialer, results: make(chan dialResult, p.limits.Nodes.ConnectTries)}
	defer p.abandon(r)
	r.start()
	hedge := time.NewTicker(p.limits.Nodes.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if r.started < p.limits.Nodes.ConnectTries && p.reserveExtra() {
				r.start()
			}
		case d := <-r.results:
			r.running--
			switch {
			case isOwnFault(d.err):
				if err := p.retryOwnFault(r); err != nil {
					return nil, err
				}
			case !errors.Is(d.err, syscall.ECONNRESET):
				return d.conn, d.err
			case r.running > 0:
				p.releaseExtra()
			case r.started == p.limits.Nodes.ConnectTries:
				return nil, d.err
			default:
				// A machine refuses connections to a process that has died. A process that resets a new connection
				// runs. If it were treated as dead, it would count as cold for the whole slow start once it answers.
				r.start()
			}
		}
	}
}

// retryOwnFault waits and then repeats an attempt that failed because this machine lacked a resource. It returns an error if the
// connect timeout expires first.
func (p *Pool[T]) retryOwnFault(r *dialRace) error {
	pause := time.NewTimer(p.limits.AcceptRetry)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-r.ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoResources, r.ctx.Err())
	}
	r.started--
	r.start()
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
func (p *Pool[T]) abandon(r *dialRace) {
	if r.running == 0 {
		return
	}
	go func() {
		for range r.running {
			if d := <-r.results; d.conn != nil {
				d.conn.Close()
			}
			p.releaseExtra()
		}
	}()
}

// reserveExtra reserves a place for a further attempt. It reports whether one is free; it closes no idle connection for it.
func (p *Pool[T]) reserveExtra() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limits.Nodes.Conns {
		return false
	}
	p.open++
	return true
}

func (p *Pool[T]) releaseExtra() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decrementOpen()
}
