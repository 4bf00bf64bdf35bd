package standin

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/crypto/acme"
)

// Authority is a small certificate authority that speaks ACME (RFC 8555) and checks HTTP-01 answers. It keeps
// one account and one order at a time.
type Authority struct {
	Server    *httptest.Server
	Challenge string          // where HTTP-01 answers are fetched, in the place of the name's port 80
	Lifetimes []time.Duration // of the certificates in turn; the last one holds for all that follow
	Roots     *x509.CertPool  // what its certificates chain to

	t       *testing.T
	key     *ecdsa.PrivateKey
	root    *x509.Certificate
	mu      sync.Mutex
	nonce   int
	nonces  map[string]bool
	account *ecdsa.PublicKey
	domain  string
	valid   bool
	chain   []byte
	issued  int
}

const challengeToken = "token-of-the-challenge"

// NewAuthority starts one that ends with the test.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{t: t, nonces: map[string]bool{}, Roots: x509.NewCertPool()}
	a.key, a.root = a.certify(&x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in root"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil)
	a.Roots.AddCert(a.root)
	a.Server = httptest.NewTLSServer(a.routes())
	t.Cleanup(a.Server.Close)
	return a
}

// Issued tells how many certificates were issued.
func (a *Authority) Issued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.issued
}

// RootsPEM is what a client needs to trust the authority's own server.
func (a *Authority) RootsPEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.Server.Certificate().Raw})
}

// certify signs a certificate for a key, a new one if there is none.
func (a *Authority) certify(c *x509.Certificate, pub crypto.PublicKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	parent, signer := a.root, a.key
	if pub == nil {
		parent, signer, pub = c, key, key.Public()
	}
	c.NotBefore = time.Now().Add(-time.Minute)
	if err == nil {
		var der []byte
		if der, err = x509.CreateCertificate(rand.Reader, c, parent, pub, signer); err == nil {
			c, err = x509.ParseCertificate(der)
		}
	}
	if err != nil {
		a.t.Error(err)
	}
	return key, c
}

func (a *Authority) url(path string) string { return a.Server.URL + path }

func (a *Authority) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /directory", func(w http.ResponseWriter, _ *http.Request) {
		a.reply(w, 200, map[string]any{"newNonce": a.url("/nonce"), "newAccount": a.url("/account"),
			"newOrder": a.url("/order"), "revokeCert": a.url("/revoke"), "keyChange": a.url("/key")})
	})
	mux.HandleFunc("/nonce", func(w http.ResponseWriter, _ *http.Request) { a.reply(w, 200, nil) })
	for path, handle := range map[string]func(w http.ResponseWriter, payload []byte) error{
		"POST /account":   a.newAccount,
		"POST /order":     a.newOrder,
		"POST /order/1":   a.showOrder,
		"POST /authz":     a.showAuthz,
		"POST /challenge": a.checkChallenge,
		"POST /finalize":  a.finalize,
		"POST /cert":      a.showCert,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			payload, err := a.open(r)
			if err == nil {
				err = handle(w, payload)
			}
			if err != nil {
				a.reply(w, 400, map[string]any{"type": "urn:ietf:params:acme:error:malformed", "detail": err.Error()})
			}
		})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.nonce++
		nonce := fmt.Sprint("nonce-", a.nonce)
		a.nonces[nonce] = true
		w.Header().Set("Replay-Nonce", nonce)
		mux.ServeHTTP(w, r)
	})
}

func (a *Authority) reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Location", a.url("/order/1"))
	w.WriteHeader(status)
	if body != nil {
		json.NewEncoder(w).Encode(body)
	}
}

// open checks a signed message: its address, its nonce and its signature by the account's key.
func (a *Authority) open(r *http.Request) ([]byte, error) {
	var message struct{ Protected, Payload, Signature string }
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		return nil, err
	}
	var head struct {
		Alg, Nonce, URL string
		JWK             *struct{ X, Y string }
	}
	text, err := base64.RawURLEncoding.DecodeString(message.Protected)
	if err == nil {
		err = json.Unmarshal(text, &head)
	}
	if err != nil {
		return nil, err
	}
	if head.URL != a.url(r.URL.Path) || head.Alg != "ES256" || !a.nonces[head.Nonce] {
		return nil, fmt.Errorf("message for %q, %s, nonce %q", head.URL, head.Alg, head.Nonce)
	}
	delete(a.nonces, head.Nonce)
	if head.JWK != nil {
		x, badX := base64.RawURLEncoding.DecodeString(head.JWK.X)
		y, badY := base64.RawURLEncoding.DecodeString(head.JWK.Y)
		point := slices.Concat([]byte{4}, x, y)
		if a.account, err = ecdsa.ParseUncompressedPublicKey(elliptic.P256(), point); errors.Join(badX, badY, err) != nil {
			return nil, errors.New("the key is none")
		}
	}
	signature, err := base64.RawURLEncoding.DecodeString(message.Signature)
	sum := sha256.Sum256([]byte(message.Protected + "." + message.Payload))
	if err != nil || len(signature) != 64 || a.account == nil || !ecdsa.Verify(a.account, sum[:],
		new(big.Int).SetBytes(signature[:32]), new(big.Int).SetBytes(signature[32:])) {
		return nil, errors.New("the signature does not hold")
	}
	return base64.RawURLEncoding.DecodeString(message.Payload)
}

