package manager

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/crypto/acme"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/order"
	"otterturn/internal/certs/plan"
	"otterturn/internal/lab/authority"
	"otterturn/internal/testsupport"
)

// fixture holds a certificate folder, authorities, and the front's ports for HTTP-01 and TLS-ALPN-01.
type fixture struct {
	t           *testing.T
	folder      string
	authorities []*authority.Authority
	settings    Settings
	mu          sync.Mutex
	current     *Manager // answers challenges on the ports
	log         []string
}

func newFixture(t *testing.T, authoritySettings ...authority.Settings) *fixture {
	t.Helper()
	s := &fixture{t: t, folder: filepath.Join(t.TempDir(), "acme")}
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.manager().HTTP().ServeHTTP(w, r) }))
	t.Cleanup(web.Close)
	l := testsupport.Listen(t)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				tls.Server(c, s.manager().TLS()).Handshake()
			}()
		}
	}()
	s.settings = Settings{
		Certificates: []Certificate{{"files", []string{"files.example", "search.example"}}}, HTTP: true, ALPN: true,
		Policy: plan.Policy{MinSpacing: 10 * time.Millisecond, MaxSpacing: 50 * time.Millisecond}, TryTimeout: 2 * time.Second,
		Log: testsupport.Log(func(line string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.log = append(s.log, line)
		}),
	}
	for i, a := range authoritySettings {
		a.HTTP, a.TLS = web.Listener.Addr().String(), l.Addr().String()
		if a.Lifetime == 0 {
			a.Lifetime = time.Hour
		}
		ca, err := authority.Start(a)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ca.Close)
		s.authorities = append(s.authorities, ca)
		roots := x509.NewCertPool()
		roots.AppendCertsFromPEM(ca.ServerRoots())
		name := string(rune('a' + i))
		s.settings.Authorities = append(s.settings.Authorities, order.Authority{Name: name, Directory: ca.Directory(), Roots: roots})
		s.settings.Policy.Authorities = append(s.settings.Policy.Authorities, plan.Authority{Name: name})
	}
	return s
}

func (s *fixture) manager() *Manager {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// start starts a manager as a new process would. end stops it, at any time.
func (s *fixture) start() (m *Manager, end func()) {
	s.t.Helper()
	store, err := certstore.Open(s.folder)
	if err != nil {
		s.t.Fatal(err)
	}
	m = New(s.settings, store)
	s.mu.Lock()
	s.current = m
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		m.Run(ctx)
	}()
	stop := sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	s.t.Cleanup(stop)
	return m, stop
}

func (s *fixture) waitForCertificate(m *Manager) *tls.Certificate {
	s.t.Helper()
	var cert *tls.Certificate
	testsupport.WaitFor(s.t, "the certificate", func() bool {
		var err error
		cert, err = m.Certificate(&tls.ClientHelloInfo{ServerName: "search.example"})
		return err == nil
	})
	return cert
}

// At each step of an order the authority fails twice in one way: it refuses or cuts connections, rejects, limits or
// stalls requests, or answers wrongly. Then it recovers. The certificate must be issued for both names, with one account.
func TestAuthorityFailsAtEachStep(t *testing.T) {
	for _, step := range []string{"directory", "nonce", "account", "order", "authz", "challenge", "finalize", "cert"} {
		for _, do := range []string{
			"refuse", "reject", "limit", "cut", "nonsense", "stall", "nonces", "forget", "invalid", "wrong key",
			"wrong names", "wrong time",
		} {
			if strings.HasPrefix(do, "wrong") && step != "finalize" || do == "invalid" && step != "order" ||
				(do == "nonces" || do == "forget") && step != "order" && step != "finalize" {
				continue
			}
			t.Run(step+" "+do, func(t *testing.T) {
				t.Parallel()
				faults := &authority.Faults{}
				faults.Set(authority.Fault{Step: step, Do: do, Times: 2})
				s := newFixture(t, authority.Settings{Faults: faults})
				s.settings.TryTimeout = time.Second
				m, _ := s.start()
				cert := s.waitForCertificate(m)
				if err := cert.Leaf.VerifyHostname("files.example"); err != nil {
					t.Error(err)
				}
				if n := s.authorities[0].Counts(); n.Accounts != 1 {
					t.Errorf("counted %+v, want one account", n)
				}
				if st := m.Status()[0]; st.Renewals != 1 {
					t.Errorf("status %+v, want one renewal", st)
				}
			})
		}
	}
}

