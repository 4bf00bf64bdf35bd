package program

import (
	"path/filepath"
	"testing"

	"otterturn/internal/handover"
	"otterturn/internal/logs"
)

// Guards against the end of the program where a request announces its id as the successor has gone: it may hold the function that
// tells of it beyond that.
func TestIDIsAnnouncedToNobodyBehindTheEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "handover")
	l, err := handover.Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := handover.Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	announce := (&platform{log: logs.Quiet()}).announcer(c, ended)
	announce("before")
	close(ended)
	c.Close()
	for range 2 * queuedIDs {
		announce("behind")
	}
}
