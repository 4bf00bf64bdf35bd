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

// message is a signed request that holds (section 6.2 to 6.4).
type message struct {
	payload []byte
	account *account         // nil for one that is signed by a key of its own
	key     *jose.JSONWebKey // then that key
}

func (a *Authority) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /directory", a.step("directory", func(w http.ResponseWriter, _ *http.Request) error {
		directory := map[string]any{
			"newNonce": a.url("/nonce"), "newAccount": a.url("/account"), "newOrder": a.url("/order"),
			"revokeCert": a.url("/revoke"), "keyChange": a.url("/key"),
			"meta": map[string]any{"externalAccountRequired": len(a.Bindings) > 0},
		}
		if a.Informs {
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
			m, err := a.open(r)
			if err != nil {
				return err
			}
			return handle(w, r, m)
		}))
	}
	return mux
}

// step is one step of the protocol: it may fail by script, it has a fresh nonce, and it owns the state.
func (a *Authority) step(name string, do func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault := a.Faults.at(name)
		a.mu.Lock()
		a.nonce(w)
		a.mu.Unlock()
		if a.strike(w, r, fault) {
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

// wrong is a fault of the step that does not take the place of its answer.
func wrong(r *http.Request) string {
	s, _ := r.Context().Value(faultKey{}).(string)
	return s
}

func (a *Authority) fail(w http.ResponseWriter, err error) {
	p, ok := err.(*problem)
	if !ok {
		p = bad(http.StatusInternalServerError, "serverInternal", "%v", err)
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

// open checks a signed message: media type, nonce, address, and the signature by the account's key or its own.
func (a *Authority) open(r *http.Request) (message, error) {
	if r.Header.Get("Content-Type") != "application/jose+json" {
		return message{}, bad(http.StatusUnsupportedMediaType, "malformed", "content type %q", r.Header.Get("Content-Type"))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	if err != nil {
		return message{}, err
	}
	signed, err := jose.ParseSignedJSON(string(body), algorithms)
	if err != nil || len(signed.Signatures) != 1 {
		return message{}, bad(http.StatusBadRequest, "malformed", "no signed message: %v", err)
	}
	head := signed.Signatures[0].Protected
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.nonces[head.Nonce] {
		return message{}, bad(http.StatusBadRequest, "badNonce", "a nonce that was never given or is used up")
	}
	delete(a.nonces, head.Nonce)
	if url, _ := head.ExtraHeaders["url"].(string); url != a.url(r.URL.Path) {
		return message{}, bad(http.StatusUnauthorized, "unauthorized", "signed for %q", url)
	}
	var m message
	key := head.JSONWebKey
	switch {
	case (key != nil) == (head.KeyID != ""):
		return message{}, bad(http.StatusBadRequest, "malformed", "either jwk or kid must stand in the head")
	case key != nil:
		m.key = key
	default:
		m.account = a.accounts[head.KeyID]
		if m.account == nil {
			return message{}, bad(http.StatusBadRequest, "accountDoesNotExist", "no account %q", head.KeyID)
		}
		if m.account.status != "valid" {
			return message{}, bad(http.StatusUnauthorized, "unauthorized", "the account is %s", m.account.status)
		}
		key = &m.account.key
	}
	if m.payload, err = signed.Verify(key); err != nil {
		return message{}, bad(http.StatusUnauthorized, "unauthorized", "the signature does not hold")
	}
	if own := r.URL.Path == "/account" || r.URL.Path == "/revoke"; m.account == nil && !own {
		return message{}, bad(http.StatusBadRequest, "malformed", "the message must be signed for an account")
	}
	return m, nil
}

// newAccount is section 7.3: an account for a key, the same one for the same key.
func (a *Authority) newAccount(w http.ResponseWriter, _ *http.Request, m message) error {
	var in struct {
		OnlyReturnExisting     bool
		TermsOfServiceAgreed   bool
		ExternalAccountBinding json.RawMessage
	}
	if m.key == nil || json.Unmarshal(m.payload, &in) != nil {
		return bad(http.StatusBadRequest, "malformed", "no request for an account")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, has := range a.accounts {
		if sameKey(has.key, *m.key) {
			w.Header().Set("Location", has.url)
			return reply(w, http.StatusOK, map[string]any{"status": has.status})
		}
	}
	if in.OnlyReturnExisting {
		return bad(http.StatusBadRequest, "accountDoesNotExist", "no account has this key")
	}
	acct := &account{url: a.newID("account"), status: "valid", key: *m.key}
	if len(a.Bindings) > 0 {
		var err error
		if acct.bound, err = a.binding(in.ExternalAccountBinding, *m.key); err != nil {
			return err
		}
	}
	a.accounts[acct.url] = acct
	w.Header().Set("Location", acct.url)
	return reply(w, http.StatusCreated, map[string]any{"status": acct.status})
}

// binding is section 7.3.4: the external account's key has signed the account's.
func (a *Authority) binding(text json.RawMessage, key jose.JSONWebKey) (string, error) {
	if len(text) == 0 {
		return "", bad(http.StatusForbidden, "externalAccountRequired", "an external account must be named")
	}
	signed, err := jose.ParseSignedJSON(string(text), []jose.SignatureAlgorithm{jose.HS256})
	if err != nil {
		return "", bad(http.StatusBadRequest, "malformed", "the binding: %v", err)
	}
	id := signed.Signatures[0].Protected.KeyID
	payload, err := signed.Verify(a.Bindings[id])
	var bound jose.JSONWebKey
	if err != nil || json.Unmarshal(payload, &bound) != nil || !sameKey(bound, key) {
		return "", bad(http.StatusUnauthorized, "unauthorized", "the binding to %q does not hold", id)
	}
	return id, nil
}

func sameKey(a, b jose.JSONWebKey) bool {
	x, err := a.Thumbprint(crypto.SHA256)
	y, bad := b.Thumbprint(crypto.SHA256)
	return err == nil && bad == nil && bytes.Equal(x, y)
}

func (a *Authority) showAccount(w http.ResponseWriter, r *http.Request, m message) error {
	if m.account.url != a.url(r.URL.Path) {
		return bad(http.StatusUnauthorized, "unauthorized", "another's account")
	}
	return reply(w, http.StatusOK, map[string]any{"status": m.account.status})
}

// changeKey is section 7.3.5: the new key signs for the old one's account.
func (a *Authority) changeKey(w http.ResponseWriter, _ *http.Request, m message) error {
	inner, err := jose.ParseSignedJSON(string(m.payload), algorithms)
	if err != nil || inner.Signatures[0].Protected.JSONWebKey == nil {
		return bad(http.StatusBadRequest, "malformed", "no inner message with a key: %v", err)
	}
	next := inner.Signatures[0].Protected.JSONWebKey
	payload, err := inner.Verify(next)
	var in struct {
		Account string
		OldKey  jose.JSONWebKey
	}
	if err != nil || json.Unmarshal(payload, &in) != nil {
		return bad(http.StatusBadRequest, "malformed", "the inner message does not hold")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.Account != m.account.url || !sameKey(in.OldKey, m.account.key) {
		return bad(http.StatusUnauthorized, "unauthorized", "of another account or key")
	}
	for _, has := range a.accounts {
		if sameKey(has.key, *next) {
			return bad(http.StatusConflict, "malformed", "the key has an account")
		}
	}
	m.account.key = *next
	return reply(w, http.StatusOK, map[string]any{"status": "valid"})
}

// newOrder is section 7.4.
func (a *Authority) newOrder(w http.ResponseWriter, r *http.Request, m message) error {
	var in struct {
		Identifiers []struct{ Type, Value string }
	}
	if err := json.Unmarshal(m.payload, &in); err != nil || len(in.Identifiers) == 0 {
		return bad(http.StatusBadRequest, "malformed", "no identifiers")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o := &order{url: a.newID("order"), status: "pending", owner: m.account.url}
	for _, id := range in.Identifiers {
		if id.Type != "dns" || id.Value != strings.ToLower(id.Value) || strings.Contains(id.Value, "*") {
			return bad(http.StatusBadRequest, "unsupportedIdentifier", "%s %q", id.Type, id.Value)
		}
		z := &authz{url: a.newID("authz"), status: "pending", owner: o.owner, name: id.Value, token: rand.Text()}
		for _, kind := range []string{"http-01", "tls-alpn-01"} {
			z.challenges = append(z.challenges, &challenge{url: a.newID("challenge"), kind: kind, status: "pending"})
		}
		a.authzs[z.url] = z
		o.names, o.authzs = append(o.names, id.Value), append(o.authzs, z)
	}
	if wrong(r) == "invalid" {
		o.status, o.problem = "invalid", bad(http.StatusForbidden, "unauthorized", "the order is void").body()
	}
	a.orders[o.url] = o
	w.Header().Set("Location", o.url)
	return reply(w, http.StatusCreated, a.view(o))
}

func (a *Authority) id(url string) string { return url[strings.LastIndex(url, "/")+1:] }

// view is an order as clients see it (section 7.1.3). The lock is held.
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

// own finds an account's order.
func (a *Authority) own(r *http.Request, m message) (*order, error) {
	o := a.orders[a.url("/order/"+r.PathValue("id"))]
	if o == nil || o.owner != m.account.url {
		return nil, bad(http.StatusNotFound, "malformed", "no such order")
	}
	return o, nil
}

func (a *Authority) showOrder(w http.ResponseWriter, r *http.Request, m message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.own(r, m)
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
		return bad(http.StatusNotFound, "malformed", "no such authorization")
	}
	return reply(w, http.StatusOK, z.view())
}

// challenge is section 7.5.1: the client says that it is ready, and the authority looks for itself.
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
				thumb, err := m.account.key.Thumbprint(crypto.SHA256)
				if err != nil {
					return err
				}
				go a.validate(z, c, z.token+"."+base64.RawURLEncoding.EncodeToString(thumb))
			}
			return reply(w, http.StatusOK, z.challengeView(c))
		}
	}
	return bad(http.StatusNotFound, "malformed", "no such challenge")
}

// validate fetches the answer to a challenge.
func (a *Authority) validate(z *authz, c *challenge, want string) {
	ctx, end := context.WithTimeout(context.Background(), a.Patience)
	defer end()
	var err *problem
	if c.kind == "http-01" {
		err = a.fetchHTTP(ctx, z, want)
	} else {
		err = a.fetchTLS(ctx, z, want)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.status, z.status = "valid", "valid"
	if err != nil {
		c.status, z.status, c.problem = "invalid", "invalid", err.body()
	}
}

// fetchHTTP is section 8.3.
func (a *Authority) fetchHTTP(ctx context.Context, z *authz, want string) *problem {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.HTTP+"/.well-known/acme-challenge/"+z.token, nil)
	if err != nil {
		return bad(http.StatusBadRequest, "connection", "%v", err)
	}
	r.Host = z.name
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return bad(http.StatusBadRequest, "connection", "%v", err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil || resp.StatusCode != http.StatusOK || string(bytes.TrimSpace(got)) != want {
		return bad(http.StatusForbidden, "unauthorized", "answered %d %q, %v", resp.StatusCode, got, err)
	}
	return nil
}

// fetchTLS is RFC 8737, section 3.
func (a *Authority) fetchTLS(ctx context.Context, z *authz, want string) *problem {
	dialer := &tls.Dialer{Config: &tls.Config{ServerName: z.name, NextProtos: []string{"acme-tls/1"}, InsecureSkipVerify: true}}
	conn, err := dialer.DialContext(ctx, "tcp", a.TLS)
	if err != nil {
		return bad(http.StatusBadRequest, "connection", "%v", err)
	}
	defer conn.Close()
	state := conn.(*tls.Conn).ConnectionState()
	leaf := state.PeerCertificates[0]
	sum := sha256.Sum256([]byte(want))
	extension := append([]byte{4, 32}, sum[:]...) // an octet string
	found := slices.ContainsFunc(leaf.Extensions, func(e pkixExtension) bool {
		return e.Id.String() == "1.3.6.1.5.5.7.1.31" && e.Critical && bytes.Equal(e.Value, extension)
	})
	if state.NegotiatedProtocol != "acme-tls/1" || !slices.Equal(leaf.DNSNames, []string{z.name}) || !found {
		return bad(http.StatusForbidden, "unauthorized", "protocol %q, a certificate of %v", state.NegotiatedProtocol, leaf.DNSNames)
	}
	return nil
}

// finalize is section 7.4: the request must be for the order's names, all and no others.
func (a *Authority) finalize(w http.ResponseWriter, r *http.Request, m message) error {
	var in struct{ CSR string }
	if err := json.Unmarshal(m.payload, &in); err != nil {
		return bad(http.StatusBadRequest, "malformed", "%v", err)
	}
	der, err := base64.RawURLEncoding.DecodeString(in.CSR)
	if err != nil {
		return bad(http.StatusBadRequest, "badCSR", "%v", err)
	}
	csr, err := x509.ParseCertificateRequest(der)
	if err == nil {
		err = csr.CheckSignature()
	}
	if err != nil {
		return bad(http.StatusBadRequest, "badCSR", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.own(r, m)
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
		return bad(http.StatusBadRequest, "badCSR", "for %v, the order is for %v", names, want)
	}
	if o.status != "ready" {
		return bad(http.StatusForbidden, "orderNotReady", "the order is %s", o.status)
	}
	if same, err := x509.MarshalPKIXPublicKey(csr.PublicKey); err == nil {
		if own, err := x509.MarshalPKIXPublicKey(m.account.key.Key); err == nil && bytes.Equal(same, own) {
			return bad(http.StatusBadRequest, "badCSR", "for the account's own key")
		}
	}
	if o.chain, err = a.issue(o, csr, wrong(r)); err != nil {
		return err
	}
	o.status = "valid"
	w.Header().Set("Location", o.url)
	return reply(w, http.StatusOK, a.view(o))
}

func (a *Authority) showCert(w http.ResponseWriter, r *http.Request, m message) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.own(r, m)
	if err != nil || o.chain == nil {
		return bad(http.StatusNotFound, "malformed", "no certificate yet")
	}
	w.Header().Set("Content-Type", "application/pem-certificate-chain")
	_, err = w.Write(o.chain)
	return err
}

// revoke is section 7.6: by the account that ordered it, or by the certificate's own key.
func (a *Authority) revoke(w http.ResponseWriter, _ *http.Request, m message) error {
	var in struct{ Certificate string }
	if err := json.Unmarshal(m.payload, &in); err != nil {
		return bad(http.StatusBadRequest, "malformed", "%v", err)
	}
	der, err := base64.RawURLEncoding.DecodeString(in.Certificate)
	if err != nil {
		return bad(http.StatusBadRequest, "malformed", "%v", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return bad(http.StatusBadRequest, "malformed", "%v", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	has := a.issued[fmt.Sprintf("%x", cert.SerialNumber)]
	switch {
	case has == nil || !bytes.Equal(has.cert.Raw, der):
		return bad(http.StatusNotFound, "malformed", "not issued here")
	case has.revoked:
		return bad(http.StatusBadRequest, "alreadyRevoked", "it is revoked")
	case m.account != nil && m.account.url != has.owner, m.key != nil && !sameKey(*m.key, jose.JSONWebKey{Key: cert.PublicKey}):
		return bad(http.StatusForbidden, "unauthorized", "neither the account's nor the certificate's key")
	}
	has.revoked = true
	w.WriteHeader(http.StatusOK)
	return nil
}

// info is RFC 9773, section 4.2.
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
		if asked, ok := a.windows[serial]; ok {
			window = asked
		}
		w.Header().Set("Retry-After", "1")
		return reply(w, http.StatusOK, map[string]any{"suggestedWindow": map[string]any{
			"start": window[0].UTC().Format(time.RFC3339Nano), "end": window[1].UTC().Format(time.RFC3339Nano),
		}})
	}
	return bad(http.StatusNotFound, "malformed", "no such certificate")
}
