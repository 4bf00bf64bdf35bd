// Package authority is the laboratory's certificate authority: it speaks ACME (RFC 8555) with HTTP-01, TLS-ALPN-01
// (RFC 8737), external account binding, key rollover, revocation and renewal information (RFC 9773). It is strict
// where an authority may be, and fails by script. It is for loopback and for tests: nobody should trust it.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/go-jose/go-jose/v4"
)

// Settings are what the authority is told.
type Settings struct {
	Lifetime time.Duration     // of certificates, and up to a second more: X.509 knows no parts of one
	Backdate time.Duration     // certificates are valid from so long ago
	HTTP     string            // where HTTP-01 answers are fetched, in the place of a name's port 80
	TLS      string            // and TLS-ALPN-01 ones, in the place of its port 443
	Bindings map[string][]byte // keys of external accounts by their ids; where there are any, an account needs one
	Informs  bool              // whether it offers renewal information
	Patience time.Duration     // a challenge must be answered within
	Faults   *Faults           // nil for none
}

// Authority is a running one.
type Authority struct {
	Settings
	server *httptest.Server
	key    *ecdsa.PrivateKey
	root   *x509.Certificate

	mu       sync.Mutex
	serial   int64
	nonces   map[string]bool
	accounts map[string]*account // by URL
	orders   map[string]*order
	authzs   map[string]*authz
	issued   map[string]*issued // by serial, in hexadecimal
	windows  map[string][2]time.Time
	stopped  chan struct{}
}

type account struct {
	url, status string
	key         jose.JSONWebKey
	bound       string
}

type order struct {
	url, status, owner string
	names              []string
	authzs             []*authz
	chain              []byte
	problem            map[string]any
}

type authz struct {
	url, status, owner, name string
	token                    string
	challenges               []*challenge
}

type challenge struct {
	url, kind, status string
	problem           map[string]any
}

type issued struct {
	cert    *x509.Certificate
	owner   string
	revoked bool
}

// Start starts an authority on a loopback port. Close ends it.
func Start(s Settings) (*Authority, error) {
	if s.Patience == 0 {
		s.Patience = 5 * time.Second
	}
	if s.Faults == nil {
		s.Faults = &Faults{}
	}
	a := &Authority{
		Settings: s, serial: 100, nonces: map[string]bool{}, accounts: map[string]*account{},
		orders: map[string]*order{}, authzs: map[string]*authz{}, issued: map[string]*issued{},
		windows: map[string][2]time.Time{}, stopped: make(chan struct{}),
	}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "laboratory root"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(365 * 24 * time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, SubjectKeyId: []byte{1, 2, 3, 4},
	}
	if a.root, err = sign(template, template, &a.key.PublicKey, a.key); err != nil {
		return nil, err
	}
	a.server = httptest.NewTLSServer(a.routes())
	return a, nil
}

// Close ends the authority, and what it has stalled.
func (a *Authority) Close() {
	close(a.stopped)
	a.server.CloseClientConnections()
	a.server.Close()
}

// Directory is the URL that clients are given.
func (a *Authority) Directory() string { return a.url("/directory") }

func (a *Authority) url(path string) string { return a.server.URL + path }

// ServerRoots is what a client needs to trust the authority's own server, in PEM.
func (a *Authority) ServerRoots() []byte { return encodePEM(a.server.Certificate().Raw) }

// Roots is what its certificates chain to.
func (a *Authority) Roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.root)
	return pool
}

// Counts are what the authority has seen.
type Counts struct{ Accounts, Orders, Issued, Revoked int }

// Counts tells what the authority has seen.
func (a *Authority) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Counts{Accounts: len(a.accounts), Orders: len(a.orders), Issued: len(a.issued)}
	for _, i := range a.issued {
		if i.revoked {
			c.Revoked++
		}
	}
	return c
}

// Ask has all certificates that are out renewed within a window, by renewal information.
func (a *Authority) Ask(from, to time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for serial := range a.issued {
		a.windows[serial] = [2]time.Time{from, to}
	}
}

// sign makes a certificate.
func sign(template, parent *x509.Certificate, pub any, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, pub, key)
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

func encodePEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// issue certifies an order's names for the key of its request. Wrong chains are for another key, other names or the
// past.
func (a *Authority) issue(o *order, csr *x509.CertificateRequest, wrong string) ([]byte, error) {
	a.serial++
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), DNSNames: o.names, NotBefore: now.Add(-a.Backdate),
		NotAfter: now.Add(a.Lifetime + time.Second), KeyUsage: x509.KeyUsageDigitalSignature, AuthorityKeyId: a.root.SubjectKeyId,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	pub := csr.PublicKey
	switch wrong {
	case "wrong key":
		other, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		pub = &other.PublicKey
	case "wrong names":
		template.DNSNames = []string{"elsewhere.example"}
	case "wrong time":
		template.NotBefore, template.NotAfter = now.Add(-2*time.Hour), now.Add(-time.Hour)
	}
	leaf, err := sign(template, a.root, pub, a.key)
	if err != nil {
		return nil, err
	}
	a.issued[fmt.Sprintf("%x", leaf.SerialNumber)] = &issued{cert: leaf, owner: o.owner}
	return append(encodePEM(leaf.Raw), encodePEM(a.root.Raw)...), nil
}

// problem is an error of RFC 7807, as RFC 8555, section 6.7, has it.
type problem struct {
	status     int
	kind       string
	detail     string
	retryAfter time.Duration
}

func (p *problem) Error() string { return p.kind + ": " + p.detail }

func (p *problem) body() map[string]any {
	return map[string]any{"type": "urn:ietf:params:acme:error:" + p.kind, "detail": p.detail, "status": p.status}
}

func bad(status int, kind, format string, args ...any) *problem {
	return &problem{status: status, kind: kind, detail: fmt.Sprintf(format, args...)}
}

// newID makes a URL that nobody could guess.
func (a *Authority) newID(kind string) string {
	return a.url("/" + kind + "/" + strings.ToLower(rand.Text()))
}

func (a *Authority) nonce(w http.ResponseWriter) {
	n := rand.Text()
	a.nonces[n] = true
	w.Header().Set("Replay-Nonce", n)
}

type pkixExtension = pkix.Extension

// serialBytes is a certificate's serial as its DER encoding has it, which RFC 9773, section 4.1, names it by.
func serialBytes(c *x509.Certificate) []byte {
	b := c.SerialNumber.Bytes()
	if len(b) == 0 || b[0]&0x80 != 0 {
		b = append([]byte{0}, b...)
	}
	return b
}

// SelfSigned is a certificate for a name that no authority made, and what trusts it.
func SelfSigned(name string, lifetime time.Duration) (tls.Certificate, *x509.CertPool, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{name}, NotBefore: time.Now().Add(-time.Minute),
		NotAfter: time.Now().Add(lifetime), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	leaf, err := sign(template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf}, pool, nil
}
