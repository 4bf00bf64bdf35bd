package order

import (
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/plan"
)

// kindError is an error of a known plan.Kind.
type kindError struct {
	kind plan.Kind
	err  error
}

func (e *kindError) Error() string { return e.err.Error() }

func (e *kindError) Unwrap() error { return e.err }

func withKind(kind plan.Kind, err error) error {
	if err == nil {
		return nil
	}
	return &kindError{kind, err}
}

// VerifyChain verifies that a chain matches a key and the names, is valid now and is signed in order, and returns it with
// the key.
func VerifyChain(chain [][]byte, key crypto.Signer, names []string, now time.Time) (*tls.Certificate, error) {
	var certs []*x509.Certificate
	for _, der := range chain {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("parse a certificate of the chain: %w", err)
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, errors.New("certificate chain is empty")
	}
	leaf := certs[0]
	pub, ok := key.Public().(*ecdsa.PublicKey)
	if !ok || !pub.Equal(leaf.PublicKey) {
		return nil, errors.New("certificate does not match the private key")
	}
	for _, n := range names {
		if err := leaf.VerifyHostname(n); err != nil {
			return nil, fmt.Errorf("certificate does not cover the names of the order: %w", err)
		}
	}
	if now.After(leaf.NotAfter) || now.Add(time.Minute).Before(leaf.NotBefore) {
		return nil, fmt.Errorf("certificate is valid from %s to %s, the current time is %s", leaf.NotBefore.UTC(), leaf.NotAfter.UTC(), now.UTC())
	}
	for i := range certs[:len(certs)-1] {
		if err := certs[i].CheckSignatureFrom(certs[i+1]); err != nil {
			return nil, fmt.Errorf("certificate %d of the chain is not signed by the next one: %w", i+1, err)
		}
	}
	return &tls.Certificate{Certificate: chain, PrivateKey: key, Leaf: leaf}, nil
}

// Outcome returns the plan's outcome for the error of a try.
func Outcome(err error) plan.Outcome {
	if err == nil {
		return plan.Outcome{Kind: plan.Obtained}
	}
	outcome := plan.Outcome{Kind: plan.Stalled, Detail: shorten(err.Error())}
	var kindErr *kindError
	var acmeErr *acme.Error
	var syntaxErr *json.SyntaxError
	var tooLongErr *http.MaxBytesError
	switch {
	case errors.As(err, &kindErr):
		outcome.Kind = kindErr.kind
	case errors.Is(err, certstore.ErrLocked):
		outcome.Kind = plan.Busy
	case errors.As(err, &acmeErr):
		outcome.RetryAfter, _ = acme.RateLimit(acmeErr)
		outcome.Kind = problemKind(acmeErr)
	case errors.As(err, &syntaxErr), errors.As(err, &tooLongErr),
		errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, context.DeadlineExceeded):
		outcome.Kind = plan.MalformedAnswer
	}
	return outcome
}

// shorten returns the beginning of an error text, which may contain a whole answer of the authority.
func shorten(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxDetailBytes], "") + "..."
}

// problemKind returns the Kind of a problem document (RFC 8555, section 6.7).
func problemKind(e *acme.Error) plan.Kind {
	const ns = "urn:ietf:params:acme:error:"
	switch e.ProblemType {
	case ns + "badNonce":
		return plan.BadNonce
	case ns + "rateLimited":
		return plan.RateLimited
	case ns + "accountDoesNotExist":
		return plan.NoAccount
	case ns + "connection", ns + "dns", ns + "tls", ns + "incorrectResponse":
		return plan.Unreachable
	case ns + "orderNotReady":
		return plan.Invalid
	}
	switch {
	case e.StatusCode == http.StatusTooManyRequests:
		return plan.RateLimited
	case e.StatusCode >= 500:
		return plan.ServerError
	}
	return plan.Rejected
}
