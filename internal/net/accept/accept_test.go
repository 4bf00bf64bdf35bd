package accept

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// script is a listener whose accepts go by a list: an error, or nil for a connection.
type script struct {
	net.Listener
	errs  []error
	calls int
}

func (s *script) Accept() (net.Conn, error) {
	err := s.errs[min(s.calls, len(s.errs)-1)]
	s.calls++
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	server, client := net.Pipe()
	client.Close()
	return server, nil
}

func (s *script) Close() error { return nil }

// Guards against the end of a server where accepting fails for a moment: every error that accept(2) names is passed over.
func TestErrorsOfAcceptArePassedOver(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
		syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK,
	} {
		heard := 0
		l := New(&script{errs: []error{errno, errno, errno, nil}}, 0, func(error) { heard++ })
		conn, err := l.Accept()
		if err != nil || heard != 3 {
			t.Errorf("%v: %v, heard of %d", errno, err, heard)
			continue
		}
		conn.Close()
	}
}

// A request on a connection that waited as accepting failed has waited with it.
func TestDelayIsThatOfTheFailures(t *testing.T) {
	const pause = 30 * time.Millisecond
	l := New(&script{errs: []error{syscall.ENFILE, nil, nil}}, pause, nil)
	for i := range 2 {
		if _, err := l.Accept(); err != nil || l.Delay() < pause {
			t.Errorf("connection %d from the queue: %v, waited %v", i, err, l.Delay())
		}
	}
}

func TestClosedListenerEnds(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(inner, 0, nil)
	l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed: %v", err)
	}
	broken := New(&script{errs: []error{syscall.EBADF}}, 0, nil)
	broken.closed.Store(true)
	if _, err := broken.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("closed under a failure: %v", err)
	}
}
