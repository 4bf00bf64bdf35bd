// Package manager serves certificates and renews them. Package plan decides when and at which authority; this package
// adds the clock, the network and the log.
package manager

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/order"
	"otterturn/internal/certs/plan"
)

// Certificate describes a certificate that the manager renews.
type Certificate struct {
	Name  string // in the folder, the log and the console
	Names []string
}

// Settings holds the operator's settings.
type Settings struct {
	Certificates []Certificate
	Authorities  []order.Authority
	Policy       plan.Policy // its authorities are in the same order as Authorities
	TryTimeout   time.Duration
	HTTP, ALPN   bool // whether HTTP-01 and TLS-ALPN-01 can be answered
	Log          *slog.Logger
}

// maxRecheckInterval is the longest time between two queries of a plan. The system clock may be set, or another process
// may renew the certificate.
const maxRecheckInterval = time.Minute

// Manager serves and renews certificates.
type Manager struct {
	settings Settings
	store    *certstore.Store
	clients  []*order.Client
	managed  []*managedCert
	tryMutex sync.Mutex // allows one try at a time, because authorities limit the requests of an account
	answers  answers
	files    atomic.Pointer[[]*tls.Certificate] // certificates from the operator's files
}

// managedCert is one certificate that is renewed, with its plan.
type managedCert struct {
	Certificate
	current atomic.Pointer[tls.Certificate]
	changed chan struct{} // capacity 1: signals that the plan has changed

	mu              sync.Mutex
	plan            *plan.Plan
	level           plan.Level
	infoRequestedAt time.Time // when renewal information was last requested
	tries           int
	renewals        int
}

// New returns a manager that serves the certificates in the store.
func New(settings Settings, store *certstore.Store) *Manager {
	m := &Manager{settings: settings, store: store}
	for _, a := range settings.Authorities {
		m.clients = append(m.clients, order.New(a, store))
	}
	for _, c := range settings.Certificates {
		k := &managedCert{Certificate: c, changed: make(chan struct{}, 1), plan: plan.New(settings.Policy, plan.Cert{}, rand.Float64())}
		if cert, err := store.Certificate(c.Name); err == nil {
			m.adopt(k, cert)
		} else if !errors.Is(err, fs.ErrNotExist) {
			settings.Log.Warn("a kept certificate can't be read", "certificate", c.Name, "error", err)
		}
		m.managed = append(m.managed, k)
	}
	return m
}

// adopt starts to serve a certificate and reports whether it did. It ignores the current certificate, one that doesn't
// cover the names, and one that expires earlier than the current certificate.
func (m *Manager) adopt(k *managedCert, cert *tls.Certificate) bool {
	leaf := cert.Leaf
	for _, n := range k.Names {
		if err := leaf.VerifyHostname(n); err != nil {
			m.settings.Log.Warn("a kept certificate is not used", "certificate", k.Name, "error", err)
			return false
		}
	}
	if previous := k.current.Load(); previous != nil && (leaf.Equal(previous.Leaf) || leaf.NotAfter.Before(previous.Leaf.NotAfter)) {
		return false
	}
	k.current.Store(cert)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.plan.ReplaceCert(plan.Cert{NotBefore: leaf.NotBefore, NotAfter: leaf.NotAfter}, rand.Float64())
	return true
}

// Run renews the certificates until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var all sync.WaitGroup
	for _, k := range m.managed {
		all.Go(func() { m.maintain(ctx, k) })
	}
	all.Wait()
}

// maintain renews one certificate until ctx ends.
func (m *Manager) maintain(ctx context.Context, k *managedCert) {
	for ctx.Err() == nil {
		now := time.Now()
		m.updateRenewalWindow(ctx, k, now)
		k.mu.Lock()
		next := k.plan.Next(now)
		k.mu.Unlock()
		m.logExpiryLevel(k, now)
		if next.At.After(now) {
			wait := time.NewTimer(min(next.At.Sub(now), k.recheckInterval()))
			select {
			case <-wait.C:
			case <-k.changed:
			case <-ctx.Done():
			}
			wait.Stop()
			continue
		}
		m.try(ctx, k, next)
	}
}

