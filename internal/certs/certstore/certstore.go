// Package certstore stores account keys, certificates with their keys, and pending orders in a folder that only its owner
// can read. Files are replaced atomically. A damaged file is renamed and never used.
package certstore

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
)

// ErrLocked is returned when another process holds the folder's lock.
var ErrLocked = errors.New("another process renews from this folder")

// ErrDamaged is returned for a file without usable content.
var ErrDamaged = errors.New("damaged")

// Store is a folder of keys, certificates and orders. Several processes may read it; only one at a time renews.
type Store struct {
	folder     string
	writeFault func(name string) error // for tests: an error returned here makes the write fail
}

// Order is a pending order. Its key is on disk before the authority is asked for the order, so no order is placed whose
// result could not be stored.
type Order struct {
	Authority string
	URL       string // empty until the authority has accepted the order
	Key       []byte // PKCS #8
}

// Open opens a folder and creates it if it does not exist.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create the certificate folder: %w", err)
	}
	info, err := os.Stat(folder)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s holds keys and others may read it: chmod 700 it", folder)
	}
	return &Store{folder: folder, writeFault: func(string) error { return nil }}, nil
}

func (s *Store) path(name string) string { return filepath.Join(s.folder, name) }

// Lock takes the lock for renewing and returns its release. It returns ErrLocked if another process holds it.
func (s *Store) Lock() (release func(), err error) {
	f, err := os.OpenFile(s.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock the certificate folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock the certificate folder: %w", err)
	}
	return func() { f.Close() }, nil
}

// write replaces a file atomically, and syncs the file and the folder.
func (s *Store) write(name string, content []byte) error {
	err := s.writeFault(name)
	if err == nil {
		err = renameio.WriteFile(s.path(name), content, 0o600, renameio.WithTempDir(s.folder))
	}
	if err == nil {
		var d *os.File
		if d, err = os.Open(s.folder); err == nil {
			err = errors.Join(d.Sync(), d.Close())
		}
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", s.path(name), err)
	}
	return nil
}

// renameDamaged renames a damaged file so that it is not read again. It returns an error that wraps ErrDamaged.
func (s *Store) renameDamaged(name string, cause error) error {
	newName := name + ".aside." + time.Now().UTC().Format("20060102T150405.000000000")
	if err := os.Rename(s.path(name), s.path(newName)); err != nil {
		return fmt.Errorf("%s is %w: %w; it can't be set aside: %w", s.path(name), ErrDamaged, cause, err)
	}
	return fmt.Errorf("%s is %w: %w; it is kept as %s", s.path(name), ErrDamaged, cause, newName)
}

// accountName, certName and orderName return file names. The names of authorities and certificates contain only letters,
// digits, dots and dashes, which is checked when the operator's settings are read.
func accountName(authority string) string { return "account-" + authority + ".pem" }
func certName(name string) string         { return "certificate-" + name + ".pem" }
func orderName(name string) string        { return "order-" + name + ".json" }

// Account returns the key of the account at an authority, or fs.ErrNotExist if there is none.
func (s *Store) Account(authority string) (crypto.Signer, error) {
	name := accountName(authority)
	content, err := os.ReadFile(s.path(name))
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, s.renameDamaged(name, errors.New("it holds no key"))
	}
	key, err := ParseKey(block.Bytes)
	if err != nil {
		return nil, s.renameDamaged(name, err)
	}
	return key, nil
}

// SaveAccount stores an account's key.
func (s *Store) SaveAccount(authority string, key crypto.Signer) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return s.write(accountName(authority), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
}

// ParseKey parses an ECDSA key in PKCS #8 form.
func ParseKey(der []byte) (crypto.Signer, error) {
	key, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, err
	}
	signer, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("key has type %T, want an ECDSA key", key)
	}
	return signer, nil
}

// Certificate returns a certificate with its key, or fs.ErrNotExist if there is none.
func (s *Store) Certificate(name string) (*tls.Certificate, error) {
	file := certName(name)
	content, err := os.ReadFile(s.path(file))
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(content, content) // fails if the key does not match the certificate
	if err != nil {
		return nil, s.renameDamaged(file, err)
	}
	return &cert, nil
}

// SaveCertificate stores a certificate with its key.
func (s *Store) SaveCertificate(name string, cert *tls.Certificate) error {
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return err
	}
	content := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	for _, c := range cert.Certificate {
		content = append(content, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c})...)
	}
	return s.write(certName(name), content)
}

// Order returns the pending order for a certificate, or fs.ErrNotExist if there is none.
func (s *Store) Order(name string) (Order, error) {
	file := orderName(name)
	content, err := os.ReadFile(s.path(file))
	if err != nil {
		return Order{}, err
	}
	var o Order
	if err := json.Unmarshal(content, &o); err != nil {
		return Order{}, s.renameDamaged(file, err)
	}
	if _, err := ParseKey(o.Key); err != nil {
		return Order{}, s.renameDamaged(file, err)
	}
	return o, nil
}

// SaveOrder stores a pending order.
func (s *Store) SaveOrder(name string, o Order) error {
	content, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return s.write(orderName(name), content)
}

// DeleteOrder deletes an order. It is no error if there is none.
func (s *Store) DeleteOrder(name string) error {
	if err := os.Remove(s.path(orderName(name))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
