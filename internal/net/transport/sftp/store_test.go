package sftp

import (
	"errors"
	"testing"
	"time"

	"otterturn/internal/changes"
	"otterturn/internal/net/protocol/sftp/packet"
	"otterturn/internal/testsupport"
)

// brokenStore stores nothing once it is full.
type brokenStore struct {
	room    int
	removed chan uint64
}

func (s *brokenStore) All() (map[uint64]changes.Record, error) { return nil, nil }

func (s *brokenStore) Add(changes.Record) (uint64, error) {
	if s.room == 0 {
		return 0, errors.New("no space left")
	}
	s.room--
	return uint64(100 + s.room), nil
}

func (s *brokenStore) Remove(id uint64) { s.removed <- id }

// Guards against a change that is sent although the next process would not know about it: the store is full. Reads go on, and nothing of
// the refused change is left.
func TestChangeIsNotSentUnlessItIsStored(t *testing.T) {
	node := testsupport.NewLateFileServer(t)
	applied := make(chan packet.Kind, 8)
	node.Applied = func(r packet.Request) { applied <- r.Kind }
	b := newTestbed(t, 300*time.Millisecond, nil, node.Addr)
	store := &brokenStore{room: 1, removed: make(chan uint64, 8)}
	if err := b.front.UseStore(store); err != nil {
		t.Fatal(err)
	}
	client := b.raw()
	handle := client.create(t, "/a/f")
	if id := testsupport.Await(t, "the removal of the create", store.removed); id != 100 {
		t.Errorf("change %d was removed", id)
	}
	if client.do(6, handle, uint64(0), "record") {
		t.Error("a write that can't be stored was acknowledged")
	}
	if client.open(t, "/a/f"); len(applied) != 1 {
		t.Errorf("%d changes reached the node, want the create alone", len(applied))
	}
	if left := b.front.changes.ledger.Len(); left > 0 || len(b.front.Unsettled()) > 0 {
		t.Errorf("%d changes left", left)
	}
}
