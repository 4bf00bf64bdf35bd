package sftp

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// upload sends a file as OpenSSH's client does: it sends many writes ahead and keeps only the status of the last answer. It reports
// whether that client would treat the upload as successful.
func (r *rawConn) upload(t *testing.T, path string, content []byte, ahead int) (ok bool) {
	const chunk = 32 << 10
	handle := r.create(t, path)
	sent, answered, last := uint32(0), uint32(0), uint32(0)
	chunks := uint32((len(content) + chunk - 1) / chunk)
	for answered < chunks {
		for sent < chunks && sent-answered < uint32(ahead) {
			from := int(sent) * chunk
			r.Write(testsupport.Command(6, sent, handle, uint64(from), string(content[from:min(from+chunk, len(content))])))
			sent++
		}
		kind, body := r.reply()
		if kind != 101 {
			return false
		}
		last = binary.BigEndian.Uint32(body[4:])
		answered++
	}
	return r.status(testsupport.Command(4, chunks, handle)) == 0 && last == 0
}

// rawWithFolder creates the folder /a and returns the client that did so.
func (b *testbed) rawWithFolder() *rawConn {
	b.t.Helper()
	raw := b.raw()
	if code := raw.status(testsupport.Command(14, 0, "/a", uint32(0))); code != 0 {
		b.t.Fatalf("mkdir: code %d", code)
	}
	return raw
}

// status sends a command and returns the code of its answer.
func (r *rawConn) status(command []byte) uint32 {
	r.Write(command)
	_, body := r.reply()
	return binary.BigEndian.Uint32(body[4:])
}

// delayWrites makes a node execute one write at a time, each with the given delay.
func delayWrites(node *testsupport.FileServer, delay time.Duration) {
	var busy sync.Mutex
	node.Before = func(op, _ string) bool {
		if op == "Write" {
			busy.Lock()
			defer busy.Unlock()
			time.Sleep(delay)
		}
		return false
	}
}

// hasContent reports whether a node has a file with exactly this content.
func hasContent(t *testing.T, addr, path string, content []byte) bool {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := sftp.NewClientPipe(c, c)
	if err != nil {
		t.Fatal(err)
	}
	f, err := s.Open(path)
	if err != nil {
		return false
	}
	got, err := io.ReadAll(f)
	return err == nil && bytes.Equal(got, content)
}

func randomContent(size int) []byte {
	out := make([]byte, size)
	source := rand.NewChaCha8([32]byte{1})
	source.Read(out)
	return out
}

// Guards against damaged uploads that clients treat as successful. A fifth of the writes to a slow node were rejected, and clients
// ignored it. Writes that clients send ahead must wait unread until there is room for them, so that all of them are executed.
func TestUploadsToASlowNode(t *testing.T) {
	for _, clients := range []int{1, 4} {
		t.Run(fmt.Sprint(clients, " clients"), func(t *testing.T) {
			node := testsupport.NewFileServer(t)
			delayWrites(node, 20*time.Millisecond)
			b := newTestbed(t, time.Second, func(l *limits.Limits) { l.Files.AdmitTimeout = testsupport.WaitTimeout }, node.Addr)
			data := randomContent(2 << 20 / clients)
			b.rawWithFolder()
			var all sync.WaitGroup
			good := make([]bool, clients)
			for i := range good {
				raw := b.raw()
				all.Go(func() { good[i] = raw.upload(t, fmt.Sprint("/a/f", i), data, 64) })
			}
			all.Wait()
			for i, g := range good {
				if whole := hasContent(t, node.Addr, fmt.Sprint("/a/f", i), data); g && !whole {
					t.Errorf("upload %d is damaged, but the client treats it as successful", i)
				}
			}
			if got := b.front.Count("a"); slices.Contains(good, false) || got.Refused+got.Failed > 0 {
				t.Errorf("successful uploads %v, counts %+v", good, got)
			}
		})
	}
}

