// Package order performs one try to obtain a certificate by ACME, using golang.org/x/crypto/acme for the protocol, and
// reports the outcome as a plan.Outcome. It retries only requests whose nonce was rejected; package plan decides on every
// other retry.
package order

import (
	"context"
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/plan"
)

// Authority describes an authority's directory and the account to use there.
type Authority struct {
	Name       string
	Directory  string
	Roots      *x509.CertPool // for the TLS connection to the authority, nil for the system's roots
	Email      string
	BindingID  string // key identifier of an external account, empty for none
	BindingKey []byte
}

// Solver answers challenges.
type Solver interface {
	// Offer answers a challenge until withdraw is called. It fails if this type of challenge can't be answered.
	Offer(c Challenge) (withdraw func(), err error)
}

// Challenge holds the answer to a challenge: a text under a path for HTTP-01, a certificate for a name for TLS-ALPN-01.
type Challenge struct {
	Type        string
	Name        string
	Path, Text  string
	Certificate *tls.Certificate
}

// challengeTypes holds the ACME names of the challenge types in the order in which they are tried.
var challengeTypes = []string{"http-01", "tls-alpn-01"}

// Bounds on the requests of one try.
const (
	maxNonceTries   = 4                     // attempts of a request whose nonce is rejected
	minPollInterval = 20 * time.Millisecond // first interval between two polls of an order or authorization; it doubles each time
	maxPollInterval = 2 * time.Second       // longest interval
)

// Client sends requests to one authority.
type Client struct {
	authority Authority
	store     *certstore.Store
	acme      *acme.Client
}

// New returns a client for an authority that stores its account keys, orders and certificates in v.
func New(a Authority, store *certstore.Store) *Client {
	transport := newTransport(&tls.Config{RootCAs: a.Roots})
	return &Client{authority: a, store: store, acme: &acme.Client{
		DirectoryURL: a.Directory, UserAgent: "otterturn",
		HTTPClient: &http.Client{Transport: transport},
		// By default the library also retries after a server error or a rate limit. Package plan decides when to
		// retry these, so only a bad request, as for a rejected nonce, is retried here.
		RetryBackoff: func(n int, _ *http.Request, resp *http.Response) time.Duration {
			if resp.StatusCode == http.StatusBadRequest && n < maxNonceTries {
				return time.Millisecond
			}
			return -1
		},
	}}
}

// Obtain performs one try to obtain a certificate. firstChallenge is the index of the challenge type to try first.
// reregister makes it register the account again.
func (c *Client) Obtain(ctx context.Context, name string, names []string, firstChallenge int, s Solver,
	reregister bool,
) (*tls.Certificate, error) {
	if err := c.ensureAccount(ctx, reregister); err != nil {
		return nil, err
	}
	acmeOrder, key, err := c.startOrResume(ctx, name, names)
	if err != nil {
		return nil, err
	}
	for _, url := range acmeOrder.AuthzURLs {
		if err := c.authorize(ctx, url, firstChallenge, s); err != nil {
			return nil, c.dropIfUnusable(name, err)
		}
	}
	if acmeOrder, err = c.waitForStatus(ctx, acmeOrder, acme.StatusReady, acme.StatusValid); err != nil {
		return nil, c.dropIfUnusable(name, err)
	}
	var chain [][]byte
	if acmeOrder.Status == acme.StatusReady {
		csr, err := x509.CreateCertificateRequest(rand.Reader, &x509.CertificateRequest{DNSNames: names}, key)
		if err != nil {
			return nil, withKind(plan.Local, err)
		}
		if chain, _, err = c.acme.CreateCertFromOrder(ctx, acmeOrder, csr, true); err != nil {
			return nil, c.dropIfUnusable(name, fmt.Errorf("finalize the order: %w", err))
		}
	} else if chain, err = c.acme.FetchCert(ctx, acmeOrder.CertURL, true); err != nil {
		return nil, fmt.Errorf("fetch the certificate: %w", err)
	}
	cert, err := VerifyChain(chain, key, names, time.Now())
	if err != nil {
		return nil, c.dropIfUnusable(name, withKind(plan.BadChain, err))
	}
	if err := c.store.SaveCertificate(name, cert); err != nil {
		return cert, withKind(plan.Local, err) // it can be served, and the next process fetches it again by the stored order
	}
	c.store.DeleteOrder(name)
	return cert, nil
}

// dropIfUnusable deletes the stored order if the error shows that the order can't succeed. After any other error, such as
// a timeout, the order stays for the next try.
func (c *Client) dropIfUnusable(name string, err error) error {
	switch Outcome(err).Kind {
	case plan.Invalid, plan.Unreachable, plan.Rejected, plan.BadChain, plan.NoAccount:
		err = errors.Join(err, c.store.DeleteOrder(name))
	}
	return err
}

// startOrResume resumes the stored order if there is one that is still usable, or places a new one.
func (c *Client) startOrResume(ctx context.Context, name string, names []string) (*acme.Order, crypto.Signer, error) {
	stored, err := c.store.Order(name)
	if err == nil && stored.Authority == c.authority.Name && stored.URL != "" {
		if o, err := c.acme.GetOrder(ctx, stored.URL); err == nil && o.Status != acme.StatusInvalid && sameNames(o, names) {
			key, err := certstore.ParseKey(stored.Key)
			return o, key, withKind(plan.Local, err)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, withKind(plan.Local, err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, withKind(plan.Local, err)
	}
	stored = certstore.Order{Authority: c.authority.Name, Key: der}
	if err := c.store.SaveOrder(name, stored); err != nil {
		return nil, nil, withKind(plan.Local, err)
	}
	o, err := c.acme.AuthorizeOrder(ctx, acme.DomainIDs(names...))
	if err != nil {
		return nil, nil, fmt.Errorf("place the order: %w", err)
	}
	stored.URL = o.URI
	if err := c.store.SaveOrder(name, stored); err != nil {
		return nil, nil, withKind(plan.Local, err)
	}
	if o.Status == acme.StatusInvalid {
		return nil, nil, withKind(plan.Invalid, fmt.Errorf("the new order is invalid: %w", orderError(o)))
	}
	return o, key, nil
}

func sameNames(o *acme.Order, names []string) bool {
	var orderNames []string
	for _, id := range o.Identifiers {
		orderNames = append(orderNames, id.Value)
	}
	slices.Sort(orderNames)
	return slices.Equal(orderNames, slices.Sorted(slices.Values(names)))
}

func orderError(o *acme.Order) error {
	if o.Error != nil {
		return o.Error
	}
	return errors.New("the authority gave no reason")
}

// waitForStatus waits until an order has one of the given states.
func (c *Client) waitForStatus(ctx context.Context, o *acme.Order, states ...string) (*acme.Order, error) {
	err := c.poll(ctx, func() (bool, error) {
		if slices.Contains(states, o.Status) {
			return true, nil
		}
		next, err := c.acme.GetOrder(ctx, o.URI)
		if err != nil {
			return false, fmt.Errorf("fetch the order: %w", err)
		}
		if o = next; o.Status == acme.StatusInvalid {
			return false, withKind(plan.Invalid, fmt.Errorf("the order became invalid: %w", orderError(o)))
		}
		return slices.Contains(states, o.Status), nil
	})
	return o, err
}

// poll calls check with exponentially growing pauses until it returns true or an error, or ctx ends.
func (c *Client) poll(ctx context.Context, check func() (bool, error)) error {
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		if done, err := check(); done || err != nil {
			return err
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
