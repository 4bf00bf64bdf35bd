// Package authority provides the certificate authority of the laboratory. It implements ACME (RFC 8555) with HTTP-01,
// TLS-ALPN-01 (RFC 8737), external account binding, key rollover, revocation and renewal information (RFC 9773). It
// makes all checks that an authority may make, and injects faults from a script. It is for tests on loopback: its
// certificates must not be trusted anywhere else.
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

// Settings configure an authority.
type Settings struct {
	Lifetime          time.Duration     // lifetime of certificates, which last up to 1 s longer because X.509 times have whole seconds
	Backdate          time.Duration     // certificates are valid from this long before their issue
	HTTP              string            // address that HTTP-01 validation connects to in place of port 80 of a name
	TLS               string            // address that TLS-ALPN-01 validation connects to in place of port 443 of a name
	Bindings          map[string][]byte // keys of external accounts by id; if there are any, each new account needs one
	OffersRenewalInfo bool              // renewal information is offered
	ValidationTimeout time.Duration     // timeout of the validation of a challenge, 5 s if 0
	Faults            *Faults           // nil for none
}

// Authority is a running certificate authority.
type Authority struct {
	Settings
	server *httptest.Server
	key    *ecdsa.PrivateKey
	root   *x509.Certificate

	mu             sync.Mutex
	serial         int64
	nonces         map[string]bool
	accounts       map[string]*account // by URL
	orders         map[string]*order
	authzs         map[string]*authz
	issued         map[string]*issued // by serial, in hexadecimal
	renewalWindows map[string][2]time.Time
	stopped        chan struct{}
}

type account struct {
	url, status     string
	key             jose.JSONWebKey
	externalAccount string
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
	if s.ValidationTimeout == 0 {
		s.ValidationTimeout = 5 * time.Second
	}
	if s.Faults == nil {
		s.Faults = &Faults{}
	}
	a := &Authority{
		Settings: s, serial: 100, nonces: map[string]bool{}, accounts: map[string]*account{},
		orders: map[string]*order{}, authzs: map[string]*authz{}, issued: map[string]*issued{},
		renewalWindows: map[string][2]time.Time{}, stopped: make(chan struct{}),
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

// Close stops the authority and ends requests that a fault has stalled.
func (a *Authority) Close() {
	close(a.stopped)
	a.server.CloseClientConnections()
	a.server.Close()
}

// Directory returns the URL of the ACME directory.
func (a *Authority) Directory() string { return a.url("/directory") }

func (a *Authority) url(path string) string { return a.server.URL + path }

// ServerRoots returns the certificate of the authority's own HTTPS server in PEM, which clients must trust.
func (a *Authority) ServerRoots() []byte { return encodePEM(a.server.Certificate().Raw) }

// Roots returns the pool with the root of the certificates that the authority issues.
func (a *Authority) Roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.root)
	return pool
}

// Counts holds the numbers of accounts, orders, and issued and revoked certificates.
type Counts struct{ Accounts, Orders, Issued, Revoked int }

// Counts returns the present numbers.
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

// SuggestRenewalWindow sets the window that renewal information suggests for all certificates issued so far.
func (a *Authority) SuggestRenewalWindow(from, to time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for serial := range a.issued {
		a.renewalWindows[serial] = [2]time.Time{from, to}
	}
}

// sign creates a certificate.
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

// issue issues the certificate chain of an order. A fault may make the chain wrong: for another key, for other names or
// already expired.
func (a *Authority) issue(o *order, csr *x509.CertificateRequest, fault string) ([]byte, error) {
	a.serial++
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), DNSNames: o.names, NotBefore: now.Add(-a.Backdate),
		NotAfter: now.Add(a.Lifetime + time.Second), KeyUsage: x509.KeyUsageDigitalSignature, AuthorityKeyId: a.root.SubjectKeyId,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	pub := csr.PublicKey
	switch fault {
	case "wrong key":
		otherKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return nil, err
		}
		pub = &otherKey.PublicKey
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

// problem is a problem document (RFC 7807) of RFC 8555, section 6.7.
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

func newProblem(status int, kind, format string, args ...any) *problem {
	return &problem{status: status, kind: kind, detail: fmt.Sprintf(format, args...)}
}

// newID returns a URL that can't be guessed.
func (a *Authority) newID(kind string) string {
	return a.url("/" + kind + "/" + strings.ToLower(rand.Text()))
}

func (a *Authority) nonce(w http.ResponseWriter) {
	n := rand.Text()
	a.nonces[n] = true
	w.Header().Set("Replay-Nonce", n)
}

type pkixExtension = pkix.Extension

// serialBytes returns the serial number of a certificate in its DER encoding, as used in the identifiers of RFC 9773,
// section 4.1.
func serialBytes(c *x509.Certificate) []byte {
	b := c.SerialNumber.Bytes()
	if len(b) == 0 || b[0]&0x80 != 0 {
		b = append([]byte{0}, b...)
	}
	return b
}

// SelfSigned returns a self-signed certificate for a name and the pool that trusts it.
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
