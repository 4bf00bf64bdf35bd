package sftp

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// Guards against the retry of a change that may have run, a write at an offset included: the node closes the connection after it has
// executed the command, and over SFTP it can't recognize a repeat. The client is told once that the change may have been carried out.
func TestInterruptedChangeIsNotRepeated(t *testing.T) {
	node := testsupport.NewFileServer(t)
	var armed atomic.Value
	armed.Store("")
	node.After = func(op, _ string) bool { return armed.CompareAndSwap(op, "") }
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	c := b.dial()
	if err := c.Mkdir("/a"); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"upload", "moved", "changed", "removed"} {
		f, err := c.Create("/a/" + name)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
	}
	for _, change := range []struct {
		op, path string
		do       func() error
	}{
		{"Mkdir", "/a/new", func() error { return c.Mkdir("/a/new") }},
		{"Create", "/a/trunc", func() error { _, err := c.Create("/a/trunc"); return err }},
		{"Create", "/a/kept", func() error { _, err := c.OpenFile("/a/kept", os.O_WRONLY|os.O_CREATE); return err }},
		{"Setstat", "/a/changed", func() error { return c.Chmod("/a/changed", 0o600) }},
		{"Rename", "/a/moved", func() error { return c.Rename("/a/moved", "/a/target") }},
		{"Write", "/a/upload", func() error {
			f, err := c.OpenFile("/a/upload", os.O_WRONLY)
			if err != nil {
				t.Fatal(err)
			}
			_, err = f.WriteAt([]byte("record"), 0)
			return err
		}},
		{"Remove", "/a/removed", func() error { return c.Remove("/a/removed") }},
	} {
		armed.Store(change.op)
		err := change.do()
		if err == nil || change.op != "Remove" && !strings.Contains(err.Error(), "may or may not") {
			t.Errorf("%s: %v", change.op, err) // the client library tries Rmdir after a failed Remove
		}
		if n := node.Count(change.op, change.path); n != 1 {
			t.Errorf("%s of %s reached the node %d times, want 1", change.op, change.path, n)
		}
	}
}

func TestListingWhileItsNodeDrains(t *testing.T) {
	node := testsupport.NewFileServer(t)
	started, resume := make(chan struct{}, 1), make(chan struct{})
	node.Before = func(op, _ string) bool {
		if op == "List" {
			started <- struct{}{}
			<-resume
		}
		return false
	}
	wait := 2 * time.Second
	b := newTestbed(t, wait, nil, node.Addr)
	c := b.dial()
	if err := c.Mkdir("/a"); err != nil {
		t.Fatal(err)
	}
	out := make(chan error, 1)
	go func() {
		_, err := b.dial().ReadDir("/a")
		out <- err
	}()
	testsupport.Await(t, "the listing at the node", started)
	b.updateEndpoints(protocol.List{Hosts: []protocol.Host{host(0, node.Addr, scheduler.Draining)}})
	began := time.Now()
	_, err := c.ReadDir("/a")
	if err == nil || !strings.Contains(err.Error(), "try again in") {
		t.Errorf("listing sent while the node drains: %v, want a rejection", err)
	}
	if took := time.Since(began); took >= wait {
		t.Errorf("answered after %v, want before the deadline", took)
	}
	successor := testsupport.NewFileServer(t)
	next := host(0, successor.Addr, scheduler.Running)
	next.Node = "node-a2" // holds the same shard
	b.updateEndpoints(protocol.List{Hosts: []protocol.Host{next}})
	if _, err := c.ReadDir("/a"); !errors.Is(err, os.ErrNotExist) || successor.Count("List", "/a") != 1 {
		t.Errorf("listing at the replacement node, which is empty: %v", err)
	}
	close(resume)
	if err := testsupport.Await(t, "the listing in progress", out); err != nil {
		t.Errorf("listing in progress when the drain was announced: %v", err)
	}
	if n := node.Count("List", "/a"); n != 1 {
		t.Errorf("%d listings reached the node, want 1", n)
	}
}

// Checks that the front answers a command by its deadline when the node accepts it and never answers.
func TestSilentNodeIsAnsweredByTheDeadline(t *testing.T) {
	silent := testsupport.Peer(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) })
	b := newTestbed(t, 300*time.Millisecond, func(l *limits.Limits) { l.Nodes.ConnectTimeout = 100 * time.Millisecond }, silent)
	if _, err := b.dial().Stat("/a/x"); err == nil || errors.Is(err, os.ErrNotExist) {
		t.Errorf("stat: %v", err)
	}
	testsupport.WaitFor(t, "the end of the request", func() bool { return b.core.Tally().Open == 0 })
}

// Guards against a panic of the front. A node that answers every command with the status OK makes the SFTP library return neither
// the file nor the attributes. A node with truncated answers must not harm the front either.
func TestNodeWithUnexpectedAnswers(t *testing.T) {
	for name, status := range map[string][]byte{"ok": {0, 0, 0, 0}, "truncated": nil} {
		broken := testsupport.Peer(t, func(_ int, c net.Conn) {
			for r := (&rawConn{c}); ; {
				kind, body := r.reply()
				if kind == 0 {
					return
				} else if kind == 1 {
					c.Write([]byte{0, 0, 0, 5, 2, 0, 0, 0, 3})
					continue
				}
				body = append(body[:4:4], status...)
				c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+1)), append([]byte{101}, body...)...))
			}
		})
		b := newTestbed(t, 300*time.Millisecond, nil, broken)
		c := b.dial()
		if _, err := c.Stat("/a/x"); err == nil {
			t.Errorf("%s: stat succeeded", name)
		}
		if _, err := c.Create("/a/x"); err == nil {
			t.Errorf("%s: a file was opened", name)
		}
	}
}

// Guards against a healthy node that is taken for a silent one: the limit on an answer's size counted the answers to all health checks
// on a connection together, so that one check in some tens of thousands failed.
func TestHealthChecksOnOneConnectionAreCountedSeparately(t *testing.T) {
	node := testsupport.NewFileServer(t)
	b := newTestbed(t, 2*time.Second, func(l *limits.Limits) { l.Files.ResponseBytes, l.Nodes.ReuseDelay = 512, 0 }, node.Addr)
	probe := b.client.Probe(testsupport.Limits())
	for i := range 100 {
		if !probe("node-a").OK {
			t.Fatalf("health check %d failed", i+1)
		}
	}
}
