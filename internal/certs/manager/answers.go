package manager

import (
	"crypto/tls"
	"errors"
	"sync"

	"otterturn/internal/certs/order"
)

// answers holds the answers to the open challenges, which an authority may fetch.
type answers struct {
	mu    sync.Mutex
	texts map[[2]string]string        // by name and path
	certs map[string]*tls.Certificate // by name
}

func (a *answers) offer(c order.Challenge) (withdraw func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.texts == nil {
		a.texts, a.certs = map[[2]string]string{}, map[string]*tls.Certificate{}
	}
	at := [2]string{c.Name, c.Path}
	if c.Certificate != nil {
		a.certs[c.Name] = c.Certificate
	} else {
		a.texts[at] = c.Text
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.texts, at)
		if a.certs[c.Name] == c.Certificate {
			delete(a.certs, c.Name)
		}
	}
}

func (a *answers) text(name, path string) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.texts[[2]string{name, path}]
	return t, ok
}

func (a *answers) certificate(name string) (*tls.Certificate, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.certs[name]; c != nil {
		return c, nil
	}
	return nil, errors.New("no open TLS-ALPN-01 challenge for this name")
}
