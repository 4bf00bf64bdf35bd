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

// This file is what operators see of certificates, and ask for.

// Status is what operators are told of a certificate.
type Status struct {
	Name, Serial    string
	Names           []string
	Until           time.Time // zero for none
	Next            plan.Try
	Authority       string // of the next try
	Last            plan.Outcome
	LastAt          time.Time
	Tries, Renewals int
}

// Status tells of each certificate.
func (m *Manager) Status() []Status {
	var out []Status
	for _, k := range m.kept {
		k.mu.Lock()
		s := Status{Name: k.Name, Names: k.Names, Next: k.plan.Next(time.Now()), Tries: k.tries, Renewals: k.renewals}
		s.Last, s.LastAt = k.plan.Last()
		k.mu.Unlock()
		s.Authority = m.set.Authorities[s.Next.Authority].Name
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

func (m *Manager) find(name string) (*kept, error) {
	for _, k := range m.kept {
		if k.Name == name {
			return k, nil
		}
	}
	return nil, fmt.Errorf("no certificate %q", name)
}

// Renew has a certificate renewed at once.
func (m *Manager) Renew(name string) error {
	k, err := m.find(name)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.plan.Want()
	k.mu.Unlock()
	select {
	case k.again <- struct{}{}:
	default:
	}
	return nil
}

// RollKey gives the account at an authority a new key.
func (m *Manager) RollKey(ctx context.Context, authority string) error {
	m.trying.Lock()
	defer m.trying.Unlock()
	i := slices.IndexFunc(m.set.Authorities, func(a order.Authority) bool { return a.Name == authority })
	if i < 0 {
		return fmt.Errorf("no authority %q", authority)
	}
	release, err := m.vault.Lock()
	if err != nil {
		return err
	}
	defer release()
	return m.clients[i].RollKey(ctx)
}

// Revoke has a certificate revoked by whichever authority issued it, and renewed at once.
func (m *Manager) Revoke(ctx context.Context, name string) error {
	k, err := m.find(name)
	if err != nil {
		return err
	}
	cert := k.current.Load()
	if cert == nil {
		return fmt.Errorf("certificate %s: there is none", name)
	}
	m.trying.Lock()
	var failed error
	for _, c := range m.clients {
		if err := c.Revoke(ctx, cert.Certificate[0]); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		failed = nil
		break
	}
	m.trying.Unlock()
	if failed != nil {
		return failed
	}
	m.set.Log.Info("a certificate is revoked", "certificate", name, "serial", fmt.Sprintf("%x", cert.Leaf.SerialNumber))
	return m.Renew(name)
}
