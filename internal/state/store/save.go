package store

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"

	"otterturn/internal/state/snapshot"
)

// Result tells how a save ended: whether the snapshot may be read back from now on, and whether no earlier one may.
type Result struct {
	There, Sure bool
	Bytes       int
}

// Save writes a snapshot. Where it fails, the earlier ones are as they were, unless the result says otherwise.
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
		if err := s.fault([]string{"write", "write on"}[i]); err != nil {
			return r, fmt.Errorf("write: %w", err)
		}
		if _, err := f.Write(part); err != nil {
			return r, fmt.Errorf("write: %w", err)
		}
	}
	if err := f.Sync(); err != nil {
		return r, fmt.Errorf("sync: %w", err)
	}
	// Only now does the one before the last go: as short as can be is there one good file under two names.
	if err := s.keepLast(); err != nil {
		return r, fmt.Errorf("keep the last snapshot: %w", err)
	}
	if err := s.fault("replace"); err != nil {
		return r, fmt.Errorf("sync and replace: %w", err)
	}
	if err := f.CloseAtomicallyReplace(); err != nil {
		// It may fail behind the rename as well, so the new one has to be reckoned with.
		return Result{There: true}, fmt.Errorf("sync and replace: %w", err)
	}
	if err := s.syncFolder(); err != nil {
		return Result{There: true}, fmt.Errorf("sync the folder: %w", err)
	}
	return Result{There: true, Sure: true, Bytes: len(text)}, nil
}

// present sees to it that the folder is there and still the one that was locked: where it vanished and came back,
// its lock is another file, which another process may hold.
func (s *Store) present() error {
	held, err := s.lock.Stat()
	if err != nil {
		return fmt.Errorf("the lock: %w", err)
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

// keepLast gives the last snapshot its second name. The first one goes on to name it until the new one takes it.
func (s *Store) keepLast() error {
	if err := s.fault("keep"); err != nil {
		return err
	}
	if err := os.Remove(s.path(linkName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	err := os.Link(s.path(currentName), s.path(linkName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil // the first one
	}
	if err != nil {
		return err
	}
	if err := s.fault("keep on"); err != nil {
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
