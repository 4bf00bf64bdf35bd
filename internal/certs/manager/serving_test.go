package manager

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/lab/authority"
	"otterturn/internal/testsupport"
)

// An expired certificate must not be served, even without a replacement. A damaged one is renamed and a new one ordered.
func TestExpiredAndDamagedCertificatesAreNotServed(t *testing.T) {
	faults := &authority.Faults{}
	s := newFixture(t, authority.Settings{Lifetime: 2 * time.Second, Faults: faults})
	m, end := s.start()
	cert := s.waitForCertificate(m)
	faults.Set(authority.Fault{Do: "refuse"})
	for time.Now().Before(cert.Leaf.NotAfter) {
		if c, err := m.Certificate(&tls.ClientHelloInfo{}); err != nil && time.Now().Before(cert.Leaf.NotAfter) {
			t.Fatalf("before the expiry: %v, %v", c, err)
		}
		time.Sleep(time.Millisecond)
	}
	testsupport.WaitFor(t, "the expiry", func() bool { return time.Now().After(cert.Leaf.NotAfter) })
	if c, err := m.Certificate(&tls.ClientHelloInfo{ServerName: "files.example"}); !errors.Is(err, errNoCertificate) {
		t.Errorf("after the expiry: %v, %v, want no certificate", c, err)
	}
	if _, err := m.Certificate(&tls.ClientHelloInfo{ServerName: "files.example", SupportedProtos: []string{acme.ALPNProto}}); err == nil {
		t.Error("a TLS-ALPN-01 challenge that was not offered was answered")
	}
	end()
	name := filepath.Join(s.folder, "certificate-files.pem")
	if err := os.WriteFile(name, []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	faults.Set()
	m, _ = s.start()
	s.waitForCertificate(m)
	if aside, _ := filepath.Glob(name + ".aside.*"); len(aside) != 1 {
		t.Errorf("damaged files that were renamed: %v, want one", aside)
	}
}

func TestOperatorFiles(t *testing.T) {
	s := newFixture(t, authority.Settings{})
	m, _ := s.start()
	s.waitForCertificate(m)
	name := filepath.Join(s.folder, "certificate-files.pem")
	if err := m.LoadFiles([]File{{name, name}}); err != nil {
		t.Errorf("a file with certificate and key: %v", err)
	}
	if n := len(m.Status()); n != 2 {
		t.Errorf("%d certificates in the status, want 2", n)
	}
	if err := m.LoadFiles([]File{{name, filepath.Join(s.folder, "account-a.pem")}}); err == nil {
		t.Error("a key that does not match the certificate was accepted")
	}
	if n := len(*m.files.Load()); n != 1 {
		t.Errorf("%d certificates after a failed load, want the previous one", n)
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v, want 0600", info.Mode(), err)
	}
	os.Chmod(s.folder, 0o755)
	if _, err := certstore.Open(s.folder); err == nil || !strings.Contains(err.Error(), "chmod 700") {
		t.Errorf("a folder that other users can read: %v", err)
	}
}
