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
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
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

// failure is an error with what the plan makes of it.
type failure struct {
	kind plan.Kind
	err  error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

func fail(kind plan.Kind, err error) error {
	if err == nil {
		return nil
	}
	return &failure{kind, err}
}

// account sees to it that there is one. The key is on disk before the authority hears of it; a process that was killed
// in between left a key without an account, so the authority is asked once for each start.
func (c *Client) account(ctx context.Context, anew bool) error {
	if c.acme.Key != nil && !anew {
		return nil
	}
	key, err := c.vault.Account(c.authority.Name)
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, vault.ErrDamaged) {
		if key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err == nil {
			err = c.vault.SaveAccount(c.authority.Name, key)
		}
	}
	if err != nil {
		return fail(plan.Local, err)
	}
	c.acme.Key, c.acme.KID = key, ""
	if err := c.register(ctx); err != nil {
		c.acme.Key = nil
		return fmt.Errorf("see to an account: %w", err)
	}
	return nil
}

// register finds the account of the key, or makes one.
func (c *Client) register(ctx context.Context) error {
	if _, err := c.acme.GetReg(ctx, ""); !errors.Is(err, acme.ErrNoAccount) {
		return err
	}
	if c.rolled(ctx) {
		return nil
	}
	in := &acme.Account{}
	if c.authority.Email != "" {
		in.Contact = []string{"mailto:" + c.authority.Email}
	}
	if c.authority.BindingID != "" {
		in.ExternalAccountBinding = &acme.ExternalAccountBinding{KID: c.authority.BindingID, Key: c.authority.BindingKey}
	}
	_, err := c.acme.Register(ctx, in, acme.AcceptTOS)
	return err
}

// rolled goes on with the key that a rollover had given the account, where its process was killed before it could
// keep that as the account's.
func (c *Client) rolled(ctx context.Context) bool {
	next, err := c.vault.Account(c.authority.Name + nextKey)
	if err != nil {
		return false
	}
	old := c.acme.Key
	c.acme.Key, c.acme.KID = next, ""
	if _, err := c.acme.GetReg(ctx, ""); err == nil && c.vault.SaveAccount(c.authority.Name, next) == nil {
		return true
	}
	c.acme.Key, c.acme.KID = old, ""
	return false
}

// nextKey is what follows an authority's name in that of the key that its account is to get.
const nextKey = "-next"

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

// prove has the authority see that a name is ours.
func (c *Client) prove(ctx context.Context, url string, first int, s Solver) error {
	z, err := c.acme.GetAuthorization(ctx, url)
	if err != nil {
		return fmt.Errorf("ask what is to be proven: %w", err)
	}
	if z.Status == acme.StatusValid {
		return nil
	}
	var unable error
	for i := range kinds {
		kind := kinds[(first+i)%len(kinds)]
		at := slices.IndexFunc(z.Challenges, func(ch *acme.Challenge) bool { return ch.Type == kind })
		if at < 0 {
			continue
		}
		offer, err := c.challenge(kind, z.Identifier.Value, z.Challenges[at].Token)
		if err != nil {
			return fail(plan.Local, err)
		}
		withdraw, err := s.Offer(offer)
		if err != nil {
			unable = errors.Join(unable, err)
			continue
		}
		defer withdraw()
		if _, err := c.acme.Accept(ctx, z.Challenges[at]); err != nil {
			return fmt.Errorf("have the challenge looked at: %w", err)
		}
		return c.proven(ctx, url, z.Identifier.Value)
	}
	return fail(plan.Local, fmt.Errorf("no challenge for %s can be answered: %w", z.Identifier.Value, unable))
}

func (c *Client) challenge(kind, name, token string) (Challenge, error) {
	out := Challenge{Kind: kind, Name: name}
	var err error
	if kind == "http-01" {
		out.Path = c.acme.HTTP01ChallengePath(token)
		out.Text, err = c.acme.HTTP01ChallengeResponse(token)
		return out, err
	}
	cert, err := c.acme.TLSALPN01ChallengeCert(token, name)
	out.Certificate = &cert
	return out, err
}

