// Package changestore keeps the changes that a front has in progress in a file. The next process of the front finds there which changes
// a node may still carry out, also after the process was killed or the machine lost power.
package changestore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"otterturn/internal/changes"
)

const (
	lockTimeout   = time.Second      // for another process to release the file
	maxBatchDelay = time.Millisecond // for further changes to be written together with one
	fileMode      = 0o600
)

var bucketName = []byte("changes")

// record is the stored form of a changes.Record. Paths are bytes, as they need not be valid text.
type record struct {
	Paths   [][]byte
	Subtree bool
	Content bool
	From    uint64
	To      uint64
	Group   string
	Node    string
}

func encode(r changes.Record) ([]byte, error) {
	out := record{Subtree: r.Change.Subtree, Content: r.Change.Content, From: r.Change.From, To: r.Change.To, Group: r.Group, Node: r.Node}
	for _, path := range r.Change.Paths {
		out.Paths = append(out.Paths, []byte(path))
	}
	return cbor.Marshal(out)
}

func decode(value []byte) (changes.Record, error) {
	var in record
	if err := cbor.Unmarshal(value, &in); err != nil {
		return changes.Record{}, err
	}
	out := changes.Record{Group: in.Group, Node: in.Node, Change: changes.Change{Subtree: in.Subtree, Content: in.Content, From: in.From, To: in.To}}
	for _, path := range in.Paths {
		out.Change.Paths = append(out.Change.Paths, string(path))
	}
	return out, nil
}

// Store is an open file. It is safe for concurrent use.
type Store struct {
	db       *bolt.DB
	log      *slog.Logger
	removing sync.WaitGroup
}

// ErrInUse reports that another process has opened the file.
var ErrInUse = errors.New("in use by another process")

// Open opens a file, or creates it, for this process alone.
func Open(path string, log *slog.Logger) (*Store, error) {
	db, err := bolt.Open(path, fileMode, &bolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: %w", path, ErrInUse)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.MaxBatchDelay = maxBatchDelay
	err = db.Update(func(tx *bolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucketName)
		return err
	})
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &Store{db: db, log: log}, nil
}

// All returns the stored changes by id.
func (s *Store) All() (map[uint64]changes.Record, error) {
	out := map[uint64]changes.Record{}
	err := s.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketName).ForEach(func(key, value []byte) error {
			r, err := decode(value)
			if err != nil {
				return fmt.Errorf("change %x: %w", key, err)
			}
			out[binary.BigEndian.Uint64(key)] = r
			return nil
		})
	})
	return out, err
}

// Add stores a change and returns its id. The change is durable on return.
func (s *Store) Add(r changes.Record) (id uint64, err error) {
	value, err := encode(r)
	if err != nil {
		return 0, err
	}
	err = s.db.Batch(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(bucketName)
		if id, err = bucket.NextSequence(); err != nil {
			return err
		}
		return bucket.Put(keyOf(id), value)
	})
	return id, err
}

// Remove removes a change without waiting for it. A change that can't be removed is logged, and is found at the next start.
func (s *Store) Remove(id uint64) {
	s.removing.Go(func() {
		err := s.db.Batch(func(tx *bolt.Tx) error { return tx.Bucket(bucketName).Delete(keyOf(id)) })
		if err != nil {
			s.log.Error("removing a stored change failed", "error", err)
		}
	})
}

// Close waits for the removals, and closes the file.
func (s *Store) Close() error {
	s.removing.Wait()
	return s.db.Close()
}

func keyOf(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }
