package program

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"golang.org/x/crypto/acme"
	"golang.org/x/crypto/acme/autocert"
)

// Times of certificates.
const (
	authorityWait = 30 * time.Second // an exchange with the authority
	obtainAgain   = time.Minute      // between tries to obtain the first certificate
)

// newCertificates obtains certificates from the operator's authority by HTTP-01, keeps them in the operator's
// folder and renews them.
func newCertificates(a ACME) (*autocert.Manager, error) {
	client := &http.Client{Timeout: authorityWait}
	if a.Roots != "" {
		text, err := os.ReadFile(a.Roots)
		if err != nil {
			return nil, fmt.Errorf("acme.roots: %w", err)
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("acme.roots: %s holds no certificate", a.Roots)
		}
		client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	}
	return &autocert.Manager{
		Prompt: autocert.AcceptTOS, Cache: autocert.DirCache(a.Cache), HostPolicy: autocert.HostWhitelist(a.Domains...),
		RenewBefore: a.RenewBefore, Email: a.Email,
		Client: &acme.Client{DirectoryURL: a.Directory, HTTPClient: client, UserAgent: "otterturn"},
	}, nil
}

// obtain gets the certificates before the first client asks for one, and so starts their renewal.
func obtain(ctx context.Context, certs *autocert.Manager, domains []string, log func(string, ...any)) {
	for _, domain := range domains {
		for ctx.Err() == nil {
			_, err := certs.GetCertificate(&tls.ClientHelloInfo{ServerName: domain,
				CipherSuites:      []uint16{tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256},
				SupportedVersions: []uint16{tls.VersionTLS12, tls.VersionTLS13}})
			if err == nil {
				break
			}
			log("certificate of %s: %v", domain, err)
			select {
			case <-ctx.Done():
			case <-time.After(obtainAgain):
			}
		}
	}
}

// certificate reads the certificate that is kept for a domain.
func certificate(ctx context.Context, a ACME, domain string) (*x509.Certificate, error) {
	text, err := autocert.DirCache(a.Cache).Get(ctx, domain)
	if errors.Is(err, autocert.ErrCacheMiss) {
		return nil, errors.New("none yet")
	}
	for err == nil {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			return nil, errors.New("the folder holds none that can be read")
		}
		if block.Type == "CERTIFICATE" {
			return x509.ParseCertificate(block.Bytes)
		}
	}
	return nil, err
}
