package certstore

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"otterturn/internal/lab/authority"
)

var update = flag.Bool("update", false, "rewrite the golden folder with the current version")

// TestFolderOfEarlierBuilds reads an account, a certificate and an order as written by the build of 2026-12-02.
func TestFolderOfEarlierBuilds(t *testing.T) {
	const golden = "testdata/version-1"
	if *update {
		writeGolden(t, golden)
	}
	folder := filepath.Join(t.TempDir(), "certstore")
	if err := os.CopyFS(folder, os.DirFS(golden)); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Account("main"); err != nil {
		t.Errorf("account: %v", err)
	}
	cert, err := s.Certificate("front")
	if err != nil {
		t.Fatalf("certificate: %v", err)
	}
	if names := cert.Leaf.DNSNames; len(names) != 1 || names[0] != "front.example" {
		t.Errorf("certificate for %v", names)
	}
	order, err := s.Order("front")
	if err != nil || order.Authority != "main" || order.URL != "https://authority.example/order/1" {
		t.Errorf("order %q at %q, %v", order.URL, order.Authority, err)
	}
}

// writeGolden writes the golden folder with newly generated keys that are used nowhere else.
func writeGolden(t *testing.T, folder string) {
	t.Helper()
	s, err := Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveAccount("main", key); err != nil {
		t.Fatal(err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveOrder("front", Order{Authority: "main", URL: "https://authority.example/order/1", Key: der}); err != nil {
		t.Fatal(err)
	}
	cert, _, err := authority.SelfSigned("front.example", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveCertificate("front", &cert); err != nil {
		t.Fatal(err)
	}
}
