// Package store keeps snapshots in a folder: the last one, and the one before it. A snapshot is written whole beside
// the last and moved over it, and the folder is synced, so a crash at any moment leaves one of the two whole.
package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"otterturn/internal/state/snapshot"
)

// Names in the folder.
const (
	currentName  = "learned"
	previousName = "learned.previous"
	lockName     = "lock"
	asideName    = "learned.aside." // and when
	linkName     = "learned.linked"
)

// ErrTaken tells that another process uses the folder.
var ErrTaken = errors.New("another process uses the folder")

// Store is a folder that this process alone uses.
type Store struct {
	folder string
	lock   *os.File
	fault  func(step string) error // of tests: an error here is one of the step
}

// Open takes a folder, which is made where there is none.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder, fault: func(string) error { return nil }}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("make the folder: %w", err)
	}
	if err := s.take(); err != nil {
		return nil, err
	}
	// What a process that was killed had begun to write is none of the two.
	begun, err := filepath.Glob(filepath.Join(folder, "."+currentName+"*"))
	for _, name := range append(begun, s.path(linkName)) {
		if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			s.Close()
			return nil, fmt.Errorf("clear what was not written to its end: %w", err)
		}
	}
	return s, err
}

// take locks the folder, which ends with the process. It makes none: where a disk was taken away, what is written
// in the place where it had been would be gone with its return.
func (s *Store) take() error {
	lock, err := os.OpenFile(s.path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("open the lock: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return fmt.Errorf("%s: %w", s.folder, ErrTaken)
		}
		return fmt.Errorf("lock %s: %w", s.folder, err)
	}
	s.lock = lock
	return nil
}

// Close gives the folder back.
func (s *Store) Close() error { return s.lock.Close() }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// Found is a snapshot as it was read.
type Found struct {
	snapshot.Snapshot
	Older bool // a later one was written, and can't be read or may not be used
}

// Load reads the last snapshot that is whole and that judge lets pass. Others are set aside under a name of their
// own, never deleted, each with a note of why. There may be none.
func (s *Store) Load(judge func(snapshot.Snapshot) error) (found *Found, notes []string) {
	for _, name := range []string{currentName, previousName} {
		snap, err := s.read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			err = judge(snap)
		}
		if err == nil {
			return &Found{snap, name == previousName}, notes
		}
		notes = append(notes, s.setAside(name, err))
	}
	return nil, notes
}

// Read returns what a name of the folder holds, for operators: nothing is changed.
func Read(folder string, previous bool) (snapshot.Snapshot, error) {
	s := &Store{folder: folder}
	if previous {
		return s.read(previousName)
	}
	return s.read(currentName)
}

func (s *Store) read(name string) (snapshot.Snapshot, error) {
	info, err := os.Stat(s.path(name))
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	if info.Size() > snapshot.MostBytes {
		return snapshot.Snapshot{}, fmt.Errorf("%w: %d bytes, at most %d are kept", snapshot.ErrDamaged, info.Size(), snapshot.MostBytes)
	}
	text, err := os.ReadFile(s.path(name))
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	return snapshot.Decode(text)
}

// setAside moves a file out of the way.
func (s *Store) setAside(name string, why error) (note string) {
	to := asideName + time.Now().UTC().Format("20060102T150405.000000000")
	if name == previousName {
		to += ".previous"
	}
	if err := os.Rename(s.path(name), s.path(to)); err != nil {
		return fmt.Sprintf("%s is not used: %v; it can't be set aside: %v", s.path(name), why, err)
	}
	return fmt.Sprintf("%s is not used: %v; it is kept as %s", s.path(name), why, to)
}

// Aside lists the files that were set aside.
func Aside(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	var out []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), asideName) {
			out = append(out, e.Name())
		}
	}
	return out, err
}
