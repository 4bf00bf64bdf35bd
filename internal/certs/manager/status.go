package manager

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"otterturn/internal/certs/order"
	"otterturn/internal/certs/plan"
)

// Status describes a certificate for operators.
type Status struct {
	Name, Serial    string
	Names           []string
	Until           time.Time // expiry, zero if there is no certificate
	Next            plan.Try
	Authority       string // for the next try
	Last            plan.Outcome
	LastAt          time.Time
	Tries, Renewals int
}

// Status returns the status of each certificate, those from the operator's files last.
func (m *Manager) Status() []Status {
	var out []Status
	for _, k := range m.managed {
		k.mu.Lock()
		s := Status{Name: k.Name, Names: k.Names, Next: k.plan.Next(time.Now()), Tries: k.tries, Renewals: k.renewals}
		s.Last, s.LastAt = k.plan.Last()
		k.mu.Unlock()
		s.Authority = m.settings.Authorities[s.Next.Authority].Name
		if c := k.current.Load(); c != nil {
			s.Serial, s.Until = fmt.Sprintf("%x", c.Leaf.SerialNumber), c.Leaf.NotAfter
		}
		out = append(out, s)
	}
	if files := m.files.Load(); files != nil {
		for _, c := range *files {
			out = append(out, Status{Name: "of a file", Serial: fmt.Sprintf("%x", c.Leaf.SerialNumber), Names: c.Leaf.DNSNames, Until: c.Leaf.NotAfter})
		}
	}
	return out
}

func (m *Manager) find(name string) (*managedCert, error) {
	for _, k := range m.managed {
		if k.Name == name {
			return k, nil
		}
	}
	return nil, fmt.Errorf("no certificate %q", name)
}

// Renew requests immediate renewal of a certificate.
func (m *Manager) Renew(name string) error {
	k, err := m.find(name)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.plan.RequestRenewal()
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
	return nil
}

// RollKey replaces the key of the account at an authority.
func (m *Manager) RollKey(ctx context.Context, authority string) error {
	m.tryMutex.Lock()
	defer m.tryMutex.Unlock()
	i := slices.IndexFunc(m.settings.Authorities, func(a order.Authority) bool { return a.Name == authority })
	if i < 0 {
		return fmt.Errorf("no authority %q", authority)
	}
	release, err := m.store.Lock()
	if err != nil {
		return err
	}
	defer release()
	return m.clients[i].RollKey(ctx)
}

// Revoke asks each authority in turn to revoke a certificate until one does, and requests immediate renewal.
func (m *Manager) Revoke(ctx context.Context, name string) error {
	k, err := m.find(name)
	if err != nil {
		return err
	}
	cert := k.current.Load()
	if cert == nil {
		return fmt.Errorf("certificate %s: there is none", name)
	}
	m.tryMutex.Lock()
	var revokeErr error
	for _, c := range m.clients {
		if err := c.Revoke(ctx, cert.Certificate[0]); err != nil {
			revokeErr = errors.Join(revokeErr, err)
			continue
		}
		revokeErr = nil
		break
	}
	m.tryMutex.Unlock()
	if revokeErr != nil {
		return revokeErr
	}
	m.settings.Log.Info("a certificate is revoked", "certificate", name, "serial", fmt.Sprintf("%x", cert.Leaf.SerialNumber))
	return m.Renew(name)
}
