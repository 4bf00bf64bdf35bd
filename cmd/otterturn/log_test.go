package main

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/standin"
)

// Guards against lost requests where the log can't be written: a line ahead of the shutdown held all of it up.
func TestLogThatBlocksHoldsUpNoShutdown(t *testing.T) {
	const deadline = 300 * time.Millisecond
	s := newShutdownSite(t, deadline, nodeDelay/2)
	unread, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	defer log.Close()
	p := s.start(t, func(c *exec.Cmd) { c.Stderr = log })
	fillPipe(t, log)
	clients := &eagerClients{wait: deadline}
	clients.start(t, s.addr, shutdownClients)
	standin.Until(t, "answers", func() bool { clients.mu.Lock(); defer clients.mu.Unlock(); return clients.answered > 0 })
	clients.stopUnder(t, p, deadline, syscall.SIGTERM)
}

// fillPipe writes to a pipe until it takes nothing more, by a description of its own: the other writer goes on to block.
func fillPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	fd, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", pipe.Fd()), unix.O_WRONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	for _, piece := range [][]byte{make([]byte, 4096), make([]byte, 1)} {
		for {
			if _, err := unix.Write(fd, piece); err != nil {
				break
			}
		}
	}
}

// Guards against the end of the program as it writes to a log that nobody reads any more.
func TestLogThatIsClosedEndsNothing(t *testing.T) {
	s := newShutdownSite(t, time.Second, 0)
	read, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := s.start(t, func(c *exec.Cmd) { c.Stderr = log })
	log.Close()
	read.Close()
	p.Process.Signal(syscall.SIGHUP) // a line for each
	standin.Until(t, "the reload", func() bool { return figure(t, s.control, "svc.reloads_ok") == 1 })
	standin.Until(t, "a line that was dropped", func() bool { return figure(t, s.control, "svc.log_lines_dropped") > 0 })
	p.stop(t)
}