func TestEachChallengeType(t *testing.T) {
	for _, c := range []struct{ http, alpn bool }{{true, false}, {false, true}} {
		s := newFixture(t, authority.Settings{})
		s.settings.HTTP, s.settings.ALPN = c.http, c.alpn
		m, _ := s.start()
		s.waitForCertificate(m)
	}
	s := newFixture(t, authority.Settings{ValidationTimeout: 200 * time.Millisecond})
	s.settings.HTTP, s.settings.ALPN = false, false
	m, _ := s.start()
	testsupport.WaitFor(t, "a failed try", func() bool {
		return strings.Contains(m.Status()[0].Last.Detail, "http-01 is not set up")
	})
}

func TestExternalAccountBinding(t *testing.T) {
	s := newFixture(t, authority.Settings{Bindings: map[string][]byte{"customer": []byte("a key of the customer's account, of 32 bytes at least")}})
	m, end := s.start()
	testsupport.WaitFor(t, "a failed try", func() bool {
		return strings.Contains(m.Status()[0].Last.Detail, "externalAccountRequired")
	})
	end()
	s.settings.Authorities[0].BindingID, s.settings.Authorities[0].BindingKey = "customer", []byte("a key of the customer's account, of 32 bytes at least")
	m, _ = s.start()
	s.waitForCertificate(m)
}

func TestSecondAuthorityAsAFallback(t *testing.T) {
	down := &authority.Faults{}
	down.Set(authority.Fault{Do: "refuse"})
	s := newFixture(t, authority.Settings{Faults: down}, authority.Settings{})
	m, _ := s.start()
	s.waitForCertificate(m)
	if a, b := s.authorities[0].Counts(), s.authorities[1].Counts(); a.Issued != 0 || b.Issued != 1 {
		t.Errorf("the authorities issued %+v and %+v, want 0 and 1 certificates", a, b)
	}
}

// The process ends in the middle of an order. The next process must resume the order with the same account.
func TestNextProcessResumesOrder(t *testing.T) {
	for _, step := range []string{"authz", "finalize", "cert"} {
		faults := &authority.Faults{}
		faults.Set(authority.Fault{Step: step, Do: "stall", Times: 1})
		s := newFixture(t, authority.Settings{Faults: faults})
		_, end := s.start()
		testsupport.WaitFor(t, "the step at which the process ends", func() bool { return faults.Count() == 1 })
		end()
		m, _ := s.start()
		s.waitForCertificate(m)
		if n := s.authorities[0].Counts(); n.Accounts != 1 || n.Orders != 1 {
			t.Errorf("process ended at step %s: %+v, want one account and one order", step, n)
		}
	}
}

