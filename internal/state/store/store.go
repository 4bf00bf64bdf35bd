// Package store keeps the last two snapshots in a folder. A new snapshot is written to a temporary file, which then replaces the
// last one by a rename, and the folder is synced. So at least one of the two files is intact after a crash at any time.
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

// File names in the folder.
const (
	currentName  = "learned"
	previousName = "learned.previous"
	lockName     = "lock"
	asidePrefix  = "learned.aside." // followed by the time
	linkName     = "learned.linked"
)

// ErrTaken is returned by Open if another process uses the folder.
var ErrTaken = errors.New("another process uses the folder")

// Store is a folder that is locked by this process.
type Store struct {
	folder      string
	lock        *os.File
	injectFault func(step string) error // tests set it to make a step of Save fail
}

// Open locks a folder, which it creates if necessary, and removes temporary files of an earlier process.
func Open(folder string) (*Store, error) {
	s := &Store{folder: folder, injectFault: func(string) error { return nil }}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create snapshot folder: %w", err)
	}
	if err := s.lockFolder(); err != nil {
		return nil, err
	}
	// A process that was killed during a save leaves incomplete files and the link of keepPrevious.
	incomplete, err := filepath.Glob(filepath.Join(folder, "."+currentName+"*"))
	for _, name := range append(incomplete, s.path(linkName)) {
		if err := os.Remove(name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			s.Close()
			return nil, fmt.Errorf("remove incomplete file of an earlier save: %w", err)
		}
	}
	return s, err
}

// lockFolder locks the folder; the lock ends with the process. It does not create the folder: if a disk was unmounted, files written
// at its mount point would be hidden when it is mounted again.
func (s *Store) lockFolder() error {
	lock, err := os.OpenFile(s.path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("open lock file: %w", err)
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

// Close unlocks the folder.
func (s *Store) Close() error { return s.lock.Close() }

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// Found is a snapshot that Load has read.
type Found struct {
	snapshot.Snapshot
	Older bool // a later snapshot was written but can't be read or must not be used
}

// Load returns the last snapshot that is intact and for which check returns nil; found is nil if there is none. A file that
// can't be used is renamed, never deleted, and notes has an entry with the reason.
func (s *Store) Load(check func(snapshot.Snapshot) error) (found *Found, notes []string) {
	for _, name := range []string{currentName, previousName} {
		snap, err := s.read(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err == nil {
			err = check(snap)
		}
		if err == nil {
			return &Found{snap, name == previousName}, notes
		}
		notes = append(notes, s.setAside(name, err))
	}
	return nil, notes
}

// Read returns the last or the previous snapshot of a folder, for operators. It changes nothing and needs no lock.
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
	if info.Size() > snapshot.MaxBytes {
		return snapshot.Snapshot{}, fmt.Errorf("%w: file has %d bytes, limit is %d", snapshot.ErrDamaged, info.Size(), snapshot.MaxBytes)
	}
	text, err := os.ReadFile(s.path(name))
	if err != nil {
		return snapshot.Snapshot{}, err
	}
	return snapshot.Decode(text)
}

// setAside renames a file that can't be used, and returns a note about it.
func (s *Store) setAside(name string, reason error) (note string) {
	newName := asidePrefix + time.Now().UTC().Format("20060102T150405.000000000")
	if name == previousName {
		newName += ".previous"
	}
	if err := os.Rename(s.path(name), s.path(newName)); err != nil {
		return fmt.Sprintf("%s is not used: %v; it can't be set aside: %v", s.path(name), reason, err)
	}
	return fmt.Sprintf("%s is not used: %v; it is kept as %s", s.path(name), reason, newName)
}

// Aside returns the names of the files that were set aside.
func Aside(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	var out []string
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), asidePrefix) {
			out = append(out, e.Name())
		}
	}
	return out, err
}
