package sftp

import (
	"fmt"
	"testing"
	"time"

	"otterturn/internal/testsupport"
)

// Guards against commands that run for a client that has disconnected. The client has one command at a node, sends more, and closes
// the connection. The end of the stream comes after the packets that wait for their turn, so it was not noticed, and each of these
// commands was executed in turn.
func TestDisconnectStopsQueuedCommands(t *testing.T) {
	node := testsupport.NewFileServer(t)
	started, resume := make(chan struct{}, 64), make(chan struct{})
	node.Before = func(op, path string) bool {
		if op == "Mkdir" && path != "/a" {
			started <- struct{}{}
			<-resume
		}
		return false
	}
	b := newTestbed(t, 5*time.Second, nil, node.Addr)
	raw := b.rawWithFolder()
	for i := range 20 {
		raw.Write(testsupport.Command(14, uint32(i), fmt.Sprint("/a/", i), uint32(0)))
	}
	testsupport.Await(t, "the first command at the node", started)
	raw.Close()
	testsupport.WaitFor(t, "the end of the client's requests", func() bool { return b.core.Tally().Open == 0 })
	close(resume)
	testsupport.WaitFor(t, "the end of the client", func() bool {
		b.front.mu.Lock()
		defer b.front.mu.Unlock()
		return len(b.front.conns) == 0
	})
	if got := b.core.Tally(); got.ClientsLeft != 1 || len(started) != 0 {
		t.Errorf("%d further commands started, want 0; tally %+v, want ClientsLeft 1", len(started), got)
	}
}
