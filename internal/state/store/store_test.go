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

// saveSteps are the points at which Save can fail. Only the last one, sync, comes after the rename of the new file.
var saveSteps = []string{"keep", "rename link", "create", "write", "write second half", "replace", "sync"}

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
	if r, err := s.Save(snap(count)); err != nil || !r.Loadable || !r.Durable || r.Bytes == 0 {
		t.Fatalf("save %d: %+v, %v", count, r, err)
	}
}

// TestMain runs the test binary as a process that exits at a step of Save if STORE_TEST_KILL names one.
func TestMain(m *testing.M) {
	if step := os.Getenv("STORE_TEST_KILL"); step != "" {
		s, err := Open(os.Getenv("STORE_TEST_FOLDER"))
		if err != nil {
			panic(err)
		}
		s.injectFault = func(at string) error {
			if at == step {
				os.Exit(9) // without running deferred functions
			}
			return nil
		}
		s.Save(snap(3))
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func TestKillAtAnyStepLeavesIntactSnapshot(t *testing.T) {
	for i, step := range saveSteps {
		folder := t.TempDir()
		s := open(t, folder)
		save(t, s, 1)
		save(t, s, 2)
		s.Close()
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "STORE_TEST_KILL="+step, "STORE_TEST_FOLDER="+folder)
		if err := cmd.Run(); cmd.ProcessState.ExitCode() != 9 {
			t.Fatalf("%s: %v", step, err)
		}
		want := uint64(2)
		if i > 5 { // after the rename
			want = 3
		}
		s = open(t, folder)
		got, notes := s.Load(acceptAny)
		if got == nil || got.Count != want || got.Older || len(notes) > 0 {
			t.Errorf("killed at %q: loaded %+v, notes %v", step, got, notes)
		}
		if leftovers, _ := filepath.Glob(filepath.Join(folder, ".*")); len(leftovers) > 0 {
			t.Errorf("killed at %q: temporary files %v are left", step, leftovers)
		}
		save(t, s, 4)
		if got, _ := s.Load(acceptAny); got.Count != 4 {
			t.Errorf("killed at %q: loaded snapshot %d after saving 4", step, got.Count)
		}
	}
}

func TestErrorAtAnyStepKeepsSnapshot(t *testing.T) {
	errDiskFull := errors.New("no space left")
	for i, step := range saveSteps {
		s := open(t, t.TempDir())
		save(t, s, 1)
		save(t, s, 2)
		s.injectFault = func(at string) error {
			if at == step {
				return errDiskFull
			}
			return nil
		}
		r, err := s.Save(snap(3))
		if !errors.Is(err, errDiskFull) || r.Durable || r.Loadable != (i > 5) {
			t.Errorf("error at %q: result %+v, error %v", step, r, err)
		}
		got, notes := s.Load(acceptAny)
		if want := map[bool]uint64{false: 2, true: 3}[i > 5]; got == nil || got.Count != want || len(notes) > 0 {
			t.Errorf("error at %q: loaded %+v, notes %v", step, got, notes)
		}
		s.injectFault = func(string) error { return nil }
		save(t, s, 4)
	}
}

// If the last file is truncated and the previous one intact, Load returns the previous one as older and keeps the truncated one
// under another name.
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
		t.Fatalf("loaded %+v, notes %v", got, notes)
	}
	aside, err := Aside(folder)
	if err != nil || len(aside) != 1 {
		t.Fatalf("files set aside: %v, %v; want one", aside, err)
	}
	if kept, err := os.ReadFile(filepath.Join(folder, aside[0])); err != nil || len(kept) != len(whole)-1 {
		t.Errorf("file set aside has %d bytes, %v", len(kept), err)
	}
	if got, notes := s.Load(acceptAny); got == nil || !got.Older || len(notes) > 0 {
		t.Errorf("second Load: %+v, notes %v", got, notes)
	}
	save(t, s, 5)
	if got, _ := s.Load(acceptAny); got.Count != 5 || got.Older {
		t.Errorf("after the next save: loaded %+v", got)
	}
}

// Files that the check of Load rejects are set aside too, both of them if it rejects both.
func TestRejectedFilesAreSetAside(t *testing.T) {
	s := open(t, t.TempDir())
	save(t, s, 1)
	save(t, s, 2)
	errRejected := errors.New("another front's")
	if got, notes := s.Load(func(snapshot.Snapshot) error { return errRejected }); got != nil || len(notes) != 2 ||
		!strings.Contains(notes[0], errRejected.Error()) {
		t.Errorf("loaded %+v, notes %v", got, notes)
	}
	if aside, _ := Aside(s.folder); len(aside) != 2 {
		t.Errorf("files set aside: %v, want two", aside)
	}
	if got, notes := s.Load(acceptAny); got != nil || len(notes) > 0 {
		t.Errorf("loaded %+v, notes %v from a folder without snapshots", got, notes)
	}
}

func TestSecondOpenFails(t *testing.T) {
	folder := t.TempDir()
	first := open(t, folder)
	if _, err := Open(folder); !errors.Is(err, ErrTaken) {
		t.Errorf("second Open: got %v, want ErrTaken", err)
	}
	first.Close()
	open(t, folder)
}

// While the folder is missing, as when its disk is unmounted, saves fail and nothing is written in its place. When it is back,
// saves succeed again, and a folder that replaced it is locked.
func TestSaveWithMissingOrReplacedFolder(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	s := open(t, folder)
	save(t, s, 1)
	if err := os.Rename(folder, folder+".away"); err != nil {
		t.Fatal(err)
	}
	if r, err := s.Save(snap(2)); err == nil || r.Loadable {
		t.Errorf("save without a folder succeeded: %+v", r)
	}
	if _, err := os.Stat(folder); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("save created the missing folder: %v", err)
	}
	if err := os.Rename(folder+".away", folder); err != nil {
		t.Fatal(err)
	}
	save(t, s, 3)
	if err := os.RemoveAll(folder); err != nil { // replaced by a new folder
		t.Fatal(err)
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	save(t, s, 4)
	if _, err := Open(folder); !errors.Is(err, ErrTaken) {
		t.Errorf("new folder is not locked: Open returned %v", err)
	}
}

func TestReadLastAndPrevious(t *testing.T) {
	folder := t.TempDir()
	s := open(t, folder)
	save(t, s, 1)
	save(t, s, 2)
	for previous, want := range map[bool]uint64{false: 2, true: 1} {
		if got, err := Read(folder, previous); err != nil || !reflect.DeepEqual(got.Count, want) {
			t.Errorf("Read with previous=%v: snapshot %d, %v", previous, got.Count, err)
		}
	}
	if _, err := Read(t.TempDir(), false); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Read of an empty folder: got %v, want fs.ErrNotExist", err)
	}
}
