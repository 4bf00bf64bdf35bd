package transport

import (
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/retryconn"
)

// listener passes connections to net/http, within the limit on open connections: those that it accepts, and those that
// another process of the front hands over.
type listener struct {
	net.Listener
	accepting  *accept.Listener
	retryPause time.Duration // pause after a failure to accept
	clients    *clientConns
	adopted    chan net.Conn
	incoming   chan acceptResult
	closed     chan struct{} // closed when no more connections are accepted
	closeOnce  sync.Once
	turnSince  time.Time     // when the open connections last proceeded; used by Accept
	drained    chan struct{} // closed when all accepted connections were passed on

	mu      sync.Mutex
	resumed chan struct{} // nil while connections are accepted, else closed when accepting resumes
	closing bool
}

type acceptResult struct {
	conn  net.Conn
	delay time.Duration // time that the connection may have waited because accepting failed
	err   error
}

// drainTime is how long a closing listener still accepts the connections that are waiting in the kernel. On a busy machine
// the next accept after a failure comes some 10 ms later than its pause.
const drainTime = 50 * time.Millisecond

func newListener(l net.Listener, conns *clientConns, handedOver chan net.Conn, retryPause time.Duration, onError func(error)) *listener {
	created := &listener{
		Listener: l, retryPause: retryPause, clients: conns, adopted: handedOver,
		incoming: make(chan acceptResult), closed: make(chan struct{}), drained: make(chan struct{}),
	}
	created.accepting = accept.New(l, retryPause, func(err error) {
		onError(err)
		created.extendDrain()
	})
	go created.acceptLoop()
	return created
}

// extendDrain makes a closing listener accept for longer after a failure to accept, so that the connections waiting in the
// kernel are accepted too, until the time by which all requests must be answered.
func (l *listener) extendDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tcp, ok := l.Listener.(*net.TCPListener); ok && l.closing && !l.clients.guard.Permits(lifecycle.EndIncomplete) {
		tcp.SetDeadline(time.Now().Add(l.retryPause + drainTime))
	}
}

func (l *listener) acceptLoop() {
	defer close(l.drained)
	for {
		raw, err := l.accepting.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) && l.waitWhilePaused() {
			continue
		}
		if err != nil && l.isClosing() {
			return
		}
		next := acceptResult{conn: raw, err: err}
		if raw != nil {
			l.clients.addPending(1)
			if delay := l.accepting.Delay(); delay > 0 {
				next.delay = min(delay, timeSinceLastReceived(retryconn.Innermost(raw), delay))
			}
		}
		select {
		case l.incoming <- next:
		case <-l.closed:
			if raw != nil {
				l.clients.addPending(-1)
				raw.Close()
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// waitWhilePaused waits until connections are accepted again. It returns false if accepting is not paused.
func (l *listener) waitWhilePaused() bool {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed == nil {
		return false
	}
	select {
	case <-resumed:
	case <-l.closed:
	}
	return true
}

// setPaused stops accepting connections, or resumes it if paused is false. While accepting is paused, new connections go to other
// processes that listen on the same socket, or wait in the kernel.
func (l *listener) setPaused(paused bool) {
	tcp, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closing:
	case paused && l.resumed == nil:
		l.resumed = make(chan struct{})
		tcp.SetDeadline(time.Unix(1, 0))
	case !paused && l.resumed != nil:
		tcp.SetDeadline(time.Time{})
		close(l.resumed)
		l.resumed = nil
	}
}

// acceptTurn is how long new connections are accepted before the open ones proceed.
const acceptTurn = time.Millisecond

// yield lets the open connections proceed once in a while: while they use the processor up, new connections wait in the kernel.
func (l *listener) yield() {
	if time.Since(l.turnSince) < acceptTurn {
		return
	}
	runtime.Gosched()
	l.turnSince = time.Now()
}

// Accept returns the next connection once there is a slot for it. Until then the connection waits here, and those after it
// wait in the kernel's queue.
func (l *listener) Accept() (net.Conn, error) {
	l.yield()
	var next acceptResult
	select {
	case next = <-l.incoming:
		if next.err != nil {
			return nil, next.err
		}
	case next.conn = <-l.adopted:
		l.clients.addPending(1)
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c := newClientConn(next.conn, l.clients, next.delay)
	l.clients.add(c)
	return c, nil
}

// drain begins to close the listener once the connections waiting in the kernel are accepted: closing the socket at once
// would reset them and lose the requests already sent on them. It reports whether no more connections will come. If another
// process of the front accepts, the waiting connections are left to it.
func (l *listener) drain() (finished bool) {
	tcp, ok := l.Listener.(*net.TCPListener)
	l.mu.Lock()
	firstCall := !l.closing
	paused := l.resumed != nil
	l.closing = true
	l.mu.Unlock()
	if !ok || paused {
		l.Close()
	} else if firstCall {
		tcp.SetDeadline(time.Now().Add(l.retryPause + drainTime)) // accepting may be pausing after a failure
	}
	select {
	case <-l.drained:
		l.Close()
		return true
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *listener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// Close closes the listener at once, together with connections that were handed over and not accepted.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	for {
		select {
		case c := <-l.adopted:
			c.Close()
			continue
		default:
		}
		return l.accepting.Close()
	}
}
