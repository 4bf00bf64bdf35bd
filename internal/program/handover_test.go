package program

import (
	"path/filepath"
	"strings"
	"testing"

	"otterturn/internal/handover"
	"otterturn/internal/logs"
)

// Guards against a growing memory: ids are kept by number, so the text of each must be bounded, whoever sends it.
func TestOverlongIDOfOtherProcessIsRejected(t *testing.T) {
	if err := new(platform).handleFromOther(handover.KindRequestID, strings.Repeat("x", 10_000), nil); err == nil {
		t.Error("an id of 10,000 bytes was taken")
	}
}

// Guards against a crash when a request announces its id after the successor has ended: a request may hold the announcing
// function longer than that.
func TestAnnouncingAnIDAfterTheSuccessorEnded(t *testing.T) {
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
	announce := (&platform{log: logs.Discard()}).newIDAnnouncer(c, ended)
	announce("before")
	close(ended)
	c.Close()
	for range 2 * maxQueuedIDs {
		announce("after")
	}
}
