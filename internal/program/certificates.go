package program

import (
	"context"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"otterturn/internal/certs/manager"
	"otterturn/internal/certs/order"
	"otterturn/internal/certs/plan"
	"otterturn/internal/certs/vault"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/transport"
)

// operatorWait is the timeout of a console command that talks to a certificate authority.
const operatorWait = 30 * time.Second

// startCertificates loads the certificates and starts their renewal if authorities are configured.
func (a *Appliance) startCertificates(ctx context.Context) error {
	o := a.operator
	if !o.secured() {
		return nil
	}
	set := manager.Settings{
		Try: o.ACME.Try, HTTP: o.ACME.Challenge != "", ALPN: o.HTTP.TLS, Log: a.log,
		Policy: plan.Policy{Before: o.ACME.RenewBefore, Least: o.ACME.Least, Most: o.ACME.Most},
	}
	for _, c := range o.ACME.Certificates {
		set.Certificates = append(set.Certificates, manager.Certificate{Name: c.Name, Names: c.Names})
	}
	for i, x := range o.ACME.Authorities {
		one, err := x.authority()
		if err != nil {
			return fmt.Errorf("acme.authorities[%d]%w", i, err)
		}
		set.Authorities = append(set.Authorities, one)
		set.Policy.Authorities = append(set.Policy.Authorities, plan.Authority{Name: x.Name, Tries: x.Tries, Window: x.Window})
	}
	var v *vault.Vault
	if len(set.Certificates) > 0 {
		var err error
		if v, err = vault.Open(o.ACME.Folder); err != nil {
			return fmt.Errorf("acme.folder: %w", err)
		}
	}
	a.certs = manager.New(set, v)
	if err := a.certs.Load(brought(o)); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	if set.HTTP {
		answers := &http.Server{
			Handler: a.certs.HTTP(), ReadTimeout: a.limits.Clients.ChallengeTimeout, WriteTimeout: a.limits.Clients.WriteTimeout,
			IdleTimeout: a.limits.Clients.IdleTimeout, MaxHeaderBytes: a.limits.Requests.HeaderBytes, ErrorLog: quiet,
		}
		serve := func(l net.Listener) error {
			if err := answers.Serve(accept.New(l, a.limits.AcceptRetry, nil)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}
		if err := a.serve("acme.challenge", o.ACME.Challenge, serve, func(net.Listener) { answers.Close() }); err != nil {
			return err
		}
	}
	go a.certs.Run(ctx)
	return nil
}

// authority converts the settings for the ACME client. Its error names the field.
func (x Authority) authority() (order.Authority, error) {
	out := order.Authority{Name: x.Name, Directory: x.Directory, Email: x.Email, BindingID: x.BindingID}
	var err error
	if out.BindingKey, err = base64.RawURLEncoding.DecodeString(strings.TrimRight(x.BindingKey, "=")); err != nil {
		return out, fmt.Errorf(".binding_key: %w", err)
	}
	if x.Roots == "" {
		return out, nil
	}
	text, err := os.ReadFile(x.Roots)
	if err != nil {
		return out, fmt.Errorf(".roots: %w", err)
	}
	out.Roots = x509.NewCertPool()
	if !out.Roots.AppendCertsFromPEM(text) {
		return out, fmt.Errorf(".roots: %s contains no certificate", x.Roots)
	}
	return out, nil
}

func brought(o Operator) []manager.File {
	var out []manager.File
	for _, f := range o.Certificates {
		out = append(out, manager.File{Cert: f.Cert, Key: f.Key})
	}
	return out
}

// secure makes a server run on TLS connections if its front has TLS enabled.
func (a *Appliance) secure(on bool, run func(net.Listener) error) func(net.Listener) error {
	if !on {
		return run
	}
	return func(l net.Listener) error { return run(transport.NewHandshakes(l, a.certs.TLS(), a.limits)) }
}

// certificates describes each certificate in a line.
func (a *Appliance) certificates() (string, error) {
	if a.certs == nil {
		return "", errNoTLS
	}
	var out strings.Builder
	for _, s := range a.certs.Status() {
		fmt.Fprintf(&out, "%s for %s", s.Name, strings.Join(s.Names, ", "))
		if s.Until.IsZero() {
			out.WriteString(", none yet")
		} else {
			fmt.Fprintf(&out, ", serial %s until %s (%v left)", s.Serial, s.Until.UTC().Format(time.RFC3339), time.Until(s.Until).Round(time.Second))
		}
		if s.Authority != "" {
			fmt.Fprintf(&out, "; next try %s by %s, %s", s.Next.At.UTC().Format(time.RFC3339), s.Authority, s.Next.Why)
		}
		if s.Last.Detail != "" {
			fmt.Fprintf(&out, "; last error %s: %s", s.LastAt.UTC().Format(time.RFC3339), s.Last.Detail)
		}
		out.WriteString("\n")
	}
	return out.String(), nil
}

// errNoTLS is the error of certificate commands where no front has TLS.
var errNoTLS = errors.New("certificates are not in use: neither http.tls nor sftp.tls is set")

// certificateCommand carries out the console commands renew, revoke and rollkey.
func (a *Appliance) certificateCommand(word, name string) error {
	if a.certs == nil {
		return errNoTLS
	}
	ctx, end := context.WithTimeout(context.Background(), operatorWait)
	defer end()
	switch word {
	case "renew":
		return a.certs.Renew(name)
	case "revoke":
		return a.certs.Revoke(ctx, name)
	}
	return a.certs.RollKey(ctx, name)
}
