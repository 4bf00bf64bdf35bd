package handover

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// newChannels returns both ends of a channel.
func newChannels(t *testing.T) (predecessor, successor *Channel) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "handover")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	successor, err = Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	predecessor = NewChannel(accepted)
	t.Cleanup(func() {
		predecessor.Close()
		successor.Close()
	})
	return predecessor, successor
}

// Guards against a leak of descriptors: a message that carries more than one socket is rejected, and all of them must be closed.
func TestSurplusSocketsAreClosed(t *testing.T) {
	predecessor, successor := newChannels(t)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	rights := syscall.UnixRights(int(writer.Fd()), int(writer.Fd()))
	if _, _, err := predecessor.conn.WriteMsgUnix([]byte{byte(KindConnection)}, rights, nil); err != nil {
		t.Fatal(err)
	}
	writer.Close()
	if _, _, socket, err := successor.Receive(); err == nil {
		t.Errorf("received %v, want an error", socket)
	}
	reader.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := reader.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("error %v, want EOF: a copy of the descriptor is open", err)
	}
}

// Guards against a predecessor that accepts no clients for as long as its successor reads slowly: each part of the state had a
// timeout of its own, and nothing bounded them all.
func TestSlowReaderEndsHandoverAtItsTimeout(t *testing.T) {
	const timeout, readPause, parts = 100 * time.Millisecond, 20 * time.Millisecond, 100
	predecessor, successor := newChannels(t)
	if err := predecessor.SetTimeout(timeout); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			if _, _, _, err := successor.Receive(); err != nil {
				return
			}
			time.Sleep(readPause)
		}
	}()
	if err := predecessor.SendState(make([]byte, parts*maxPartBytes), nil); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want a timeout", err)
	}
}

// Requests wait for messages to the other process. Sending must time out if that process is stalled and reads nothing.
func TestSendTimesOut(t *testing.T) {
	path := filepath.Join(t.TempDir(), "handover")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetTimeout(0); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, 16<<10)
	for err == nil {
		err = c.Send(KindRequestID, text, nil)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}
}
