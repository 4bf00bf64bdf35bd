package sftp

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/testsupport"
)

// Flags of an open, as in the draft.
const (
	openWrite    = 0x02
	openCreate   = 0x08
	openTruncate = 0x10
)

// do sends a command and reports whether it succeeded.
func (r *rawConn) do(kind byte, fields ...any) bool {
	r.send(kind, fields...)
	answer, body := r.reply()
	return answer == 102 || answer == 101 && len(body) >= 8 && body[7] == 0
}

// open opens a file for writing, without creating it, and returns its handle.
func (r *rawConn) open(t *testing.T, path string) string {
	t.Helper()
	r.send(3, path, uint32(openWrite), uint32(0))
	kind, reply := r.reply()
	if kind != 102 {
		t.Fatalf("open %s: a packet of kind %d, %q", path, kind, reply)
	}
	return string(reply[8:])
}

// changeOf is a change of /a/d/f; handle is an open handle of it.
type changeOf struct {
	name   string
	kind   byte
	fields func(handle string) []any
}

func changesOfFile() []changeOf {
	fixed := func(name string, kind byte, fields ...any) changeOf {
		return changeOf{name, kind, func(string) []any { return fields }}
	}
	return []changeOf{
		{"write", 6, func(handle string) []any { return []any{handle, uint64(0), "record"} }},
		fixed("truncating create", 3, "/a/d/f", uint32(openWrite|openCreate|openTruncate), uint32(0)),
		fixed("size", 9, "/a/d/f", uint32(1), uint64(2)),
		fixed("mode", 9, "/a/d/f", uint32(4), uint32(0o600)),
		fixed("remove", 13, "/a/d/f"),
		fixed("rename", 18, "/a/d/f", "/a/d/h"),
		fixed("rename to it", 18, "/a/d/g", "/a/d/f"),
		fixed("rename of its folder", 18, "/a/d", "/a/e"),
	}
}

// heldChange is a change that its node holds until release, while its command has ended.
type heldChange struct {
	node    *testsupport.LateFileServer
	bed     *testbed
	release chan struct{}
	applied chan struct{}
}

// holdChange brings about a held change: the connection to the node is reset, the node is late, or the client leaves.
func holdChange(t *testing.T, first changeOf, trouble string) *heldChange {
	node := testsupport.NewLateFileServer(t)
	h := &heldChange{node: node, release: make(chan struct{}), applied: make(chan struct{}, 8)}
	arrived, armed := make(chan struct{}, 1), make(chan struct{})
	var once atomic.Bool
	node.Plan = func(packet.Request) testsupport.Trouble {
		select {
		case <-armed:
		default:
			return testsupport.Trouble{}
		}
		if once.Swap(true) {
			return testsupport.Trouble{}
		}
		arrived <- struct{}{}
		return testsupport.Trouble{Until: h.release, Reset: trouble == "reset"}
	}
	// Only the held change counts: the later ones are answered.
	node.Applied = func(packet.Request) { h.applied <- struct{}{} }
	h.bed = newTestbed(t, 300*time.Millisecond, func(l *limits.Limits) { l.Nodes.ReuseDelay = 0 }, node.Addr)
	client := h.bed.raw()
	for _, name := range []string{"/a/d/g", "/a/d/f"} {
		handle := client.create(t, name)
		if !client.do(6, handle, uint64(0), "content of "+name) || !client.do(4, handle) {
			t.Fatal("preparing the files failed")
		}
	}
	handle := client.open(t, "/a/d/f")
	for len(h.applied) > 0 {
		<-h.applied
	}
	close(armed)
	client.send(first.kind, first.fields(handle)...)
	testsupport.Await(t, "the change at the node", arrived)
	if trouble == "client leaves" {
		client.Close()
		return h
	}
	if kind, body := client.reply(); kind != 101 || body[7] == 0 {
		t.Fatalf("%s: a packet of kind %d, %q", first.name, kind, body)
	}
	return h
}

func (h *heldChange) state() string {
	return fmt.Sprint(h.node.State("/a/d/f"), h.node.State("/a/d/g"), h.node.State("/a/d/h"), h.node.State("/a/e/f"))
}

// Guards against an acknowledged change that is undone by an earlier one: the earlier command has ended after a reset, a time-out or
// its client's end, and its node carries it out behind the answer to a later change by another handle and client.
func TestLateChangeDoesNotAlterLaterOne(t *testing.T) {
	for _, trouble := range []string{"reset", "late answer", "client leaves"} {
		for _, first := range changesOfFile() {
			for _, later := range changesOfFile() {
				t.Run(fmt.Sprintf("%s, %s, %s", first.name, trouble, later.name), func(t *testing.T) {
					t.Parallel()
					h := holdChange(t, first, trouble)
					other := h.bed.raw()
					if other.do(later.kind, later.fields(other.open(t, "/a/d/f"))...) {
						acknowledged := h.state()
						close(h.release)
						testsupport.Await(t, "the late change", h.applied)
						t.Fatalf("acknowledged with %s, then %s", acknowledged, h.state())
					}
					close(h.release)
					testsupport.Await(t, "the late change", h.applied)
				})
			}
		}
	}
}

