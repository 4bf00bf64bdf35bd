package sftp

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/testsupport"
)

// restartingNode forwards connections to a node, except while it is down: connections are refused then, as by a machine whose process
// has ended.
type restartingNode struct {
	t    *testing.T
	addr string
	node string

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

func newRestartingNode(t *testing.T, node string) *restartingNode {
	r := &restartingNode{t: t, node: node, listener: testsupport.Listen(t)}
	r.addr = r.listener.Addr().String()
	go r.accept(r.listener)
	t.Cleanup(r.down)
	return r
}

func (r *restartingNode) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", r.node)
		if err != nil {
			c.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, c, to)
		r.mu.Unlock()
		go io.Copy(to, c)
		go io.Copy(c, to)
	}
}

func (r *restartingNode) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

func (r *restartingNode) up() {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		r.t.Error(err)
		return
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	go r.accept(l)
}

// Guards against uploads that fail because of a change that surely never ran: the node's process ends between two writes, connections are
// refused for a while, and it comes back.
func TestUploadPassesRestartingNode(t *testing.T) {
	node := testsupport.NewLateFileServer(t)
	restarting := newRestartingNode(t, node.Addr)
	b := newTestbed(t, 5*time.Second, func(l *limits.Limits) { l.Nodes.ReuseDelay = 0 }, restarting.addr)
	client := b.raw()
	handle := client.create(t, "/a/f")
	want := ""
	for i := range 6 {
		if i%2 == 1 {
			restarting.down()
			time.AfterFunc(100*time.Millisecond, restarting.up)
		}
		text := strings.Repeat(string(rune('a'+i)), 5)
		if !client.do(6, handle, uint64(5*i), text) {
			t.Fatalf("write %d failed", i)
		}
		want += text
	}
	if !client.do(4, handle) {
		t.Error("the close failed")
	}
	if got := node.State("/a/f"); got != `644 "`+want+`"` {
		t.Errorf("the file holds %s, want %q", got, want)
	}
	if counts := b.front.Count("a"); counts.Failed+counts.Refused+counts.Blocked > 0 {
		t.Errorf("counts %+v", counts)
	}
}
