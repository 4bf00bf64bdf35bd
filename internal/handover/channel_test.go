package handover

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

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
