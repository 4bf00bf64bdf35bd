package sftp

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	"otterturn/internal/memory"
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
		Classes:    [files.Roles]int{files.RoleWrite: 2},
		TimeLimits: [files.Roles]time.Duration{wait, wait, wait},
		RetryAfter: time.Second,
	}, l, b.core, b.client.Attempt, memory.NewBudget(l.Memory.Shared))
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