// recheckInterval returns the longest time to the next query of the plan. It is at most a twentieth of the certificate's
// lifetime, the interval at which renewal information is requested.
func (k *managedCert) recheckInterval() time.Duration {
	if c := k.current.Load(); c != nil {
		return min(maxRecheckInterval, c.Leaf.NotAfter.Sub(c.Leaf.NotBefore)/20)
	}
	return maxRecheckInterval
}

// try performs one try, unless another process has renewed the certificate in the meantime.
func (m *Manager) try(ctx context.Context, k *managedCert, next plan.Try) {
	m.tryMutex.Lock()
	defer m.tryMutex.Unlock()
	release, err := m.store.Lock()
	if stored, loadErr := m.store.Certificate(k.Name); loadErr == nil && m.adopt(k, stored) {
		if err == nil {
			release()
		}
		m.settings.Log.Info("another process renewed a certificate", "certificate", k.Name, "until", formatTime(stored.Leaf.NotAfter))
		return
	}
	var cert *tls.Certificate
	if err == nil {
		defer release()
		k.mu.Lock()
		k.plan.RecordTry(time.Now(), next)
		last, _ := k.plan.Last()
		k.tries++
		k.mu.Unlock()
		tryCtx, cancel := context.WithTimeout(ctx, m.settings.TryTimeout)
		cert, err = m.clients[next.Authority].Obtain(tryCtx, k.Name, k.Names, next.Challenge, m, last.Kind == plan.NoAccount)
		cancel()
		if ctx.Err() != nil && cert == nil {
			return // the program is stopping; the order stays stored
		}
	}
	o := order.Outcome(err)
	k.mu.Lock()
	k.plan.RecordOutcome(time.Now(), next, o)
	following := k.plan.Next(time.Now())
	k.mu.Unlock()
	authority := m.settings.Authorities[next.Authority].Name
	if err != nil {
		m.settings.Log.Warn("a certificate was not renewed", "certificate", k.Name, "authority", authority,
			"kind", o.Kind.String(), "error", err, "next_try", formatTime(following.At))
	}
	if cert != nil && m.adopt(k, cert) {
		k.mu.Lock()
		k.renewals++
		k.infoRequestedAt = time.Time{}
		k.mu.Unlock()
		m.settings.Log.Info("a certificate was renewed", "certificate", k.Name, "authority", authority,
			"serial", fmt.Sprintf("%x", cert.Leaf.SerialNumber), "until", formatTime(cert.Leaf.NotAfter))
	}
}

// updateRenewalWindow requests renewal information at intervals of a twentieth of the certificate's lifetime.
func (m *Manager) updateRenewalWindow(ctx context.Context, k *managedCert, now time.Time) {
	cert := k.current.Load()
	k.mu.Lock()
	due := cert != nil && now.Sub(k.infoRequestedAt) >= cert.Leaf.NotAfter.Sub(cert.Leaf.NotBefore)/20 && now.Before(k.plan.Due())
	if due {
		k.infoRequestedAt = now
	}
	k.mu.Unlock()
	if !due {
		return
	}
	requestCtx, cancel := context.WithTimeout(ctx, min(m.settings.TryTimeout, cert.Leaf.NotAfter.Sub(cert.Leaf.NotBefore)/20))
	defer cancel()
	if w, ok, err := m.clients[0].FetchRenewalWindow(requestCtx, cert.Leaf); ok && err == nil {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.plan.SetWindow(w)
	}
}

// logExpiryLevel logs an error each time the certificate reaches a worse level, once per level.
func (m *Manager) logExpiryLevel(k *managedCert, now time.Time) {
	k.mu.Lock()
	level, previous := k.plan.Level(now), k.level
	k.level = level
	expiry, last := k.plan.Cert().NotAfter, ""
	if o, at := k.plan.Last(); !at.IsZero() && o.Kind != plan.Obtained {
		last = o.Detail
	}
	k.mu.Unlock()
	if level <= previous || expiry.IsZero() {
		return
	}
	message := map[plan.Level]string{
		plan.Late:    "a certificate's renewal is late",
		plan.Close:   "a certificate is about to run out",
		plan.Expired: "a certificate has run out, and clients are turned away",
	}[level]
	m.settings.Log.Error(message, "certificate", k.Name, "until", formatTime(expiry), "last_try", last)
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
