package manager

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/plan"
	"otterturn/internal/lab/authority"
	"otterturn/internal/testsupport"
)

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
