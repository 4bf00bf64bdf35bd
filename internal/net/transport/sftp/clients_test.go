package sftp

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/limits"
	"otterturn/internal/testsupport"
)

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
