// Package order carries out one try to obtain a certificate by ACME, with golang.org/x/crypto/acme for the protocol,
// and tells in the plan's terms how it ended. What it repeats by itself is a nonce that was not taken; all else is the
// plan's to repeat.
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

	"otterturn/internal/certs/plan"
	"otterturn/internal/certs/vault"
)

// Authority is where to ask, and as whom.
type Authority struct {
	Name       string
	Directory  string
	Roots      *x509.CertPool // of its own server, nil for the system's
	Email      string
	BindingID  string // of an external account, empty for none
	BindingKey []byte
}

// Solver answers challenges.
type Solver interface {
	// Offer has a challenge answered until the returned function is called. It fails where the kind can't be.
	Offer(c Challenge) (withdraw func(), err error)
}

// Challenge is one that is to be answered: HTTP-01 by a text under a path, TLS-ALPN-01 by a certificate for a name.
type Challenge struct {
	Kind        string
	Name        string
	Path, Text  string
	Certificate *tls.Certificate
}

// kinds of challenges in the order in which they are tried.
var kinds = []string{"http-01", "tls-alpn-01"}

// Bounds of a try.
const (
	nonceTries = 4                     // a nonce that is not taken is replaced so often
	pollFirst  = 20 * time.Millisecond // between two looks at what an authority is working on
	pollMost   = 2 * time.Second       // and at the most
	infoMost   = 1 << 16               // bytes of a directory or of renewal information
)

// Client asks one authority.
type Client struct {
	authority Authority
	vault     *vault.Vault
	acme      *acme.Client
}

// New returns a client.
func New(a Authority, v *vault.Vault) *Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: a.Roots}, MaxIdleConns: 2, IdleConnTimeout: 30 * time.Second}
	return &Client{authority: a, vault: v, acme: &acme.Client{
		DirectoryURL: a.Directory, UserAgent: "otterturn",
		HTTPClient: &http.Client{Transport: transport},
		// The library would repeat what a server's error or a limit answered. How often an authority is asked is the
		// plan's to say.
		RetryBackoff: func(n int, _ *http.Request, resp *http.Response) time.Duration {
			if resp.StatusCode == http.StatusBadRequest && n < nonceTries {
				return time.Millisecond
			}
			return -1
		},
	}}
}

// Obtain carries out one try for a certificate. challenge says with which kind to begin.
func (c *Client) Obtain(ctx context.Context, name string, names []string, challenge int, s Solver, anew bool) (*tls.Certificate, error) {
	if err := c.account(ctx, anew); err != nil {
		return nil, err
	}
	o, key, err := c.begin(ctx, name, names)
	if err != nil {
		return nil, err
	}
	for _, url := range o.AuthzURLs {
		if err := c.prove(ctx, url, challenge, s); err != nil {
			return nil, c.drop(name, err)
		}
	}
	if o, err = c.settled(ctx, o, acme.StatusReady, acme.StatusValid); err != nil {
		return nil, c.drop(name, err)
	}
	var chain [][]byte
	if o.Status == acme.StatusReady {
		csr, err := x509.CreateCertificateRequest(rand.Reader, &x509.CertificateRequest{DNSNames: names}, key)
		if err != nil {
			return nil, fail(plan.Local, err)
		}
		if chain, _, err = c.acme.CreateCertFromOrder(ctx, o, csr, true); err != nil {
			return nil, c.drop(name, fmt.Errorf("have the certificate made: %w", err))
		}
	} else if chain, err = c.acme.FetchCert(ctx, o.CertURL, true); err != nil {
		return nil, fmt.Errorf("fetch the certificate: %w", err)
	}
	cert, err := Check(chain, key, names, time.Now())
	if err != nil {
		return nil, c.drop(name, fail(plan.BadChain, err))
	}
	if err := c.vault.SaveCertificate(name, cert); err != nil {
		return cert, fail(plan.Local, err) // it can be served, and the next start fetches it again by the order
	}
	c.vault.DropOrder(name)
	return cert, nil
}

// drop forgets an order that will come to nothing, given how the try with it failed. One that only stood still is kept
// for the next try.
func (c *Client) drop(name string, err error) error {
	switch Outcome(err).Kind {
	case plan.Invalid, plan.Unreachable, plan.Rejected, plan.BadChain, plan.NoAccount:
		err = errors.Join(err, c.vault.DropOrder(name))
	}
	return err
}

// begin goes on with the order that an earlier process left, or asks for a new one.
func (c *Client) begin(ctx context.Context, name string, names []string) (*acme.Order, crypto.Signer, error) {
	kept, err := c.vault.Order(name)
	if err == nil && kept.Authority == c.authority.Name && kept.URL != "" {
		if o, err := c.acme.GetOrder(ctx, kept.URL); err == nil && o.Status != acme.StatusInvalid && sameNames(o, names) {
			key, err := vault.ParseKey(kept.Key)
			return o, key, fail(plan.Local, err)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fail(plan.Local, err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fail(plan.Local, err)
	}
	kept = vault.Order{Authority: c.authority.Name, Key: der}
	if err := c.vault.SaveOrder(name, kept); err != nil {
		return nil, nil, fail(plan.Local, err)
	}
	o, err := c.acme.AuthorizeOrder(ctx, acme.DomainIDs(names...))
	if err != nil {
		return nil, nil, fmt.Errorf("ask for an order: %w", err)
	}
	kept.URL = o.URI
	if err := c.vault.SaveOrder(name, kept); err != nil {
		return nil, nil, fail(plan.Local, err)
	}
	if o.Status == acme.StatusInvalid {
		return nil, nil, fail(plan.Invalid, fmt.Errorf("the order is void: %w", orderError(o)))
	}
	return o, key, nil
}

func sameNames(o *acme.Order, names []string) bool {
	var has []string
	for _, id := range o.Identifiers {
		has = append(has, id.Value)
	}
	slices.Sort(has)
	return slices.Equal(has, slices.Sorted(slices.Values(names)))
}

func orderError(o *acme.Order) error {
	if o.Error != nil {
		return o.Error
	}
	return errors.New("the authority does not say why")
}

// settled waits until an order has one of the states.
func (c *Client) settled(ctx context.Context, o *acme.Order, states ...string) (*acme.Order, error) {
	err := c.poll(ctx, func() (bool, error) {
		if slices.Contains(states, o.Status) {
			return true, nil
		}
		next, err := c.acme.GetOrder(ctx, o.URI)
		if err != nil {
			return false, fmt.Errorf("look at the order: %w", err)
		}
		if o = next; o.Status == acme.StatusInvalid {
			return false, fail(plan.Invalid, fmt.Errorf("the order turned invalid: %w", orderError(o)))
		}
		return slices.Contains(states, o.Status), nil
	})
	return o, err
}

// poll looks again and again, ever more rarely.
func (c *Client) poll(ctx context.Context, look func() (bool, error)) error {
	for wait := pollFirst; ; wait = min(2*wait, pollMost) {
		if done, err := look(); done || err != nil {
			return err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