func (a *Authority) newAccount(w http.ResponseWriter, _ []byte) error {
	a.reply(w, 201, map[string]any{"status": "valid"})
	return nil
}

func (a *Authority) newOrder(w http.ResponseWriter, payload []byte) error {
	var order struct {
		Identifiers []struct{ Type, Value string }
	}
	if err := json.Unmarshal(payload, &order); err != nil || len(order.Identifiers) != 1 {
		return fmt.Errorf("order %s", payload)
	}
	a.domain, a.valid, a.chain = order.Identifiers[0].Value, false, nil
	a.reply(w, 201, a.order())
	return nil
}

func (a *Authority) order() map[string]any {
	status := "pending"
	switch {
	case a.chain != nil:
		status = "valid"
	case a.valid:
		status = "ready"
	}
	return map[string]any{"status": status, "identifiers": []any{a.identifier()}, "authorizations": []any{a.url("/authz")},
		"finalize": a.url("/finalize"), "certificate": a.url("/cert")}
}

func (a *Authority) identifier() map[string]any {
	return map[string]any{"type": "dns", "value": a.domain}
}

func (a *Authority) showOrder(w http.ResponseWriter, _ []byte) error {
	a.reply(w, 200, a.order())
	return nil
}

func (a *Authority) showAuthz(w http.ResponseWriter, _ []byte) error {
	status := map[bool]string{true: "valid", false: "pending"}[a.valid]
	a.reply(w, 200, map[string]any{"status": status, "identifier": a.identifier(), "challenges": []any{a.challenge()}})
	return nil
}

func (a *Authority) challenge() map[string]any {
	status := map[bool]string{true: "valid", false: "pending"}[a.valid]
	return map[string]any{"type": "http-01", "url": a.url("/challenge"), "token": challengeToken, "status": status}
}

// checkChallenge fetches the answer as RFC 8555, section 8.3, has it.
func (a *Authority) checkChallenge(w http.ResponseWriter, _ []byte) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+a.Challenge+"/.well-known/acme-challenge/"+challengeToken, nil)
	if err != nil {
		return err
	}
	r.Host = a.domain
	client := &http.Client{Timeout: Patience}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return err
	}
	thumb, err := acme.JWKThumbprint(a.account)
	if err != nil {
		return err
	}
	if want := challengeToken + "." + thumb; string(bytes.TrimSpace(got)) != want {
		return fmt.Errorf("the challenge was answered %q, want %q", got, want)
	}
	a.valid = true
	a.reply(w, 200, a.challenge())
	return nil
}

func (a *Authority) finalize(w http.ResponseWriter, payload []byte) error {
	var in struct{ CSR string }
	if err := json.Unmarshal(payload, &in); err != nil {
		return err
	}
	der, err := base64.RawURLEncoding.DecodeString(in.CSR)
	if err != nil {
		return err
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err != nil {
		return err
	}
	if !a.valid || len(csr.DNSNames) != 1 || csr.DNSNames[0] != a.domain || csr.CheckSignature() != nil {
		return fmt.Errorf("order for %v", csr.DNSNames)
	}
	lifetime := a.Lifetimes[min(a.issued, len(a.Lifetimes)-1)]
	a.issued++
	_, leaf := a.certify(&x509.Certificate{SerialNumber: big.NewInt(int64(100 + a.issued)), DNSNames: csr.DNSNames,
		NotAfter: time.Now().Add(lifetime), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}, csr.PublicKey)
	a.chain = nil
	for _, c := range []*x509.Certificate{leaf, a.root} {
		a.chain = append(a.chain, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Raw})...)
	}
	a.reply(w, 200, a.order())
	return nil
}

func (a *Authority) showCert(w http.ResponseWriter, _ []byte) error {
	w.Header().Set("Content-Type", "application/pem-certificate-chain")
	_, err := w.Write(a.chain)
	return err
}
