package sftp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	files "otterturn/internal/net/protocol/sftp"
	"otterturn/internal/net/routing"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// testbed is a front with nodes on loopback. Projects /a and /b are on shards 0 and 1.
type testbed struct {
	t      *testing.T
	listen net.Listener
	core   *routing.Core
	client *Client
	front  *Front
	addr   string
}

func newTestbed(t *testing.T, wait time.Duration, edit func(*limits.Limits), nodes ...string) *testbed {
	t.Helper()
	l := testsupport.Limits()
	if edit != nil {
		edit(&l)
	}
	b := &testbed{t: t, client: NewClient(l)}
	set := testsupport.Settings()
	set.HealthChecks = true
	b.core = testsupport.StartCore(t, set, b.client.Probe(l))
	list := protocol.List{Full: true}
	for i, addr := range nodes {
		list.Hosts = append(list.Hosts, host(i, addr, scheduler.Running))
	}
	b.updateEndpoints(list)
	b.front = NewFront(Site{
		Projects:   []files.Project{{Name: "a", Prefix: "/a", Shard: 0}, {Name: "b", Prefix: "/b", Shard: 1}},
		Sizes:      files.Sizes{UnitBytes: 16384, BulkBytes: 32768, MaxUnits: 8},
		Classes:    [files.Roles]int{files.RoleWrite: 1, files.RoleWriteOnce: 2},
		TimeLimits: [files.Roles]time.Duration{wait, wait, wait, wait},
		RetryAfter: time.Second,
	}, l, b.core, b.client.Attempt)
	listener := testsupport.Listen(t)
	b.listen, b.addr = listener, listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- b.front.Serve(listener) }()
	t.Cleanup(func() {
		b.front.Stop(listener)
		if err := testsupport.Await(t, "the return of Serve", served); err != nil {
			t.Error(err)
		}
	})
	return b
}

func host(shard int, addr string, state scheduler.NodeState) protocol.Host {
	return protocol.Host{Dial: addr, Endpoint: scheduler.Endpoint{
		Node: "node-" + string(rune('a'+shard)), Shard: shard,
		State: state,
	}}
}

func (b *testbed) updateEndpoints(list protocol.List) { b.core.UpdateEndpoints(b.client.Apply(list)) }

func (b *testbed) dial() *sftp.Client {
	b.t.Helper()
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	s, err := sftp.NewClientPipe(c, c)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { s.Close() })
	return s
}

func TestFileCommands(t *testing.T) {
	one, two := testsupport.NewFileServer(t), testsupport.NewFileServer(t)
	b := newTestbed(t, 5*time.Second, nil, one.Addr, two.Addr)
	c := b.dial()
	for _, root := range []string{"/a", "/b"} {
		if err := c.Mkdir(root); err != nil {
			t.Fatal(err)
		}
	}
	content := bytes.Repeat([]byte("index segment\n"), 10_000)
	f, err := c.Create("/a/snapshot")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if err := c.Rename("/a/snapshot", "/a/current"); err != nil {
		t.Fatal(err)
	}
	if f, err = c.Open("/a/current"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(f); err != nil || !bytes.Equal(got, content) {
		t.Fatalf("read %d bytes, %v", len(got), err)
	}
	for dir, want := range map[string]string{"/": "a,b", "/a": "current", "/b": ""} {
		var names []string
		list, err := c.ReadDir(dir)
		for _, e := range list {
			names = append(names, e.Name())
		}
		if got := strings.Join(names, ","); err != nil || got != want {
			t.Errorf("%s lists %q, %v; want %q", dir, got, err, want)
		}
	}
	if err := c.Truncate("/a/current", 5); err != nil {
		t.Error(err)
	}
	if info, err := c.Stat("/a/current"); err != nil || info.Size() != 5 {
		t.Errorf("stat: %v, %v", info, err)
	}
	if err := c.Mkdir("/a/folder"); err != nil {
		t.Error(err)
	}
	raw := b.raw()
	raw.send(13, "/a/folder") // remove, which applies only to files
	if kind, body := raw.reply(); kind != 101 || binary.BigEndian.Uint32(body[4:]) != 4 {
		t.Errorf("remove of a folder: kind %d, %q", kind, body)
	}
	if err := c.RemoveDirectory("/a/folder"); err != nil {
		t.Error(err)
	}
	if err := c.Remove("/a/current"); err != nil {
		t.Error(err)
	}
	for path, want := range map[string]error{"/a/current": os.ErrNotExist, "/elsewhere": os.ErrNotExist} {
		if _, err := c.Open(path); !errors.Is(err, want) {
			t.Errorf("open %s: %v", path, err)
		}
	}
	if err := c.Rename("/a", "/b/x"); err == nil || !strings.Contains(err.Error(), "between projects") {
		t.Errorf("rename between projects: %v", err)
	}
	if got := b.front.Count("a"); got.Served == 0 || got.Failed != 0 {
		t.Errorf("counted %+v", got)
	}
}

// Guards against the retry of a command that is not idempotent. A node closes the connection after it has executed a command, so the
// front can't know whether the command ran. It may retry only what the class allows, and the client gets one answer.
func TestInterruptedCommandIsRetriedOnlyIfItsClassAllows(t *testing.T) {
	node := testsupport.NewFileServer(t)
	var armed atomic.Value
	armed.Store("")
	node.After = func(op, _ string) bool { return armed.CompareAndSwap(op, "") }
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	c := b.dial()
	if err := c.Mkdir("/a"); err != nil {
		t.Fatal(err)
	}
	f, err := c.Create("/a/upload")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte("first half, ")); err != nil {
		t.Fatal(err)
	}
	armed.Store("Write")
	if _, err := f.Write([]byte("second half")); err != nil {
		t.Errorf("a write at an offset was not retried: %v", err)
	}
	if n := node.Count("Write", "/a/upload"); n != 3 {
		t.Errorf("%d writes reached the node, want 2 and one retry", n)
	}
	for _, once := range []struct {
		op, path string
		do       func() error
	}{
		{"Mkdir", "/a/new", func() error { return c.Mkdir("/a/new") }},
		{"Remove", "/a/upload", func() error { return c.Remove("/a/upload") }},
		{"Create", "/a/trunc", func() error { _, err := c.Create("/a/trunc"); return err }},
	} {
		armed.Store(once.op)
		err := once.do()
		if err == nil || once.op != "Remove" && !strings.Contains(err.Error(), "may or may not") {
			t.Errorf("%s: %v", once.op, err) // the client library tries Rmdir after a failed Remove
		}
		if n := node.Count(once.op, once.path); n != 1 {
			t.Errorf("%s reached the node %d times, want 1", once.op, n)
		}
	}
}

