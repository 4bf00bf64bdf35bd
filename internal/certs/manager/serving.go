package manager

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/order"
)

// errNoCertificate is returned when there is no valid certificate for the client's server name.
var errNoCertificate = errors.New("no valid certificate for this name")

// Certificate returns the certificate for a client hello. A certificate is served until it expires.
func (m *Manager) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if slices.Equal(hello.SupportedProtos, []string{acme.ALPNProto}) { // sent for a TLS-ALPN-01 challenge (RFC 8737, section 3)
		return m.answers.certificate(hello.ServerName)
	}
	now := time.Now()
	var first *tls.Certificate
	for _, c := range m.certificates() {
		if now.After(c.Leaf.NotAfter) {
			continue
		}
		if first == nil {
			first = c
		}
		if hello.ServerName != "" && c.Leaf.VerifyHostname(hello.ServerName) == nil {
			return c, nil
		}
	}
	if hello.ServerName == "" && first != nil { // a client without a server name gets the first valid certificate
		return first, nil
	}
	return nil, errNoCertificate
}

// certificates returns all certificates, those from the operator's files first.
func (m *Manager) certificates() []*tls.Certificate {
	var out []*tls.Certificate
	if files := m.files.Load(); files != nil {
		out = append(out, *files...)
	}
	for _, k := range m.managed {
		if c := k.current.Load(); c != nil {
			out = append(out, c)
		}
	}
	return out
}

// TLS returns the TLS configuration for listeners.
func (m *Manager) TLS() *tls.Config {
	c := &tls.Config{GetCertificate: m.Certificate, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if m.settings.ALPN {
		c.NextProtos = append(c.NextProtos, acme.ALPNProto)
	}
	return c
}

// File names the PEM files of a certificate and its key that the operator provides.
type File struct{ Cert, Key string }

// LoadFiles replaces the certificates from the operator's files. If one can't be used, it returns an error and changes
// nothing.
func (m *Manager) LoadFiles(files []File) error {
	var out []*tls.Certificate
	for _, f := range files {
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return fmt.Errorf("%s with %s: %w", f.Cert, f.Key, err)
		}
		if time.Now().After(c.Leaf.NotAfter) {
			return fmt.Errorf("%s ran out on %s", f.Cert, formatTime(c.Leaf.NotAfter))
		}
		out = append(out, &c)
	}
	m.files.Store(&out)
	return nil
}

// Offer implements order.Solver.
func (m *Manager) Offer(c order.Challenge) (func(), error) {
	if c.Type == "http-01" && !m.settings.HTTP || c.Type != "http-01" && !m.settings.ALPN {
		return nil, fmt.Errorf("%s is not set up", c.Type)
	}
	return m.answers.offer(c), nil
}

// HTTP returns a handler that answers HTTP-01 challenges.
func (m *Manager) HTTP() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := strings.Cut(r.Host, ":")
		text, ok := m.answers.text(host, r.URL.Path)
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write([]byte(text))
	})
}