// proven waits for the authority's verdict on a name.
func (c *Client) proven(ctx context.Context, url, name string) error {
	return c.poll(ctx, func() (bool, error) {
		z, err := c.acme.GetAuthorization(ctx, url)
		if err != nil {
			return false, fmt.Errorf("ask for the verdict: %w", err)
		}
		switch z.Status {
		case acme.StatusValid:
			return true, nil
		case acme.StatusPending, acme.StatusProcessing:
			return false, nil
		}
		for _, ch := range z.Challenges {
			if ch.Error != nil {
				return false, fail(plan.Unreachable, fmt.Errorf("%s by %s: %w", name, ch.Type, ch.Error))
			}
		}
		return false, fail(plan.Invalid, fmt.Errorf("%s: the authorization is %s", name, z.Status))
	})
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

// Check tells whether a chain fits a key, the names and the time.
func Check(chain [][]byte, key crypto.Signer, names []string, now time.Time) (*tls.Certificate, error) {
	var certs []*x509.Certificate
	for _, der := range chain {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("a certificate of the chain: %w", err)
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 {
		return nil, errors.New("an empty chain")
	}
	leaf := certs[0]
	pub, ok := key.Public().(*ecdsa.PublicKey)
	if !ok || !pub.Equal(leaf.PublicKey) {
		return nil, errors.New("the certificate is for another key")
	}
	for _, n := range names {
		if err := leaf.VerifyHostname(n); err != nil {
			return nil, fmt.Errorf("the certificate is for other names: %w", err)
		}
	}
	if now.After(leaf.NotAfter) || now.Add(time.Minute).Before(leaf.NotBefore) {
		return nil, fmt.Errorf("the certificate is valid from %s to %s, it is %s", leaf.NotBefore.UTC(), leaf.NotAfter.UTC(), now.UTC())
	}
	for i := range certs[:len(certs)-1] {
		if err := certs[i].CheckSignatureFrom(certs[i+1]); err != nil {
			return nil, fmt.Errorf("the chain is broken behind its certificate %d: %w", i+1, err)
		}
	}
	return &tls.Certificate{Certificate: chain, PrivateKey: key, Leaf: leaf}, nil
}

// Outcome tells what the plan makes of how a try ended.
func Outcome(err error) plan.Outcome {
	if err == nil {
		return plan.Outcome{Kind: plan.Obtained}
	}
	o := plan.Outcome{Kind: plan.Stalled, Detail: err.Error()}
	var own *failure
	var said *acme.Error
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &own):
		o.Kind = own.kind
	case errors.Is(err, vault.ErrBusy):
		o.Kind = plan.Busy
	case errors.As(err, &said):
		o.RetryAfter, _ = acme.RateLimit(said)
		o.Kind = problem(said)
	case errors.As(err, &syntax), errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, context.DeadlineExceeded):
		o.Kind = plan.Nonsense
	}
	return o
}

// problem maps the problems of RFC 8555, section 6.7.
func problem(e *acme.Error) plan.Kind {
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

// Suggest asks for the authority's renewal information (RFC 9773); ok is false where it offers none.
func (c *Client) Suggest(ctx context.Context, leaf *x509.Certificate) (w plan.Window, ok bool, err error) {
	var directory struct{ RenewalInfo string }
	if err := c.read(ctx, c.authority.Directory, &directory); err != nil || directory.RenewalInfo == "" {
		return w, false, err
	}
	serial := leaf.SerialNumber.Bytes()
	if len(serial) == 0 || serial[0]&0x80 != 0 { // as its DER encoding has it
		serial = append([]byte{0}, serial...)
	}
	id := base64.RawURLEncoding.EncodeToString(leaf.AuthorityKeyId) + "." + base64.RawURLEncoding.EncodeToString(serial)
	var info struct {
		SuggestedWindow struct{ Start, End time.Time }
	}
	if err := c.read(ctx, directory.RenewalInfo+"/"+id, &info); err != nil {
		return w, false, err
	}
	return plan.Window{Start: info.SuggestedWindow.Start, End: info.SuggestedWindow.End}, true, nil
}

func (c *Client) read(ctx context.Context, url string, into any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := c.acme.HTTPClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, infoMost)).Decode(into)
}

// RollKey gives the account a new key. The new one is on disk beside the old one until the authority has taken it.
func (c *Client) RollKey(ctx context.Context) error {
	if err := c.account(ctx, false); err != nil {
		return err
	}
	next, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	rolled := c.authority.Name + nextKey
	if err := c.vault.SaveAccount(rolled, next); err != nil {
		return err
	}
	if err := c.acme.AccountKeyRollover(ctx, next); err != nil {
		return fmt.Errorf("the authority did not take the new key: %w", err)
	}
	c.acme.Key = next
	if err := c.vault.SaveAccount(c.authority.Name, next); err != nil {
		return fmt.Errorf("the new key is taken, and kept as %s alone: %w", rolled, err)
	}
	return nil
}

// Revoke has the authority revoke a certificate.
func (c *Client) Revoke(ctx context.Context, der []byte) error {
	if err := c.account(ctx, false); err != nil {
		return err
	}
	return c.acme.RevokeCert(ctx, nil, der, acme.CRLReasonUnspecified)
}