// The folder is missing, so the order's key can't be written. The manager must not place an order whose result it could
// not store.
func TestNoOrderUnlessKeyIsStored(t *testing.T) {
	s := newFixture(t, authority.Settings{})
	store, err := certstore.Open(s.folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(s.folder); err != nil {
		t.Fatal(err)
	}
	m := New(s.settings, store)
	s.mu.Lock()
	s.current = m
	s.mu.Unlock()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	go m.Run(ctx)
	testsupport.WaitFor(t, "a failed try", func() bool { _, at := m.managed[0].last(); return !at.IsZero() })
	if n := s.authorities[0].Counts(); n.Orders+n.Accounts != 0 {
		t.Errorf("counted %+v, want no orders and no accounts", n)
	}
	if err := os.Mkdir(s.folder, 0o700); err != nil {
		t.Fatal(err)
	}
	s.waitForCertificate(m)
}

func (k *managedCert) last() (plan.Outcome, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.plan.Last()
}

// Two processes share one folder: only one of them places an order, both serve the certificate.
func TestTwoProcessesOnOneFolder(t *testing.T) {
	s := newFixture(t, authority.Settings{})
	faults := s.authorities[0].Faults
	faults.Set(authority.Fault{Step: "finalize", Do: "stall", For: 200 * time.Millisecond})
	first, _ := s.start()
	testsupport.WaitFor(t, "the order", func() bool { return s.authorities[0].Counts().Orders > 0 })
	store, err := certstore.Open(s.folder)
	if err != nil {
		t.Fatal(err)
	}
	second := New(s.settings, store) // the ports lead to the first process
	ctx, end := context.WithCancel(t.Context())
	defer end()
	go second.Run(ctx)
	a, b := s.waitForCertificate(first), s.waitForCertificate(second)
	if !a.Leaf.Equal(b.Leaf) {
		t.Error("the processes serve different certificates")
	}
	if n := s.authorities[0].Counts(); n.Issued != 1 || n.Accounts != 1 {
		t.Errorf("counted %+v, want one certificate and one account", n)
	}
}

// An expired certificate must not be served, even without a replacement. A damaged one is renamed and a new one ordered.
func TestExpiredAndDamagedCertificatesAreNotServed(t *testing.T) {
	faults := &authority.Faults{}
	s := newFixture(t, authority.Settings{Lifetime: 2 * time.Second, Faults: faults})
	m, end := s.start()
	cert := s.waitForCertificate(m)
	faults.Set(authority.Fault{Do: "refuse"})
	for time.Now().Before(cert.Leaf.NotAfter) {
		if c, err := m.Certificate(&tls.ClientHelloInfo{}); err != nil && time.Now().Before(cert.Leaf.NotAfter) {
			t.Fatalf("before the expiry: %v, %v", c, err)
		}
		time.Sleep(time.Millisecond)
	}
	testsupport.WaitFor(t, "the expiry", func() bool { return time.Now().After(cert.Leaf.NotAfter) })
	if c, err := m.Certificate(&tls.ClientHelloInfo{ServerName: "files.example"}); !errors.Is(err, errNoCertificate) {
		t.Errorf("after the expiry: %v, %v, want no certificate", c, err)
	}
	if _, err := m.Certificate(&tls.ClientHelloInfo{ServerName: "files.example", SupportedProtos: []string{acme.ALPNProto}}); err == nil {
		t.Error("a TLS-ALPN-01 challenge that was not offered was answered")
	}
	end()
	name := filepath.Join(s.folder, "certificate-files.pem")
	if err := os.WriteFile(name, []byte("-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	faults.Set()
	m, _ = s.start()
	s.waitForCertificate(m)
	if aside, _ := filepath.Glob(name + ".aside.*"); len(aside) != 1 {
		t.Errorf("damaged files that were renamed: %v, want one", aside)
	}
}

func TestRenewalWindowIsFollowed(t *testing.T) {
	s := newFixture(t, authority.Settings{Lifetime: 20 * time.Second, OffersRenewalInfo: true})
	m, _ := s.start()
	first := s.waitForCertificate(m)
	s.authorities[0].SuggestRenewalWindow(time.Now().Add(-2*time.Second), time.Now().Add(-time.Second))
	testsupport.WaitFor(t, "the renewal that the authority asked for", func() bool { return !s.waitForCertificate(m).Leaf.Equal(first.Leaf) })
	if left := time.Until(first.Leaf.NotAfter); left < 10*time.Second {
		t.Errorf("renewed with %v left, want renewal at the authority's request before a third of the lifetime is left", left)
	}
}

// The process is killed after the authority has accepted the account's new key and before the key is saved as the
// account's. The next process must use the new key and not register a second account.
func TestKillDuringKeyRollover(t *testing.T) {
	s := newFixture(t, authority.Settings{})
	m, end := s.start()
	s.waitForCertificate(m)
	name := filepath.Join(s.folder, "account-a.pem")
	old, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.RollKey(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	end()
	if err := os.WriteFile(name, old, 0o600); err != nil {
		t.Fatal(err)
	}
	m, _ = s.start()
	if err := m.Renew("files"); err != nil {
		t.Fatal(err)
	}
	testsupport.WaitFor(t, "the renewal", func() bool { return m.Status()[0].Renewals == 1 })
	if n := s.authorities[0].Counts(); n.Accounts != 1 || n.Issued != 2 {
		t.Errorf("counted %+v, want one account", n)
	}
}

func TestOperatorFiles(t *testing.T) {
	s := newFixture(t, authority.Settings{})
	m, _ := s.start()
	s.waitForCertificate(m)
	name := filepath.Join(s.folder, "certificate-files.pem")
	if err := m.LoadFiles([]File{{name, name}}); err != nil {
		t.Errorf("a file with certificate and key: %v", err)
	}
	if n := len(m.Status()); n != 2 {
		t.Errorf("%d certificates in the status, want 2", n)
	}
	if err := m.LoadFiles([]File{{name, filepath.Join(s.folder, "account-a.pem")}}); err == nil {
		t.Error("a key that does not match the certificate was accepted")
	}
	if n := len(*m.files.Load()); n != 1 {
		t.Errorf("%d certificates after a failed load, want the previous one", n)
	}
	if info, err := os.Stat(name); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v, want 0600", info.Mode(), err)
	}
	os.Chmod(s.folder, 0o755)
	if _, err := certstore.Open(s.folder); err == nil || !strings.Contains(err.Error(), "chmod 700") {
		t.Errorf("a folder that other users can read: %v", err)
	}
}
