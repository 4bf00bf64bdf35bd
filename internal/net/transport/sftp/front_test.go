package sftp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/testsupport"
)

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
