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
	"otterturn/internal/standin"
)

// startUnderFaults starts the front with some of its system calls in the test's hand.
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

// acceptErrors are what accept(2) and tcp(7) name for a listening TCP socket, a firewall's word included. EAGAIN is not among them:
// the kernel says it of an empty queue alone, and wakes the caller with the next connection.
var acceptErrors = []unix.Errno{
	unix.ECONNABORTED, unix.EINTR, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPERM, unix.EPROTO,
	unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT,
}

// Guards against the end of the program where accepting fails for a moment: errors that net/http does not call temporary ended
// it with all that it had taken.
func TestAcceptThatFailsForAMomentEndsNothing(t *testing.T) {
	s := newShutdownSite(t, 3*time.Second, 0)
	p, injector := s.startUnderFaults(t, unix.SYS_ACCEPT4)
	for _, errno := range acceptErrors {
		before := injector.Injected(unix.SYS_ACCEPT4)
		injector.Inject(faults.Rule{Call: unix.SYS_ACCEPT4, Err: errno, Times: 3})
		c := dialFront(t, s.addr)
		c.SetDeadline(time.Now().Add(standin.Patience))
		if _, err := c.Write([]byte(askText("GET", 0, 3*time.Second))); err != nil {
			t.Fatal(err)
		}
		if status, err := readAnswer(c); err != nil || status != 200 {
			t.Fatalf("accept4 fails with %v: %d, %v\n%s", errno, status, err, p.output)
		}
		if injector.Injected(unix.SYS_ACCEPT4) == before {
			t.Errorf("%v was not injected", errno)
		}
		injector.Clear()
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := standin.Await(t, "the end of the program", p.done); err != nil {
		t.Errorf("ended with %v:\n%s", err, p.output)
	}
}

// Guards against requests that are answered too late as accepting failed: what they waited in the kernel is off the time that their
// clients have left.
func TestRequestThatWaitedToBeAcceptedHasLessTime(t *testing.T) {
	const failing, wait = 400 * time.Millisecond, 300 * time.Millisecond
	s := newShutdownSite(t, 3*time.Second, 0)
	p, injector := s.startUnderFaults(t, unix.SYS_ACCEPT4)
	before := s.asked.Load()
	injector.Inject(faults.Rule{Call: unix.SYS_ACCEPT4, Err: unix.ENFILE, Until: time.Now().Add(failing)})
	c := dialFront(t, s.addr)
	c.SetDeadline(time.Now().Add(standin.Patience))
	c.Write([]byte(askText("GET", 0, wait)))
	status, err := readAnswer(c)
	if asked := s.asked.Load() - before; err != nil || status != 503 || asked != 0 {
		t.Errorf("%d, %v, the node was asked %d times", status, err, asked)
	}
	p.stop(t)
}

// Guards against requests that are reset in the kernel's queue as a front that stops closes its listener while accepting fails.
func TestConnectionsOfTheKernelAreServedAsTheFrontCloses(t *testing.T) {
	const deadline = time.Second
	s := newShutdownSite(t, deadline, 0)
	p, injector := s.startUnderFaults(t, unix.SYS_ACCEPT4)
	stop := limits.Stop(deadline)
	began := time.Now()
	p.Process.Signal(syscall.SIGTERM)
	injector.Inject(faults.Rule{Call: unix.SYS_ACCEPT4, Err: unix.ENFILE, Until: began.Add((stop.Serve + stop.Answer) / 2)})
	time.Sleep(time.Until(began.Add(stop.Serve - 100*time.Millisecond))) // the moments are the terms' own
	c := dialFront(t, s.addr)
	c.SetDeadline(began.Add(killAfter(deadline)))
	c.Write([]byte(askText("GET", 0, deadline)))
	if status, err := readAnswer(c); err != nil {
		t.Errorf("%d, %v\n%s", status, err, p.output)
	}
	if err := standin.Await(t, "the end", p.done); err != nil {
		t.Error(err)
	}
}
