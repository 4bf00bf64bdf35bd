package authority

import (
	"bytes"
	"context"
	"crypto"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
)

// Section numbers without an RFC are those of RFC 8555.

// message is a verified request (sections 6.2 to 6.4).
type message struct {
	payload []byte
	account *account         // nil if the message carries its own key
	key     *jose.JSONWebKey // the key that the message carries, otherwise nil
}

func (a *Authority) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /directory", a.step("directory", func(w http.ResponseWriter, _ *http.Request) error {
		directory := map[string]any{
			"newNonce": a.url("/nonce"), "newAccount": a.url("/account"), "newOrder": a.url("/order"),
			"revokeCert": a.url("/revoke"), "keyChange": a.url("/key"),
			"meta": map[string]any{"externalAccountRequired": len(a.Bindings) > 0},
		}
		if a.OffersRenewalInfo {
			directory["renewalInfo"] = a.url("/info")
		}
		return reply(w, http.StatusOK, directory)
	}))
	mux.HandleFunc("/nonce", a.step("nonce", func(w http.ResponseWriter, _ *http.Request) error { return nil }))
	mux.HandleFunc("GET /info/{id}", a.step("info", a.info))
	for path, handle := range map[string]func(http.ResponseWriter, *http.Request, message) error{
		"account": a.newAccount, "account/{id}": a.showAccount, "order": a.newOrder, "order/{id}": a.showOrder,
		"authz/{id}": a.showAuthz, "challenge/{id}": a.challenge, "finalize/{id}": a.finalize, "cert/{id}": a.showCert,
		"key": a.changeKey, "revoke": a.revoke,
	} {
		step, _, _ := strings.Cut(path, "/")
		mux.HandleFunc("POST /"+path, a.step(step, func(w http.ResponseWriter, r *http.Request) error {
			m, err := a.verify(r)
			if err != nil {
				return err
			}
			return handle(w, r, m)
		}))
	}
	return mux
}

// step wraps the handler of a protocol step: it applies faults of the script and adds a fresh nonce to the answer.
func (a *Authority) step(name string, do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := a.Faults.take(name)
		a.mu.Lock()
		a.nonce(w)
		a.mu.Unlock()
		if a.applyFault(w, r, fault) {
			return
		}
		if fault != nil {
			r = r.WithContext(context.WithValue(r.Context(), faultKey{}, fault.Do))
		}
		if err := do(w, r); err != nil {
			a.fail(w, err)
		}
	}
}

type faultKey struct{}

// answerFault returns the fault that changes the answer of the step, "" for none.
func answerFault(r *http.Request) string {
	s, _ := r.Context().Value(faultKey{}).(string)
	return s
}

func (a *Authority) fail(w http.ResponseWriter, err error) {
	p, ok := err.(*problem)
	if !ok {
		p = newProblem(http.StatusInternalServerError, "serverInternal", "%v", err)
	}
	if p.retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.status)
	json.NewEncoder(w).Encode(p.body())
}

func reply(w http.ResponseWriter, status int, body any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(body)
}

var algorithms = []jose.SignatureAlgorithm{jose.ES256, jose.RS256}