// Checks that every command on a handle fails after one of its writes has failed, even if a later write had succeeded before that.
func TestFailedWriteFailsItsHandle(t *testing.T) {
	node := testsupport.NewFileServer(t)
	first, resume := make(chan struct{}, 1), make(chan struct{})
	first <- struct{}{}
	node.Before = func(op, _ string) bool {
		if op == "Write" {
			select {
			case <-first:
				<-resume // until after the command's deadline
			default:
			}
		}
		return false
	}
	defer close(resume)
	b := newTestbed(t, 500*time.Millisecond, nil, node.Addr)
	raw := b.rawWithFolder()
	handle, other := raw.create(t, "/a/f"), raw.create(t, "/a/g")
	raw.Write(slices.Concat(testsupport.Command(6, 1, handle, uint64(0), "a"), testsupport.Command(6, 2, handle, uint64(1), "b")))
	codes := map[uint32]uint32{}
	for range 2 {
		_, body := raw.reply()
		codes[binary.BigEndian.Uint32(body)] = binary.BigEndian.Uint32(body[4:])
	}
	if codes[1]+codes[2] != 4 { // the node may have started with either
		t.Fatalf("codes %v, want exactly one failed write", codes)
	}
	for name, command := range map[string][]byte{
		"later write": testsupport.Command(6, 3, handle, uint64(2), "c"),
		"setstat":     testsupport.Command(10, 4, handle, uint32(8), uint32(1), uint32(1)),
		"fsync":       testsupport.Command(200, 5, "fsync@openssh.com", handle),
		"close":       testsupport.Command(4, 6, handle),
	} {
		if name != "close" && raw.status(command) == 0 {
			t.Errorf("%s succeeded", name)
		}
	}
	if raw.status(testsupport.Command(4, 6, handle)) == 0 {
		t.Error("the close succeeded")
	}
	if raw.status(testsupport.Command(6, 7, other, uint64(0), "d")) != 0 || raw.status(testsupport.Command(4, 8, other)) != 0 {
		t.Error("a write or the close of the client's other file failed")
	}
}

// Guards against a damaged upload that its client treats as successful: a write is rejected while the node drains, and the next one
// would succeed. The client keeps only the last status, so all later commands on the handle must fail.
func TestUploadWhileItsNodeDrains(t *testing.T) {
	node := testsupport.NewFileServer(t)
	b := newTestbed(t, 200*time.Millisecond, nil, node.Addr)
	raw := b.rawWithFolder()
	handle := raw.create(t, "/a/f")
	if raw.status(testsupport.Command(6, 1, handle, uint64(0), "a")) != 0 {
		t.Fatal("the first write failed")
	}
	b.updateEndpoints(protocol.List{Hosts: []protocol.Host{host(0, node.Addr, scheduler.Draining)}})
	if raw.status(testsupport.Command(6, 2, handle, uint64(1), "b")) == 0 {
		t.Error("a write to a draining node succeeded")
	}
	b.updateEndpoints(protocol.List{Hosts: []protocol.Host{host(0, node.Addr, scheduler.Running)}})
	if raw.status(testsupport.Command(6, 3, handle, uint64(2), "c")) == 0 {
		t.Error("a write after the failed one succeeded")
	}
	if raw.status(testsupport.Command(4, 4, handle)) == 0 {
		t.Error("the close succeeded")
	}
}

// Checks that overlapping writes take effect in the order in which they were sent, although many are in progress at once.
func TestOverlappingWritesKeepTheirOrder(t *testing.T) {
	node := testsupport.NewFileServer(t)
	var n int
	var mu sync.Mutex
	node.Before = func(op, _ string) bool {
		if op == "Write" {
			mu.Lock()
			n++
			late := n%2 == 1
			mu.Unlock()
			if late {
				time.Sleep(5 * time.Millisecond)
			}
		}
		return false
	}
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	raw := b.rawWithFolder()
	handle := raw.create(t, "/a/f")
	const times = 20
	for i := range uint32(times) {
		raw.Write(testsupport.Command(6, i, handle, uint64(0), fmt.Sprintf("%04d", i)))
	}
	for range times {
		if kind, _ := raw.reply(); kind != 101 {
			t.Fatalf("a packet of kind %d", kind)
		}
	}
	if !hasContent(t, node.Addr, "/a/f", fmt.Appendf(nil, "%04d", times-1)) {
		t.Error("an earlier write took effect after a later one")
	}
}
