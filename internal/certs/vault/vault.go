// Package vault stores account keys, certificates with their keys, and pending orders in a folder that only its owner
// can read. Files are replaced atomically. A damaged file is renamed and never used.
package vault

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

// ErrBusy is returned when another process holds the folder's lock.
var ErrBusy = errors.New("another process renews from this folder")

// ErrDamaged is returned for a file without usable content.
var ErrDamaged = errors.New("damaged")

// Vault is a folder of keys, certificates and orders. Several processes may read it; only one at a time renews.
type Vault struct {
	folder string
	fault  func(name string) error // for tests: an error returned here makes the write fail
}

// Order is a pending order. Its key is on disk before the authority is asked for the order, so no order is placed whose
// result could not be stored.
type Order struct {
	Authority string
	URL       string // empty until the authority has accepted the order
	Key       []byte // PKCS #8
}

// Open opens a folder and creates it if it does not exist.
func Open(folder string) (*Vault, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create the certificate folder: %w", err)
	}
	info, err := os.Stat(folder)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("folder %s holds private keys and is accessible to other users: chmod 700 it", folder)
	}
	return &Vault{folder: folder, fault: func(string) error { return nil }}, nil
}

func (v *Vault) path(name string) string { return filepath.Join(v.folder, name) }

// Lock takes the lock for renewing and returns its release. It returns ErrBusy if another process holds it.
func (v *Vault) Lock() (release func(), err error) {
	f, err := os.OpenFile(v.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock the certificate folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrBusy
		}
		return nil, fmt.Errorf("lock the certificate folder: %w", err)
	}
	return func() { f.Close() }, nil
}

// write replaces a file atomically, and syncs the file and the folder.
func (v *Vault) write(name string, text []byte) error {
	err := v.fault(name)
	if err == nil {
		err = renameio.WriteFile(v.path(name), text, 0o600, renameio.WithTempDir(v.folder))
	}
	if err == nil {
		var d *os.File
		if d, err = os.Open(v.folder); err == nil {
			err = errors.Join(d.Sync(), d.Close())
		}
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", v.path(name), err)
	}
	return nil
}

// damaged renames a damaged file so that it is not read again, and returns an error that wraps ErrDamaged.
func (v *Vault) damaged(name string, why error) error {
	to := name + ".aside." + time.Now().UTC().Format("20060102T150405.000000000")
	if err := os.Rename(v.path(name), v.path(to)); err != nil {
		return fmt.Errorf("%s is %w: %w; renaming it failed: %w", v.path(name), ErrDamaged, why, err)
	}
	return fmt.Errorf("%s is %w: %w; renamed to %s", v.path(name), ErrDamaged, why, to)
}

// File names. The names of authorities and certificates contain only letters, digits, dots and dashes, which is checked
// when the operator's settings are read.
func accountName(authority string) string { return "account-" + authority + ".pem" }
func certName(name string) string         { return "certificate-" + name + ".pem" }
func orderName(name string) string        { return "order-" + name + ".json" }

// Account returns the key of the account at an authority, or fs.ErrNotExist if there is none.
func (v *Vault) Account(authority string) (crypto.Signer, error) {
	name := accountName(authority)
	text, err := os.ReadFile(v.path(name))
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, v.damaged(name, errors.New("no PEM block found"))
	}
	key, err := ParseKey(block.Bytes)
	if err != nil {
		return nil, v.damaged(name, err)
	}
	return key, nil
}

// SaveAccount stores an account's key.
func (v *Vault) SaveAccount(authority string, key crypto.Signer) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	return v.write(accountName(authority), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}))
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
func (v *Vault) Certificate(name string) (*tls.Certificate, error) {
	file := certName(name)
	text, err := os.ReadFile(v.path(file))
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(text, text) // fails if the key does not match the certificate
	if err != nil {
		return nil, v.damaged(file, err)
	}
	return &cert, nil
}

// SaveCertificate stores a certificate with its key.
func (v *Vault) SaveCertificate(name string, cert *tls.Certificate) error {
	der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		return err
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	for _, c := range cert.Certificate {
		text = append(text, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c})...)
	}
	return v.write(certName(name), text)
}

// Order returns the pending order for a certificate, or fs.ErrNotExist if there is none.
func (v *Vault) Order(name string) (Order, error) {
	file := orderName(name)
	text, err := os.ReadFile(v.path(file))
	if err != nil {
		return Order{}, err
	}
	var o Order
	if err := json.Unmarshal(text, &o); err != nil {
		return Order{}, v.damaged(file, err)
	}
	if _, err := ParseKey(o.Key); err != nil {
		return Order{}, v.damaged(file, err)
	}
	return o, nil
}

// SaveOrder stores a pending order.
func (v *Vault) SaveOrder(name string, o Order) error {
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return v.write(orderName(name), text)
}

// DropOrder deletes an order. It is no error if there is none.
func (v *Vault) DropOrder(name string) error {
	if err := os.Remove(v.path(orderName(name))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}
