// Package testsupport provides test doubles and helpers that tests share: scripted peers on loopback sockets, an in-memory
// SFTP file server, a relay that injects network faults, and functions that wait for a result.
package testsupport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// WaitTimeout is how long a test waits for an expected event before it fails.
const WaitTimeout = 20 * time.Second

// Limits returns limits that are high enough for any test machine.
func Limits() limits.Limits {
	return limits.New(limits.Site{
		MemoryMB: 192, Sockets: 1024, Connect: 2 * time.Second, NodeIdleTimeout: time.Minute,
		MaxDeadline: 5 * time.Second, Files: true,
	})
}

// Settings returns settings with three classes: idempotent, idempotent by key within the shard, and not idempotent.
func Settings() scheduler.Settings {
	aim := scheduler.Micros(300_000)
	return scheduler.Settings{
		Fronts: 1, Tick: 2000, MeanUnits: 2, MaxUnits: 8, MaxAttempts: 4,
		RetryAfter: true, MaxRetryAfter: 2_000_000,
		Classes: []scheduler.Class{
			{LatencyObjective: aim, Idempotency: scheduler.Idempotent, Priority: 1},
			{LatencyObjective: aim, Idempotency: scheduler.IdempotentByKey, DedupScope: scheduler.SameShard, DedupWindow: 60_000_000, Priority: 1},
			{LatencyObjective: aim, Idempotency: scheduler.NotIdempotent, Priority: 1},
		},
		Plans: []scheduler.Plan{{Weight: 1}},
	}
}

// StartCore starts a routing core that stops when the test ends.
func StartCore(t *testing.T, set scheduler.Settings, probe func(string) scheduler.HealthChecked) *routing.Core {
	t.Helper()
	if probe == nil {
		probe = func(node string) scheduler.HealthChecked {
			return scheduler.HealthChecked{Node: node, OK: true, Queue: -1}
		}
	}
	l := Limits()
	l.Requests.Inbox = 64
	core, err := routing.New(set, 1, l, probe)
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	go core.Run(ctx)
	return core
}

// Listen opens a port on a loopback address that only this process uses, one that it has not returned before in a running test.
// Tests close a port in order to have connections refused there or to let a program open it; a later listener of the same
// process or of another package's tests must not take that port.
func Listen(t *testing.T) net.Listener {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
	for range maxPortAttempts {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		if _, inUse := portsInUse.LoadOrStore(addr, true); !inUse {
			t.Cleanup(func() { portsInUse.Delete(addr) })
			return l
		}
		l.Close()
	}
	t.Fatalf("no unused port on %s in %d attempts", host, maxPortAttempts)
	return nil
}

// maxPortAttempts limits how often Listen asks the kernel for a port.
const maxPortAttempts = 100

// portsInUse holds the addresses that Listen has returned to tests that have not ended, whether or not the port is open.
var portsInUse sync.Map

// Peer listens on loopback and calls script for each connection, numbered from 0. The listener and the connections are
// closed when the test ends.
func Peer(t *testing.T, script func(n int, c net.Conn)) (addr string) {
	t.Helper()
	l := Listen(t)
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	})
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			go func() {
				defer c.Close()
				script(n, c)
			}()
		}
	}()
	return l.Addr().String()
}

// Log returns a logger that passes each line, as formatted by slog's text handler, to writeLine.
func Log(writeLine func(line string)) *slog.Logger {
	return slog.New(slog.NewTextHandler(lineWriter(writeLine), nil))
}

type lineWriter func(line string)

func (w lineWriter) Write(p []byte) (int, error) {
	w(string(p))
	return len(p), nil
}

// Await receives a value and fails the test if none arrives within WaitTimeout.
func Await[T any](t *testing.T, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// WaitFor polls a condition until it holds, and fails the test if it doesn't within WaitTimeout.
func WaitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
