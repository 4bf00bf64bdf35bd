package certstore

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"otterturn/internal/lab/authority"
)

func openStore(t *testing.T) *Store {
	t.Helper()
	s, err := Open(filepath.Join(t.TempDir(), "acme"))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// newStoreWithCertificate returns a store that holds a certificate.
func newStoreWithCertificate(t *testing.T) (*Store, tls.Certificate) {
	t.Helper()
	s := openStore(t)
	cert, _, err := authority.SelfSigned("files.example", time.Hour)
	if err == nil {
		err = s.SaveCertificate("files", &cert)
	}
	if err != nil {
		t.Fatal(err)
	}
	return s, cert
}

func TestSavedFilesAreReadBack(t *testing.T) {
	s := openStore(t)
	if _, err := s.Account("main"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an account that was never saved: %v, want fs.ErrNotExist", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveAccount("main", key); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Account("main"); err != nil || !key.Equal(got) {
		t.Errorf("account: %v", err)
	}
	cert, _, err := authority.SelfSigned("files.example", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveCertificate("files", &cert); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Certificate("files"); err != nil || !got.Leaf.Equal(cert.Leaf) {
		t.Errorf("certificate: %v", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveOrder("files", Order{Authority: "main", URL: "https://x/order/1", Key: der}); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Order("files"); err != nil || got.URL != "https://x/order/1" {
		t.Errorf("order: %+v, %v", got, err)
	}
	for range 2 {
		if err := s.DeleteOrder("files"); err != nil {
			t.Error(err)
		}
	}
	entries, err := os.ReadDir(s.folder)
	if err != nil || len(entries) != 2 {
		t.Errorf("the folder holds %v, %v; want 2 files", entries, err)
	}
	for _, e := range entries {
		if info, err := e.Info(); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("mode of %s: %v, %v; want 0600", e.Name(), info.Mode(), err)
		}
	}
}

// A write that fails, as on a full disk, must leave the stored certificate intact.
func TestFailedWriteKeepsPreviousFile(t *testing.T) {
	s, cert := newStoreWithCertificate(t)
	errFull := errors.New("no space left on device")
	s.writeFault = func(string) error { return errFull }
	other, _, err := authority.SelfSigned("files.example", 2*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveCertificate("files", &other); !errors.Is(err, errFull) {
		t.Errorf("saving on a full disk did not fail with its error: %v", err)
	}
	if got, err := s.Certificate("files"); err != nil || !got.Leaf.Equal(cert.Leaf) {
		t.Errorf("the previous certificate: %v", err)
	}
}

// A truncated certificate file, an order with a damaged key and an account file without a key are each renamed and
// reported as damaged.
func TestDamagedFilesAreRenamed(t *testing.T) {
	s, _ := newStoreWithCertificate(t)
	name := s.path(certName("files"))
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n < len(content)-2; n += 7 {
		if err := os.WriteFile(name, content[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Certificate("files"); !errors.Is(err, ErrDamaged) {
			t.Fatalf("truncated to %d bytes: %v, want ErrDamaged", n, err)
		}
	}
	if err := os.WriteFile(s.path(orderName("files")), []byte(`{"Authority":"main","Key":"AAAA"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Order("files"); !errors.Is(err, ErrDamaged) {
		t.Errorf("an order without a valid key: %v, want ErrDamaged", err)
	}
	if err := os.WriteFile(s.path(accountName("main")), []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Account("main"); !errors.Is(err, ErrDamaged) {
		t.Errorf("an account without a key: %v, want ErrDamaged", err)
	}
	if _, err := s.Account("main"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("after the damaged file was renamed: %v, want fs.ErrNotExist", err)
	}
}

func TestLockIsExclusive(t *testing.T) {
	s := openStore(t)
	release, err := s.Lock()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Lock(); !errors.Is(err, ErrLocked) {
		t.Errorf("a second lock: %v, want ErrLocked", err)
	}
	release()
	if release, err = s.Lock(); err != nil {
		t.Fatal(err)
	}
	release()
}
