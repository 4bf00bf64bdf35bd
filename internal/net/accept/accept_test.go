package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// scriptedListener is a listener whose Accept returns the errors of a list in order, or a connection where the list has nil. The last
// entry repeats.
type scriptedListener struct {
	net.Listener
	errs  []error
	calls int
}

func (s *scriptedListener) Accept() (net.Conn, error) {
	err := s.errs[min(s.calls, len(s.errs)-1)]
	s.calls++
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	server, client := net.Pipe()
	client.Close()
	return server, nil
}

func (s *scriptedListener) Close() error { return nil }

// A transient failure of accept must not end a server: every error that accept(2) names is retried.
func TestAcceptRetriesErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK,
	} {
		reported := 0
		l := New(&scriptedListener{errs: []error{errno, errno, errno, nil}}, 0, func(error) { reported++ })
		conn, err := l.Accept()
		if err != nil || reported != 3 {
			t.Errorf("%v: Accept returned %v after %d reported errors, want a connection after 3", errno, err, reported)
			continue
		}
		conn.Close()
	}
}

// Connections that were queued while accepting failed have waited for the time of the failures, which counts towards the time
// that their requests waited.
func TestDelayIncludesFailures(t *testing.T) {
	const pause = 30 * time.Millisecond
	l := New(&scriptedListener{errs: []error{syscall.ENFILE, nil, nil}}, pause, nil)
	for i := range 2 {
		if _, err := l.Accept(); err != nil || l.Delay() < pause {
			t.Errorf("connection %d from the queue: error %v, delay %v, want at least the pause", i, err, l.Delay())
		}
	}
}

func TestAcceptAfterClose(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, 0, nil)
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept on a closed listener: got %v, want net.ErrClosed", err)
	}
	failing := New(&scriptedListener{errs: []error{syscall.EBADF}}, 0, nil)
	failing.closed.Store(true)
	if _, err := failing.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept that fails after Close: got %v, want net.ErrClosed", err)
	}
}
