package store

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"otterturn/internal/state/snapshot"
)

// steps are those of a save, in their order.
var steps = []string{"keep", "keep on", "create", "write", "write on", "replace", "sync"}

func snap(count uint64) snapshot.Snapshot {
	return snapshot.Snapshot{Front: "a", Saved: 1, Count: count, Nodes: make([]snapshot.Node, 50)}
}

func acceptAny(snapshot.Snapshot) error { return nil }

func open(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func save(t *testing.T, s *Store, count uint64) {
	t.Helper()
	if r, err := s.Save(snap(count)); err != nil || !r.There || !r.Sure || r.Bytes == 0 {
		t.Fatalf("save %d: %+v, %v", count, r, err)
	}
}

// TestMain lets the test's binary be a process that is killed at a step of its save.
func TestMain(m *testing.M) {
	if step := os.Getenv("STORE_TEST_KILL"); step != "" {
		s, err := Open(os.Getenv("STORE_TEST_FOLDER"))
		if err != nil {
			panic(err)
		}
		s.fault = func(at string) error {
			if at == step {
				os.Exit(9) // nothing that is deferred runs
			}
			return nil
		}
		s.Save(snap(3))
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestKillAtEveryStepLeavesOneWhole(t *testing.T) {
	for i, step := range steps {
		folder := t.TempDir()
		s := open(t, folder)
		save(t, s, 1)
		save(t, s, 2)
		s.Close()
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "STORE_TEST_KILL="+step, "STORE_TEST_FOLDER="+folder)
		if err := c.Run(); c.ProcessState.ExitCode() != 9 {
			t.Fatalf("%s: %v", step, err)
		}
		want := uint64(2)
		if i > 5 { // behind the rename
			want = 3
		}
		s = open(t, folder)
		got, notes := s.Load(acceptAny)
		if got == nil || got.Count != want || got.Older || len(notes) > 0 {
			t.Errorf("killed at %q: read %+v, %v", step, got, notes)
		}
		if begun, _ := filepath.Glob(filepath.Join(folder, ".*")); len(begun) > 0 {
			t.Errorf("killed at %q: %v is left", step, begun)
		}
		save(t, s, 4)
		if got, _ := s.Load(acceptAny); got.Count != 4 {
			t.Errorf("killed at %q: the next save left %d", step, got.Count)
		}
	}
}

func TestErrorAtEveryStepLosesNothing(t *testing.T) {
	broken := errors.New("no space left")
	for i, step := range steps {
		s := open(t, t.TempDir())
		save(t, s, 1)
		save(t, s, 2)
		s.fault = func(at string) error {
			if at == step {
				return broken
			}
			return nil
		}
		r, err := s.Save(snap(3))
		if !errors.Is(err, broken) || r.Sure || r.There != (i > 5) {
			t.Errorf("%s: %+v, %v", step, r, err)
		}
		got, notes := s.Load(acceptAny)
		if want := map[bool]uint64{false: 2, true: 3}[i > 5]; got == nil || got.Count != want || len(notes) > 0 {
			t.Errorf("%s: read %+v, %v", step, got, notes)
		}
		s.fault = func(string) error { return nil }
		save(t, s, 4)
	}
}

// The last file is torn, the one before is whole: that is read, as an older one, and the torn one is kept.
func TestDamagedFileIsSetAside(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	save(t, s, 1)
	save(t, s, 2)
	name := filepath.Join(folder, currentName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, whole[:len(whole)-1], 0o600); err != nil {
		t.Fatal(err)
	}
	got, notes := s.Load(acceptAny)
	if got == nil || got.Count != 1 || !got.Older || len(notes) != 1 || !strings.Contains(notes[0], "damaged") {
		t.Fatalf("read %+v, %v", got, notes)
	}
	aside, err := Aside(folder)
	if err != nil || len(aside) != 1 {
		t.Fatalf("set aside: %v, %v", aside, err)
	}
	if kept, err := os.ReadFile(filepath.Join(folder, aside[0])); err != nil || len(kept) != len(whole)-1 {
		t.Errorf("%d bytes kept, %v", len(kept), err)
	}
	if got, notes := s.Load(acceptAny); got == nil || !got.Older || len(notes) > 0 {
		t.Errorf("the next start: %+v, %v", got, notes)
	}
	save(t, s, 5)
	if got, _ := s.Load(acceptAny); got.Count != 5 || got.Older {
		t.Errorf("after the next save: %+v", got)
	}
}

// What judge turns down is set aside as well, both files where it turns down both.
func TestFileThatIsNotToBeUsed(t *testing.T) {
	s := open(t, t.TempDir())
	save(t, s, 1)
	save(t, s, 2)
	other := errors.New("another front's")
	if got, notes := s.Load(func(snapshot.Snapshot) error { return other }); got != nil || len(notes) != 2 ||
		!strings.Contains(notes[0], other.Error()) {
		t.Errorf("read %+v, %v", got, notes)
	}
	if aside, _ := Aside(s.folder); len(aside) != 2 {
		t.Errorf("set aside: %v", aside)
	}
	if got, notes := s.Load(acceptAny); got != nil || len(notes) > 0 {
		t.Errorf("read %+v, %v from a folder that is empty now", got, notes)
	}
}

func TestSecondProcessIsTurnedAway(t *testing.T) {
	folder := t.TempDir()
	first := open(t, folder)
	if _, err := Open(folder); !errors.Is(err, ErrTaken) {
		t.Errorf("a second one: %v", err)
	}
	first.Close()
	open(t, folder)
}

// The disk was taken away, and is there again: saves fail meanwhile, and nothing is written in its place.
func TestFolderThatVanishesAndComesBack(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	s := open(t, folder)
	save(t, s, 1)
	if err := os.Rename(folder, folder+".away"); err != nil {
		t.Fatal(err)
	}
	if r, err := s.Save(snap(2)); err == nil || r.There {
		t.Errorf("saved without a folder: %+v", r)
	}
	if _, err := os.Stat(folder); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("made in the place of the one that is away: %v", err)
	}
	if err := os.Rename(folder+".away", folder); err != nil {
		t.Fatal(err)
	}
	save(t, s, 3)
	if err := os.RemoveAll(folder); err != nil { // for good, and another one in its place
		t.Fatal(err)
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	save(t, s, 4)
	if _, err := Open(folder); !errors.Is(err, ErrTaken) {
		t.Errorf("the new folder is not locked: %v", err)
	}
}

func TestReadChangesNothing(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	save(t, s, 1)
	save(t, s, 2)
	for previous, want := range map[bool]uint64{false: 2, true: 1} {
		if got, err := Read(folder, previous); err != nil || !reflect.DeepEqual(got.Count, want) {
			t.Errorf("previous %v: %d, %v", previous, got.Count, err)
		}
	}
	if _, err := Read(t.TempDir(), false); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an empty folder: %v", err)
	}
}
