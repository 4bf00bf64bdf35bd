package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/lab/faults"
	"otterturn/internal/limits"
	"otterturn/internal/testsupport"
)

// startUnderFaults starts the front with an injector that can make the given system calls fail.
func (s *shutdownSite) startUnderFaults(t *testing.T, calls ...uintptr) (*process, *faults.Injector) {
	t.Helper()
	p := &process{Cmd: exec.CommandContext(t.Context(), os.Args[0]), done: make(chan error, 1), output: &output{}}
	p.Env = append(os.Environ(), "OTTERTURN_TEST_RUN=1", "RELAY_CONFIG="+s.config, "RELAY_CONTROL="+s.control)
	p.Stdout, p.Stderr = p.output, p.output
	injector, err := faults.Start(p.Cmd, os.Args[0], calls...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill() })
	go func() { p.done <- p.Wait() }()
	s.awaitServing(t)
	return p, injector
}

// acceptErrors are the errors that accept(2) and tcp(7) name for a listening TCP socket, including those that a firewall causes.
// EAGAIN is not among them: the kernel returns it only for an empty queue, and wakes the caller at the next connection.
var acceptErrors = []unix.Errno{
	unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO,
	unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
}

// Guards against a transient accept error that ends the program: errors that net/http does not classify as temporary ended it
// together with all requests that it had accepted.
func TestTransientAcceptErrorsDoNotEndTheProgram(t *testing.T) {
	s := newShutdownSite(t, 3*time.Second, 0)
	p, injector := s.startUnderFaults(t, unix.SYS_ACCEPT4)
	for _, errno := range acceptErrors {
		before := injector.Injected(unix.SYS_ACCEPT4)
		injector.Inject(faults.Rule{Call: unix.SYS_ACCEPT4, Err: errno, Times: 3})
		c := dialFront(t, s.addr)
		c.SetDeadline(time.Now().Add(testsupport.WaitTimeout))
		if _, err := c.Write([]byte(requestHead("GET", 0, 3*time.Second))); err != nil {
			t.Fatal(err)
		}
		if status, err := readAnswer(c); err != nil || status != 200 {
			t.Fatalf("accept4 fails with %v: status %d, error %v\n%s", errno, status, err, p.output)
		}
		if injector.Injected(unix.SYS_ACCEPT4) == before {
			t.Errorf("%v was not injected", errno)
		}
		injector.Clear()
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := testsupport.Await(t, "the exit of the program", p.done); err != nil {
		t.Errorf("exited with %v:\n%s", err, p.output)
	}
}

// Guards against answers that come after the client's deadline because accepting failed: the time that a connection waited in the
// kernel's accept queue is subtracted from the time that its client has left.
func TestTimeInAcceptQueueReducesTimeLeft(t *testing.T) {
	const failing, wait = 400 * time.Millisecond, 300 * time.Millisecond
	s := newShutdownSite(t, 3*time.Second, 0)
	p, injector := s.startUnderFaults(t, unix.SYS_ACCEPT4)
	before := s.received.Load()
	injector.Inject(faults.Rule{Call: unix.SYS_ACCEPT4, Err: unix.ENFILE, Until: time.Now().Add(failing)})
	c := dialFront(t, s.addr)
	c.SetDeadline(time.Now().Add(testsupport.WaitTimeout))
	c.Write([]byte(requestHead("GET", 0, wait)))
	status, err := readAnswer(c)
	if received := s.received.Load() - before; err != nil || status != 503 || received != 0 {
		t.Errorf("status %d, error %v, %d requests reached the node; want status 503 and no request", status, err, received)
	}
	p.stop(t)
}

// Guards against a reset of connections in the kernel's accept queue: a stopping front closes its listener while accepting fails.
func TestConnectionsInAcceptQueueAreServedDuringShutdown(t *testing.T) {
	const deadline = time.Second
	s := newShutdownSite(t, deadline, 0)
	p, injector := s.startUnderFaults(t, unix.SYS_ACCEPT4)
	stop := limits.NewStopLimits(deadline)
	began := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	injector.Inject(faults.Rule{Call: unix.SYS_ACCEPT4, Err: unix.ENFILE, Until: began.Add((stop.Serve + stop.Answer) / 2)})
	time.Sleep(time.Until(began.Add(stop.Serve - 100*time.Millisecond))) // just before the front closes idle connections
	c := dialFront(t, s.addr)
	c.SetDeadline(began.Add(killAfter(deadline)))
	c.Write([]byte(requestHead("GET", 0, deadline)))
	if status, err := readAnswer(c); err != nil {
		t.Errorf("status %d, error %v\n%s", status, err, p.output)
	}
	if err := testsupport.Await(t, "the exit of the program", p.done); err != nil {
		t.Error(err)
	}
}
