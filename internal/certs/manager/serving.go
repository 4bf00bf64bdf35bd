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

// This file is what connections are served: certificates, and answers to challenges.

// errNone tells that no certificate can be served for a name.
var errNone = errors.New("no valid certificate for this name")

// Certificate is the certificate for a client's greeting. One is served to its very end and not beyond.
func (m *Manager) Certificate(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
	if slices.Equal(hello.SupportedProtos, []string{acme.ALPNProto}) { // an authority greets with it alone (RFC 8737, section 3)
		return m.answers.certificate(hello.ServerName)
	}
	now := time.Now()
	var first *tls.Certificate
	for _, c := range m.serving() {
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
	if hello.ServerName == "" && first != nil { // a client that names none gets the first one
		return first, nil
	}
	return nil, errNone
}

// serving are the certificates there are, the operator's own ahead.
func (m *Manager) serving() []*tls.Certificate {
	var out []*tls.Certificate
	if files := m.files.Load(); files != nil {
		out = append(out, *files...)
	}
	for _, k := range m.kept {
		if c := k.current.Load(); c != nil {
			out = append(out, c)
		}
	}
	return out
}

// TLS is the configuration of listeners.
func (m *Manager) TLS() *tls.Config {
	c := &tls.Config{GetCertificate: m.Certificate, MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if m.set.ALPN {
		c.NextProtos = append(c.NextProtos, acme.ALPNProto)
	}
	return c
}

// File is a certificate that the operator brings.
type File struct{ Cert, Key string }

// Load takes over the operator's own certificates, all of them or, where one can't be used, none.
func (m *Manager) Load(files []File) error {
	var out []*tls.Certificate
	for _, f := range files {
		c, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return fmt.Errorf("%s with %s: %w", f.Cert, f.Key, err)
		}
		if time.Now().After(c.Leaf.NotAfter) {
			return fmt.Errorf("%s ran out on %s", f.Cert, stamp(c.Leaf.NotAfter))
		}
		out = append(out, &c)
	}
	m.files.Store(&out)
	return nil
}

// Offer implements order.Solver.
func (m *Manager) Offer(c order.Challenge) (func(), error) {
	if c.Kind == "http-01" && !m.set.HTTP || c.Kind != "http-01" && !m.set.ALPN {
		return nil, fmt.Errorf("%s is not set up", c.Kind)
	}
	return m.answers.offer(c), nil
}

// HTTP answers HTTP-01 challenges.
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
