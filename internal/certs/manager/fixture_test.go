package manager

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

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