// verify verifies a signed message: media type, nonce, URL, and the signature by the account's key or by the key that the
// message carries.
func (a *Authority) verify(r *http.Request) (message, error) {
	if r.Header.Get("Content-Type") != "application/jose+json" {
		return message{}, newProblem(http.StatusUnsupportedMediaType, "malformed", "unexpected content type %q", r.Header.Get("Content-Type"))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if err != nil {
		return message{}, err
	}
	signed, err := jose.ParseSignedJSON(string(body), algorithms)
	if err != nil || len(signed.Signatures) != 1 {
		return message{}, newProblem(http.StatusBadRequest, "malformed", "not a message with one signature: %v", err)
	}
	head := signed.Signatures[0].Protected
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.nonces[head.Nonce] {
		return message{}, newProblem(http.StatusBadRequest, "badNonce", "nonce unknown or already used")
	}
	delete(a.nonces, head.Nonce)
	if url, _ := head.ExtraHeaders["url"].(string); url != a.url(r.URL.Path) {
		return message{}, newProblem(http.StatusUnauthorized, "unauthorized", "message is signed for another URL: %q", url)
	}
	var m message
	key := head.JSONWebKey
	switch {
	case (key != nil) == (head.KeyID != ""):
		return message{}, newProblem(http.StatusBadRequest, "malformed", "protected header must have either jwk or kid")
	case key != nil:
		m.key = key
	default:
		m.account = a.accounts[head.KeyID]
		if m.account == nil {
			return message{}, newProblem(http.StatusBadRequest, "accountDoesNotExist", "account %q does not exist", head.KeyID)
		}
		if m.account.status != "valid" {
			return message{}, newProblem(http.StatusUnauthorized, "unauthorized", "account status is %s", m.account.status)
		}
		key = &m.account.key
	}
	if m.payload, err = signed.Verify(key); err != nil {
		return message{}, newProblem(http.StatusUnauthorized, "unauthorized", "signature does not verify")
	}
	if own := r.URL.Path == "/account" || r.URL.Path == "/revoke"; m.account == nil && !own {
		return message{}, newProblem(http.StatusBadRequest, "malformed", "message must be signed by an account")
	}
	return m, nil
}

// newAccount creates an account or returns the existing account of the key (section 7.3).
func (a *Authority) newAccount(w http.ResponseWriter, _ *http.Request, m message) error {
	var in struct {
		OnlyReturnExisting     bool
		TermsOfServiceAgreed   bool
		ExternalAccountBinding json.RawMessage
	}
	if m.key == nil || json.Unmarshal(m.payload, &in) != nil {
		return newProblem(http.StatusBadRequest, "malformed", "not an account request")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, existing := range a.accounts {
		if sameKey(existing.key, *m.key) {
			w.Header().Set("Location", existing.url)
			return reply(w, http.StatusOK, map[string]any{"status": existing.status})
		}
	}
	if in.OnlyReturnExisting {
		return newProblem(http.StatusBadRequest, "accountDoesNotExist", "no account exists for this key")
	}
	acct := &account{url: a.newID("account"), status: "valid", key: *m.key}
	if len(a.Bindings) > 0 {
		var err error
		if acct.externalAccount, err = a.binding(in.ExternalAccountBinding, *m.key); err != nil {
			return err
		}
	}
	a.accounts[acct.url] = acct
	w.Header().Set("Location", acct.url)
	return reply(w, http.StatusCreated, map[string]any{"status": acct.status})
}

// binding verifies an external account binding, in which the key of the external account signs the account's key
// (section 7.3.4). It returns the id of the external account.
func (a *Authority) binding(text json.RawMessage, key jose.JSONWebKey) (string, error) {
	if len(text) == 0 {
		return "", newProblem(http.StatusForbidden, "externalAccountRequired", "external account binding is missing")
	}
	signed, err := jose.ParseSignedJSON(string(text), []jose.SignatureAlgorithm{jose.HS256})
	if err != nil {
		return "", newProblem(http.StatusBadRequest, "malformed", "external account binding: %v", err)
	}
	id := signed.Signatures[0].Protected.KeyID
	payload, err := signed.Verify(a.Bindings[id])
	var bound jose.JSONWebKey
	if err != nil || json.Unmarshal(payload, &bound) != nil || !sameKey(bound, key) {
		return "", newProblem(http.StatusUnauthorized, "unauthorized", "external account binding to %q does not verify", id)
	}
	return id, nil
}

func sameKey(a, b jose.JSONWebKey) bool {
	x, err := a.Thumbprint(crypto.SHA256)
	y, otherErr := b.Thumbprint(crypto.SHA256)
	return err == nil && otherErr == nil && bytes.Equal(x, y)
}

func (a *Authority) showAccount(w http.ResponseWriter, r *http.Request, m message) error {
	if m.account.url != a.url(r.URL.Path) {
		return newProblem(http.StatusUnauthorized, "unauthorized", "account of another key")
	}
	return reply(w, http.StatusOK, map[string]any{"status": m.account.status})
}

// changeKey replaces the key of an account. The inner message is signed by the new key (section 7.3.5).
func (a *Authority) changeKey(w http.ResponseWriter, _ *http.Request, m message) error {
	inner, err := jose.ParseSignedJSON(string(m.payload), algorithms)
	if err != nil || inner.Signatures[0].Protected.JSONWebKey == nil {
		return newProblem(http.StatusBadRequest, "malformed", "inner message with a key is missing: %v", err)
	}
	next := inner.Signatures[0].Protected.JSONWebKey
	payload, err := inner.Verify(next)
	var in struct {
		Account string
		OldKey  jose.JSONWebKey
	}
	if err != nil || json.Unmarshal(payload, &in) != nil {
		return newProblem(http.StatusBadRequest, "malformed", "inner message does not verify")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.Account != m.account.url || !sameKey(in.OldKey, m.account.key) {
		return newProblem(http.StatusUnauthorized, "unauthorized", "inner message names another account or key")
	}
	for _, existing := range a.accounts {
		if sameKey(existing.key, *next) {
			return newProblem(http.StatusConflict, "malformed", "new key already has an account")
		}
	}
	m.account.key = *next
	return reply(w, http.StatusOK, map[string]any{"status": "valid"})
}

// newOrder creates an order with an authorization per name (section 7.4).
func (a *Authority) newOrder(w http.ResponseWriter, r *http.Request, m message) error {
	var in struct {
		Identifiers []struct{ Type, Value string }
	}
	if err := json.Unmarshal(m.payload, &in); err != nil || len(in.Identifiers) == 0 {
		return newProblem(http.StatusBadRequest, "malformed", "order without identifiers")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &order{url: a.newID("order"), status: "pending", owner: m.account.url}
	for _, id := range in.Identifiers {
		if id.Type != "dns" || id.Value != strings.ToLower(id.Value) || strings.Contains(id.Value, "*") {
			return newProblem(http.StatusBadRequest, "unsupportedIdentifier", "%s %q", id.Type, id.Value)
		}
		z := &authz{url: a.newID("authz"), status: "pending", owner: o.owner, name: id.Value, token: rand.Text()}
		for _, kind := range []string{"http-01", "tls-alpn-01"} {
			z.challenges = append(z.challenges, &challenge{url: a.newID("challenge"), kind: kind, status: "pending"})
		}
		a.authzs[z.url] = z
		o.names, o.authzs = append(o.names, id.Value), append(o.authzs, z)
	}
	if answerFault(r) == "invalid" {
		o.status, o.problem = "invalid", newProblem(http.StatusForbidden, "unauthorized", "order is invalid").body()
	}
	a.orders[o.url] = o
	w.Header().Set("Location", o.url)
	return reply(w, http.StatusCreated, a.view(o))
}

func (a *Authority) id(url string) string { return url[strings.LastIndex(url, "/")+1:] }

// view updates the status of an order and returns its representation (section 7.1.3). a.mu must be held.
func (a *Authority) view(o *order) map[string]any {
	if o.status == "pending" && !slices.ContainsFunc(o.authzs, func(z *authz) bool { return z.status != "valid" }) {
		o.status = "ready"
	}
	if slices.ContainsFunc(o.authzs, func(z *authz) bool { return z.status == "invalid" }) {
		o.status = "invalid"
	}
	var names, authzs []any
	for _, z := range o.authzs {
		names, authzs = append(names, map[string]any{"type": "dns", "value": z.name}), append(authzs, z.url)
	}
	out := map[string]any{
		"status": o.status, "identifiers": names, "authorizations": authzs,
		"finalize": a.url("/finalize/" + a.id(o.url)), "expires": time.Now().Add(time.Hour).UTC().Format(time.RFC3339),
	}
	if o.chain != nil {
		out["certificate"] = a.url("/cert/" + a.id(o.url))
	}
	if o.problem != nil {
		out["error"] = o.problem
	}
	return out
}

// ownOrder returns the order of a request if it belongs to the account. a.mu must be held.
func (a *Authority) ownOrder(r *http.Request, m message) (*order, error) {
	o := a.orders[a.url("/order/"+r.PathValue("id"))]
	if o == nil || o.owner != m.account.url {
		return nil, newProblem(http.StatusNotFound, "malformed", "order does not exist")
	}
	return o, nil
}

func (a *Authority) showOrder(w http.ResponseWriter, r *http.Request, m message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.ownOrder(r, m)
	if err != nil {
		return err
	}
	w.Header().Set("Location", o.url)
	return reply(w, http.StatusOK, a.view(o))
}

func (z *authz) view() map[string]any {
	var challenges []any
	for _, c := range z.challenges {
		challenges = append(challenges, z.challengeView(c))
	}
	return map[string]any{"status": z.status, "identifier": map[string]any{"type": "dns", "value": z.name}, "challenges": challenges}
}

func (z *authz) challengeView(c *challenge) map[string]any {
	out := map[string]any{"type": c.kind, "url": c.url, "status": c.status, "token": z.token}
	if c.problem != nil {
		out["error"] = c.problem
	}
	return out
}

func (a *Authority) showAuthz(w http.ResponseWriter, r *http.Request, m message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	z := a.authzs[a.url(r.URL.Path)]
	if z == nil || z.owner != m.account.url {
		return newProblem(http.StatusNotFound, "malformed", "authorization does not exist")
	}
	return reply(w, http.StatusOK, z.view())
}

// challenge starts the validation of a challenge that the client declares ready (section 7.5.1).
func (a *Authority) challenge(w http.ResponseWriter, r *http.Request, m message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, z := range a.authzs {
		for _, c := range z.challenges {
			if c.url != a.url(r.URL.Path) || z.owner != m.account.url {
				continue
			}
			if c.status == "pending" && z.status == "pending" && string(m.payload) != "" {
				c.status = "processing"
				thumbprint, err := m.account.key.Thumbprint(crypto.SHA256)
				if err != nil {
					return err
				}
				go a.validate(z, c, z.token+"."+base64.RawURLEncoding.EncodeToString(thumbprint))
			}
			return reply(w, http.StatusOK, z.challengeView(c))
		}
	}
	return newProblem(http.StatusNotFound, "malformed", "challenge does not exist")
}

// validate validates a challenge and sets its status and the status of its authorization.
func (a *Authority) validate(z *authz, c *challenge, keyAuthorization string) {
	ctx, cancel := context.WithTimeout(context.Background(), a.ValidationTimeout)
	defer cancel()
	var err *problem
	if c.kind == "http-01" {
		err = a.validateHTTP(ctx, z, keyAuthorization)
	} else {
		err = a.validateTLS(ctx, z, keyAuthorization)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.status, z.status = "valid", "valid"
	if err != nil {
		c.status, z.status, c.problem = "invalid", "invalid", err.body()
	}
}

// validateHTTP validates an HTTP-01 challenge (section 8.3).
func (a *Authority) validateHTTP(ctx context.Context, z *authz, keyAuthorization string) *problem {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.HTTP+"/.well-known/acme-challenge/"+z.token, nil)
	if err != nil {
		return newProblem(http.StatusBadRequest, "connection", "%v", err)
	}
	r.Host = z.name
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return newProblem(http.StatusBadRequest, "connection", "%v", err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil || resp.StatusCode != http.StatusOK || string(bytes.TrimSpace(got)) != keyAuthorization {
		return newProblem(http.StatusForbidden, "unauthorized", "HTTP-01 answer with status %d: %q, %v", resp.StatusCode, got, err)
	}
	return nil
}

// validateTLS validates a TLS-ALPN-01 challenge (RFC 8737, section 3).
func (a *Authority) validateTLS(ctx context.Context, z *authz, keyAuthorization string) *problem {
	dialer := &tls.Dialer{Config: &tls.Config{ServerName: z.name, NextProtos: []string{"acme-tls/1"}, InsecureSkipVerify: true}}
	conn, err := dialer.DialContext(ctx, "tcp", a.TLS)
	if err != nil {
		return newProblem(http.StatusBadRequest, "connection", "%v", err)
	}
	defer conn.Close()
	state := conn.(*tls.Conn).ConnectionState()
	leaf := state.PeerCertificates[0]
	sum := sha256.Sum256([]byte(keyAuthorization))
	extension := append([]byte{4, 32}, sum[:]...) // tag and length of a DER octet string
	found := slices.ContainsFunc(leaf.Extensions, func(e pkixExtension) bool {
		return e.Id.String() == "1.3.6.1.5.5.7.1.31" && e.Critical && bytes.Equal(e.Value, extension)
	})
	if state.NegotiatedProtocol != "acme-tls/1" || !slices.Equal(leaf.DNSNames, []string{z.name}) || !found {
		return newProblem(http.StatusForbidden, "unauthorized",
			"TLS-ALPN-01 answer with protocol %q and a certificate for %v", state.NegotiatedProtocol, leaf.DNSNames)
	}
	return nil
}

// finalize issues the certificate of an order. The signing request must have exactly the order's names (section 7.4).
func (a *Authority) finalize(w http.ResponseWriter, r *http.Request, m message) error {
	var in struct{ CSR string }
	if err := json.Unmarshal(m.payload, &in); err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	der, err := base64.RawURLEncoding.DecodeString(in.CSR)
	if err != nil {
		return newProblem(http.StatusBadRequest, "badCSR", "%v", err)
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err == nil {
		err = csr.CheckSignature()
	}
	if err != nil {
		return newProblem(http.StatusBadRequest, "badCSR", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.ownOrder(r, m)
	if err != nil {
		return err
	}
	a.view(o)
	names := slices.Clone(csr.DNSNames)
	if csr.Subject.CommonName != "" && !slices.Contains(names, csr.Subject.CommonName) {
		names = append(names, csr.Subject.CommonName)
	}
	slices.Sort(names)
	if want := slices.Sorted(slices.Values(o.names)); !slices.Equal(names, want) {
		return newProblem(http.StatusBadRequest, "badCSR", "signing request is for %v, order is for %v", names, want)
	}
	if o.status != "ready" {
		return newProblem(http.StatusForbidden, "orderNotReady", "order status is %s", o.status)
	}
	if requestKey, err := x509.MarshalPKIXPublicKey(csr.PublicKey); err == nil {
		if accountKey, err := x509.MarshalPKIXPublicKey(m.account.key.Key); err == nil && bytes.Equal(requestKey, accountKey) {
			return newProblem(http.StatusBadRequest, "badCSR", "signing request is for the account's own key")
		}
	}
	if o.chain, err = a.issue(o, csr, answerFault(r)); err != nil {
		return err
	}
	o.status = "valid"
	w.Header().Set("Location", o.url)
	return reply(w, http.StatusOK, a.view(o))
}

func (a *Authority) showCert(w http.ResponseWriter, r *http.Request, m message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.ownOrder(r, m)
	if err != nil || o.chain == nil {
		return newProblem(http.StatusNotFound, "malformed", "certificate not issued yet")
	}
	w.Header().Set("Content-Type", "application/pem-certificate-chain")
	_, err = w.Write(o.chain)
	return err
}

// revoke revokes a certificate for the account that ordered it or for the owner of its key (section 7.6).
func (a *Authority) revoke(w http.ResponseWriter, _ *http.Request, m message) error {
	var in struct{ Certificate string }
	if err := json.Unmarshal(m.payload, &in); err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	der, err := base64.RawURLEncoding.DecodeString(in.Certificate)
	if err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return newProblem(http.StatusBadRequest, "malformed", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	entry := a.issued[fmt.Sprintf("%x", cert.SerialNumber)]
	switch {
	case entry == nil || !bytes.Equal(entry.cert.Raw, der):
		return newProblem(http.StatusNotFound, "malformed", "certificate was not issued by this authority")
	case entry.revoked:
		return newProblem(http.StatusBadRequest, "alreadyRevoked", "certificate is already revoked")
	case m.account != nil && m.account.url != entry.owner, m.key != nil && !sameKey(*m.key, jose.JSONWebKey{Key: cert.PublicKey}):
		return newProblem(http.StatusForbidden, "unauthorized", "signed by neither the owning account nor the certificate's key")
	}
	entry.revoked = true
	w.WriteHeader(http.StatusOK)
	return nil
}

// info returns the renewal information of a certificate (RFC 9773, section 4.2).
func (a *Authority) info(w http.ResponseWriter, r *http.Request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for serial, i := range a.issued {
		id := base64.RawURLEncoding.EncodeToString(i.cert.AuthorityKeyId) + "." +
			base64.RawURLEncoding.EncodeToString(serialBytes(i.cert))
		if id != r.PathValue("id") {
			continue
		}
		life := i.cert.NotAfter.Sub(i.cert.NotBefore)
		window := [2]time.Time{i.cert.NotAfter.Add(-life / 3), i.cert.NotAfter.Add(-life / 4)}
		if suggested, ok := a.renewalWindows[serial]; ok {
			window = suggested
		}
		w.Header().Set("Retry-After", "1")
		return reply(w, http.StatusOK, map[string]any{"suggestedWindow": map[string]any{
			"start": window[0].UTC().Format(time.RFC3339Nano), "end": window[1].UTC().Format(time.RFC3339Nano),
		}})
	}
	return newProblem(http.StatusNotFound, "malformed", "certificate does not exist")
}
