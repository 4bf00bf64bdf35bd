package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"

	"otterturn/internal/state/snapshot"
)

// Result is the result of a save: Loadable means that the snapshot may be loaded from now on, Durable that no earlier one can be.
type Result struct {
	Loadable, Durable bool
	Bytes             int
}

// Save writes a snapshot. If it fails, Load still returns the last one, unless the result has Loadable set.
func (s *Store) Save(snap snapshot.Snapshot) (r Result, err error) {
	encoded, err := snapshot.Encode(snap)
	if err != nil {
		return r, err
	}
	if err := s.ensureLocked(); err != nil {
		return r, err
	}
	if err := s.injectFault("create"); err != nil {
		return r, fmt.Errorf("create: %w", err)
	}
	f, err := renameio.NewPendingFile(s.path(currentName), renameio.WithTempDir(s.folder), renameio.WithPermissions(0o600))
	if err != nil {
		return r, fmt.Errorf("create: %w", err)
	}
	defer f.Cleanup()
	for i, part := range [][]byte{encoded[:len(encoded)/2], encoded[len(encoded)/2:]} {
		if err := s.injectFault([]string{"write", "write second half"}[i]); err != nil {
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
	if err := s.keepPrevious(); err != nil {
		return r, fmt.Errorf("keep last snapshot as previous one: %w", err)
	}
	if err := s.injectFault("replace"); err != nil {
		return r, fmt.Errorf("sync and replace: %w", err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		// This may also have failed after the rename, so the new snapshot may be loaded.
		return Result{Loadable: true}, fmt.Errorf("sync and replace: %w", err)
	}
	if err := s.syncFolder(); err != nil {
		return Result{Loadable: true}, fmt.Errorf("sync snapshot folder: %w", err)
	}
	return Result{Loadable: true, Durable: true, Bytes: len(encoded)}, nil
}

// ensureLocked checks that the folder exists and is still the one that was locked. If the folder was replaced, its lock is another
// file, which another process may hold, so ensureLocked locks it again.
func (s *Store) ensureLocked() error {
	heldInfo, err := s.lock.Stat()
	if err != nil {
		return fmt.Errorf("stat held lock: %w", err)
	}
	currentInfo, err := os.Stat(s.path(lockName))
	if err == nil && os.SameFile(heldInfo, currentInfo) {
		return nil
	}
	old := s.lock
	if err := s.lockFolder(); err != nil {
		return err
	}
	return old.Close()
}

// keepPrevious makes the last snapshot the previous one by a second link. The first name stays until the new snapshot replaces it.
func (s *Store) keepPrevious() error {
	if err := s.injectFault("keep"); err != nil {
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
	if err := s.injectFault("rename link"); err != nil {
		return err
	}
	return os.Rename(s.path(linkName), s.path(previousName))
}

func (s *Store) syncFolder() error {
	if err := s.injectFault("sync"); err != nil {
		return err
	}
	d, err := os.Open(s.folder)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
