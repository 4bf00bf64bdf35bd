package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"

	"otterturn/internal/state/snapshot"
)

// Result is the result of a save: There means that the snapshot may be loaded from now on, Sure that no earlier one can be.
type Result struct {
	There, Sure bool
	Bytes       int
}

// Save writes a snapshot. If it fails, Load still returns the last one, unless the result has There set.
func (s *Store) Save(snap snapshot.Snapshot) (r Result, err error) {
	text, err := snapshot.Encode(snap)
	if err != nil {
		return r, err
	}
	if err := s.present(); err != nil {
		return r, err
	}
	if err := s.fault("create"); err != nil {
		return r, fmt.Errorf("create: %w", err)
	}
	f, err := renameio.NewPendingFile(s.path(currentName), renameio.WithTempDir(s.folder), renameio.WithPermissions(0o600))
	if err != nil {
		return r, fmt.Errorf("create: %w", err)
	}
	defer f.Cleanup()
	for i, part := range [][]byte{text[:len(text)/2], text[len(text)/2:]} {
		if err := s.fault([]string{"write", "write second half"}[i]); err != nil {
			return r, fmt.Errorf("write: %w", err)
		}
		if _, err := f.Write(part); err != nil {
			return r, fmt.Errorf("write: %w", err)
		}
	}
	if err := f.Sync(); err != nil {
		return r, fmt.Errorf("sync: %w", err)
	}
	// The previous snapshot is replaced as late as possible, to minimize the time during which both names denote the same
	// snapshot.
	if err := s.keepLast(); err != nil {
		return r, fmt.Errorf("keep last snapshot as previous one: %w", err)
	}
	if err := s.fault("replace"); err != nil {
		return r, fmt.Errorf("sync and replace: %w", err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		// This may also have failed after the rename, so the new snapshot may be loaded.
		return Result{There: true}, fmt.Errorf("sync and replace: %w", err)
	}
	if err := s.syncFolder(); err != nil {
		return Result{There: true}, fmt.Errorf("sync snapshot folder: %w", err)
	}
	return Result{There: true, Sure: true, Bytes: len(text)}, nil
}

// present checks that the folder exists and is still the one that was locked. If the folder was replaced, its lock is another
// file, which another process may hold, so present locks it again.
func (s *Store) present() error {
	held, err := s.lock.Stat()
	if err != nil {
		return fmt.Errorf("stat held lock: %w", err)
	}
	there, err := os.Stat(s.path(lockName))
	if err == nil && os.SameFile(held, there) {
		return nil
	}
	old := s.lock
	if err := s.take(); err != nil {
		return err
	}
	return old.Close()
}

// keepLast makes the last snapshot the previous one by a second link. The first name stays until the new snapshot replaces it.
func (s *Store) keepLast() error {
	if err := s.fault("keep"); err != nil {
		return err
	}
	if err := os.Remove(s.path(linkName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	err := os.Link(s.path(currentName), s.path(linkName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil // there is no last snapshot yet
	}
	if err != nil {
		return err
	}
	if err := s.fault("rename link"); err != nil {
		return err
	}
	return os.Rename(s.path(linkName), s.path(previousName))
}

func (s *Store) syncFolder() error {
	if err := s.fault("sync"); err != nil {
		return err
	}
	d, err := os.Open(s.folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