// Guards against a truncated write and a leaked request when a client's connection breaks inside a packet of an upload: the
// incomplete packet must not reach a node, and the client's requests must end.
func TestDisconnectDuringUploadCancelsRequests(t *testing.T) {
	node := testsupport.NewFileServer(t)
	started, resume := make(chan struct{}, 1), make(chan struct{})
	node.Before = func(op, _ string) bool {
		if op == "Write" {
			started <- struct{}{}
			<-resume
		}
		return false
	}
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	setUp := b.dial()
	if err := setUp.Mkdir("/a"); err != nil {
		t.Fatal(err)
	}
	raw := b.raw()
	handle := raw.create(t, "/a/cut")
	raw.send(6, handle, uint64(0), "whole")
	testsupport.Await(t, "the complete write at the node", started)
	half := testsupport.Command(6, 9, handle, uint64(5), "cut off")
	raw.Write(half[:len(half)-3])
	raw.Close()
	testsupport.WaitFor(t, "the end of the client's requests", func() bool { return b.core.Tally().Open == 0 })
	close(resume)
	if n := node.Count("Write", "/a/cut"); n != 1 {
		t.Errorf("%d writes reached the node, want only the complete one", n)
	}
	if got := b.core.Tally(); got.ClientsLeft != 1 {
		t.Errorf("tally %+v, want ClientsLeft 1", got)
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

// Checks that a malformed packet ends only its own connection.
func TestMalformedPacketsEndOnlyTheirConnection(t *testing.T) {
	node := testsupport.NewFileServer(t)
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	for name, bad := range map[string][]byte{
		"unknown kind":    {0, 0, 0, 5, 99, 0, 0, 0, 1},
		"empty":           {0, 0, 0, 0},
		"far too long":    {0x7f, 0xff, 0xff, 0xff, 3},
		"string too long": {0, 0, 0, 9, 17, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff},
		"short setstat":   testsupport.Command(9, 1, "/a", uint32(0xf)),
	} {
		raw := b.raw()
		raw.Write(bad)
		raw.Conn.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, raw); err != nil && !errors.Is(err, net.ErrClosed) &&
			!strings.Contains(err.Error(), "reset") {
			t.Errorf("%s: %v", name, err)
		}
		if err := b.dial().Mkdir("/a/" + strings.ReplaceAll(name, " ", "-")); err != nil && node.Count("Mkdir", "/a") > 0 {
			t.Errorf("after %s: %v", name, err)
		}
	}
	if _, err := b.dial().ReadDir("/"); err != nil {
		t.Error(err)
	}
}

// Checks that each command gets exactly one answer, with commands of many kinds in progress and a node that breaks the connection
// at every third operation.
func TestEveryAcceptedCommandHasOneAnswer(t *testing.T) {
	node := testsupport.NewFileServer(t)
	var ops atomic.Int64
	cut := func(_, _ string) bool { return ops.Add(1)%3 == 0 }
	b := newTestbed(t, 2*time.Second, nil, node.Addr)
	if err := b.dial().Mkdir("/a"); err != nil {
		t.Fatal(err)
	}
	node.Before, node.After = cut, cut
	raw := b.raw()
	kinds := []byte{17, 7, 11, 14, 13, 3, 18, 9, 200} // stat, lstat, opendir, mkdir, remove, open, rename, setstat, extended
	const n = 90
	go func() {
		for i := range uint32(n) {
			kind, path := kinds[int(i)%len(kinds)], "/a/"+string(rune('a'+i%7))
			switch kind {
			case 3:
				raw.Write(testsupport.Command(kind, i, path, uint32(0x0a), uint32(0)))
			case 14, 9:
				raw.Write(testsupport.Command(kind, i, path, uint32(0)))
			case 18:
				raw.Write(testsupport.Command(kind, i, path, path+"x"))
			case 200:
				raw.Write(testsupport.Command(kind, i, "unknown@otterturn", uint32(0)))
			default:
				raw.Write(testsupport.Command(kind, i, path))
			}
		}
	}()
	seen := map[uint32]int{}
	for range n {
		kind, body := raw.reply()
		if kind == 0 {
			t.Fatalf("the connection ended after %d answers", len(seen))
		}
		seen[binary.BigEndian.Uint32(body)]++
	}
	raw.send(16, "/") // if its answer is the next one, no command was answered twice
	if kind, body := raw.reply(); len(seen) != n || kind != 104 || binary.BigEndian.Uint32(body) != 0 {
		t.Errorf("%d of %d commands answered, then a packet of kind %d", len(seen), n, kind)
	}
}

// Checks a stop while commands are in progress: each accepted command is answered, no other is accepted, and the connection ends.
func TestStopAnswersAcceptedCommands(t *testing.T) {
	node := testsupport.NewFileServer(t)
	const n = 6
	started, resume := make(chan struct{}, n), make(chan struct{})
	node.Before = func(op, _ string) bool {
		if op == "Write" {
			started <- struct{}{}
			<-resume
		}
		return false
	}
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	raw := b.raw()
	handle := raw.create(t, "/a")
	var all []byte
	for i := range uint32(n) {
		all = append(all, testsupport.Command(6, i, handle, uint64(i), "x")...)
	}
	raw.Write(append(all, testsupport.Command(6, n, handle, uint64(n), "x")[:9]...)) // and one that stays incomplete
	for range n {
		testsupport.Await(t, "a write at the node", started)
	}
	stopped := make(chan struct{})
	go func() {
		b.front.Stop(b.listen)
		close(stopped)
	}()
	testsupport.WaitFor(t, "the start of the stop", func() bool {
		b.front.mu.Lock()
		defer b.front.mu.Unlock()
		return b.front.closing
	})
	close(resume)
	seen := map[uint32]bool{}
	for range n {
		kind, body := raw.reply()
		if kind != 101 || body[7] != 0 {
			t.Fatalf("kind %d, %q", kind, body)
		}
		seen[binary.BigEndian.Uint32(body)] = true
	}
	if kind, _ := raw.reply(); kind != 0 || len(seen) != n {
		t.Errorf("%d writes answered, then a packet of kind %d", len(seen), kind)
	}
	raw.Close()
	testsupport.Await(t, "the return of Stop", stopped)
}

func TestClientLimits(t *testing.T) {
	node := testsupport.NewFileServer(t)
	b := newTestbed(t, 2*time.Second, func(l *limits.Limits) { l.Files.Handles, l.Files.Conns = 2, 2 }, node.Addr)
	c := b.dial()
	if err := c.Mkdir("/a"); err != nil {
		t.Fatal(err)
	}
	var open []*sftp.File
	for range 2 {
		f, err := c.Create("/a/f")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, f)
	}
	if _, err := c.Create("/a/f"); err == nil || !strings.Contains(err.Error(), "try again in") {
		t.Errorf("third handle: %v, want a rejection", err)
	}
	open[0].Close()
	if _, err := c.Create("/a/f"); err != nil {
		t.Errorf("open after one handle was closed: %v", err)
	}
	b.dial()
	third, err := net.Dial("tcp", b.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	if _, err := sftp.NewClientPipe(third, third); err == nil {
		t.Error("a third client was served")
	}
}

// rawConn is a client that sends and reads single packets.
type rawConn struct{ net.Conn }

func (b *testbed) raw() *rawConn {
	b.t.Helper()
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testsupport.WaitTimeout))
	c.Write([]byte{0, 0, 0, 5, 1, 0, 0, 0, 3})
	r := &rawConn{c}
	if kind, _ := r.reply(); kind != 2 {
		b.t.Fatalf("a packet of kind %d instead of the version", kind)
	}
	return r
}

// create opens a file for writing and returns its handle.
func (r *rawConn) create(t *testing.T, path string) (handle string) {
	t.Helper()
	r.send(3, path, uint32(0x1a), uint32(0)) // write, create, truncate
	kind, reply := r.reply()
	if kind != 102 {
		t.Fatalf("create %s: a packet of kind %d, %q", path, kind, reply)
	}
	return string(reply[8:])
}

func (r *rawConn) send(kind byte, fields ...any) { r.Write(testsupport.Command(kind, 0, fields...)) }

// reply reads a packet. The kind is 0 if the connection has ended.
func (r *rawConn) reply() (kind byte, body []byte) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil
	}
	body = make([]byte, binary.BigEndian.Uint32(head)-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil
	}
	return head[4], body
}
