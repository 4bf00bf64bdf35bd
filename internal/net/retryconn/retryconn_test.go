package retryconn

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// scriptedConn is a connection whose calls return the errors of a list in order and succeed after its end. An error at the end of
// the list repeats.
type scriptedConn struct {
	net.Conn
	errs []error
	text []byte
}

func (s *scriptedConn) next() error {
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	if len(s.errs) > 1 || err == nil {
		s.errs = s.errs[1:]
	}
	return err
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	if err := s.next(); err != nil {
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", err)}
	}
	return copy(p, "data"), nil
}

func (s *scriptedConn) Write(p []byte) (int, error) {
	if err := s.next(); err != nil { // half of p was written
		s.text = append(s.text, p[:len(p)/2]...)
		return len(p) / 2, &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)}
	}
	s.text = append(s.text, p...)
	return len(p), nil
}

// A transient failure of a system call on a client's connection must not lose the answer.
func TestTransientErrorsAreRetried(t *testing.T) {
	for _, transient := range transientErrors {
		s := &scriptedConn{errs: []error{transient, transient, nil}}
		p := make([]byte, 8)
		if n, err := (Conn{s}).Read(p); err != nil || string(p[:n]) != "data" {
			t.Errorf("Read after %v: %q, %v", transient, p[:n], err)
		}
		s.errs = []error{transient, transient, nil}
		if n, err := (Conn{s}).Write([]byte("an answer")); err != nil || n != 9 || string(s.text) != "an answer" {
			t.Errorf("Write after %v: %d, %v; %q was written", transient, n, err, s.text)
		}
	}
}

// Errors that end a connection and expired deadlines are returned at once. Retries of a call that keeps failing end too.
func TestOtherErrorsAreReturnedAtOnce(t *testing.T) {
	for _, end := range []error{syscall.ECONNRESET, syscall.EPIPE, os.ErrDeadlineExceeded, io.EOF} {
		s := &scriptedConn{errs: []error{end}}
		if _, err := (Conn{s}).Write([]byte("x")); !errors.Is(err, end) || len(s.text) > 0 {
			t.Errorf("Write that fails with %v: got %v; %q was written", end, err, s.text)
		}
	}
	s := &scriptedConn{errs: []error{syscall.ENOBUFS}}
	if _, err := (Conn{s}).Read(make([]byte, 1)); !errors.Is(err, syscall.ENOBUFS) {
		t.Error(err)
	}
}

func TestInnermost(t *testing.T) {
	s := &scriptedConn{}
	if Innermost(tls.Server(Conn{s}, nil)) != net.Conn(s) || Innermost(s) != net.Conn(s) {
		t.Error("Innermost did not return the wrapped connection")
	}
}
