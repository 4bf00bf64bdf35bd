package changestore

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"sync"
	"testing"

	"otterturn/internal/changes"
)

// Guards against a change that the next process does not know, and against one that it takes for unsettled although it has ended.
func TestChangesInProgressAreFoundAfterReopening(t *testing.T) {
	path := filepath.Join(t.TempDir(), "changes.db")
	store, err := Open(path, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, slog.New(slog.DiscardHandler)); !errors.Is(err, ErrInUse) {
		t.Errorf("a second store of the same file: %v", err)
	}
	const added = 40
	var all sync.WaitGroup
	ids := make([]uint64, added)
	record := func(i int) changes.Record {
		return changes.Record{Group: "a", Node: "node-a", Change: changes.Change{
			Paths: []string{"/a/f", "/a/\xff"}, Subtree: true, Content: true, From: uint64(i), To: 1 << 63,
		}}
	}
	for i := range ids {
		all.Go(func() { ids[i], _ = store.Add(record(i)) })
	}
	all.Wait()
	for _, id := range ids[1:] {
		store.Remove(id)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if store, err = Open(path, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	got, err := store.All()
	if want := map[uint64]changes.Record{ids[0]: record(0)}; err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("found %+v, %v; want %+v", got, err, want)
	}
}

// Checks that a file that is not a store is reported by its name and left as it is.
func TestForeignFileIsKept(t *testing.T) {
	path := filepath.Join(t.TempDir(), "changes.db")
	text := make([]byte, 1<<16)
	copy(text, "not a store")
	os.WriteFile(path, text, 0o600)
	if _, err := Open(path, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a foreign file was opened")
	}
	if left, err := os.ReadFile(path); err != nil || string(left) != string(text) {
		t.Error("the file was changed")
	}
}