// Checks that a late answer ends the doubt about a change: the later change is sent then, and no connection or memory is kept.
func TestLateAnswerSettlesChange(t *testing.T) {
	for _, trouble := range []string{"late answer", "client leaves"} {
		for _, first := range changesOfFile()[:4] { // the file keeps its name
			t.Run(first.name+", "+trouble, func(t *testing.T) {
				t.Parallel()
				h := holdChange(t, first, trouble)
				testsupport.WaitFor(t, "the end of the attempt", func() bool { return len(h.bed.front.changes.unsettled()) == 1 })
				close(h.release)
				testsupport.WaitFor(t, "the end of the change", func() bool { return len(h.bed.front.changes.unsettled()) == 0 })
				other := h.bed.raw()
				if !other.do(6, other.open(t, "/a/d/f"), uint64(0), "later") {
					t.Error("the later write failed")
				}
				order := h.bed.front.changes
				if order.ledger.Len() > 0 || len(order.pending) > 0 || order.memory.Used() > 0 || h.bed.client.lateData.Used() > 0 || len(h.bed.client.lateAnswers) > 0 {
					t.Errorf("%d changes in the ledger, %d pending, %d bytes", order.ledger.Len(), len(order.pending), order.memory.Used())
				}
			})
		}
	}
}

// Checks what clients still may do beside a change in doubt: read the file, write other bytes of it, and change other files. The refusal
// names the file, and counts as blocked.
func TestOtherChangesPassBesideUnsettledOne(t *testing.T) {
	h := holdChange(t, changesOfFile()[0], "reset")
	defer close(h.release)
	other := h.bed.raw()
	handle := other.open(t, "/a/d/f")
	other.send(5, handle, uint64(0), uint32(7))
	if kind, body := other.reply(); kind != 103 || string(body[8:]) != "content" {
		t.Errorf("read: a packet of kind %d, %q", kind, body)
	}
	if !other.do(6, handle, uint64(len("record")), "x") {
		t.Error("a write of other bytes failed")
	}
	if !other.do(9, "/a/d/g", uint32(4), uint32(0o600)) {
		t.Error("a change of another file failed")
	}
	other.send(13, "/a/d/f")
	want := "refused, nothing was changed: a node may still carry out an earlier change of /a/d/f"
	if kind, body := other.reply(); kind != 101 || string(body[12:12+len(want)]) != want {
		t.Errorf("remove: a packet of kind %d, %q", kind, body)
	}
	if got := h.bed.front.Count("a"); got.Blocked != 1 || got.Failed != 1 {
		t.Errorf("counts %+v, want one blocked and one failed", got)
	}
}

// Guards against a change that is told as failed although it was not sent: a write opens the file first, and the connection breaks then.
// A write that was sent, or answered, is not repeated.
func TestWriteIsRepeatedOnlyIfItWasNotSent(t *testing.T) {
	for _, c := range []struct {
		name              string
		dropped           packet.Kind
		succeeds          bool
		writes, unsettled int
	}{
		{"at the open", packet.Open, true, 1, 0},
		{"at the write", packet.Write, false, 0, 1},
		{"at the close", packet.Close, false, 1, 0},
	} {
		var writes atomic.Int64
		var dropped atomic.Bool
		node := testsupport.NewLateFileServer(t)
		node.Applied = func(r packet.Request) {
			if r.Kind == packet.Write {
				writes.Add(1)
			}
		}
		node.Drop = func(r packet.Request) bool {
			ofWrite := r.Kind == c.dropped && r.Flags&openCreate == 0 && (r.Kind != packet.Close || writes.Load() > 0)
			return ofWrite && !dropped.Swap(true)
		}
		b := newTestbed(t, 2*time.Second, nil, node.Addr)
		client := b.raw()
		handle := client.create(t, "/a/d/f")
		if got := client.do(6, handle, uint64(0), "record"); got != c.succeeds || int(writes.Load()) != c.writes {
			t.Errorf("%s: success %v, %d writes; want %v, %d", c.name, got, writes.Load(), c.succeeds, c.writes)
		}
		if n := len(b.front.changes.unsettled()); n != c.unsettled {
			t.Errorf("%s: %d unsettled changes, want %d", c.name, n, c.unsettled)
		}
	}
}
