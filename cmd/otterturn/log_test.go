package main

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"otterturn/internal/testsupport"
)

// Guards against requests lost while the log cannot be written: a log line written before the shutdown blocked the whole shutdown.
func TestBlockedLogDoesNotDelayShutdown(t *testing.T) {
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
	testsupport.WaitFor(t, "answers", func() bool { clients.mu.Lock(); defer clients.mu.Unlock(); return clients.answered > 0 })
	clients.stopUnderLoad(t, p, deadline, syscall.SIGTERM)
}

// fillPipe fills a pipe. It opens the pipe a second time: only this file description is non-blocking, and the other writer still
// blocks.
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

// Guards against an exit of the program when it writes to a log pipe whose reader is closed.
func TestClosedLogDoesNotEndTheProgram(t *testing.T) {
	s := newShutdownSite(t, time.Second, 0)
	read, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := s.start(t, func(c *exec.Cmd) { c.Stderr = log })
	log.Close()
	read.Close()
	p.Process.Signal(syscall.SIGHUP) // the reload writes a log line
	testsupport.WaitFor(t, "the reload", func() bool { return metricValue(t, s.control, "svc.reloads_ok") == 1 })
	testsupport.WaitFor(t, "a dropped log line", func() bool { return metricValue(t, s.control, "svc.log_lines_dropped") > 0 })
	p.stop(t)
}
