package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"

	"otterturn/internal/testsupport"
)

// process is a running otterturn program.
type process struct {
	*exec.Cmd
	done   chan error
	output *output // complete once done has received
}

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func start(t *testing.T, env []string, args ...string) *process {
	t.Helper()
	return startWith(t, func(*exec.Cmd) {}, env, args...)
}

// startWith starts a process after prepare has adjusted its command.
func startWith(t *testing.T, prepare func(*exec.Cmd), env []string, args ...string) *process {
	t.Helper()
	ctx, end := context.WithCancel(context.Background()) // a process must not outlive its test
	t.Cleanup(end)
	p := &process{Cmd: exec.CommandContext(ctx, os.Args[0], args...), done: make(chan error, 1), output: &output{}}
	p.Env = append(append(os.Environ(), "OTTERTURN_TEST_RUN=1"), env...)
	p.Stdout, p.Stderr = p.output, p.output
	prepare(p.Cmd)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.Wait() }()
	return p
}

// stop sends SIGTERM and expects exit status 0.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testsupport.Await(t, "the exit of the program", p.done); err != nil {
		t.Errorf("exited with %v:\n%s", err, p.output)
	}
}
