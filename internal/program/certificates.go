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

	"otterturn/internal/certs/certstore"
	"otterturn/internal/certs/manager"
	"otterturn/internal/certs/order"
	"otterturn/internal/certs/plan"
	"otterturn/internal/net/accept"
	"otterturn/internal/net/headfilter"
	"otterturn/internal/net/idleconns"
	"otterturn/internal/net/transport"
)

// authorityTimeout is the timeout of a console command that talks to a certificate authority.
const authorityTimeout = 30 * time.Second

// startCertificates loads the certificates and starts their renewal if authorities are configured.
func (a *Appliance) startCertificates(ctx context.Context) error {
	config := a.operator
	if !config.usesTLS() {
		return nil
	}
	settings := manager.Settings{
		TryTimeout: config.ACME.Try, HTTP: config.ACME.Challenge != "", ALPN: config.HTTP.TLS, Log: a.log,
		Policy: plan.Policy{RenewBefore: config.ACME.RenewBefore, MinSpacing: config.ACME.Least, MaxSpacing: config.ACME.Most},
	}
	for _, c := range config.ACME.Certificates {
		settings.Certificates = append(settings.Certificates, manager.Certificate{Name: c.Name, Names: c.Names})
	}
	for i, authority := range config.ACME.Authorities {
		converted, err := authority.orderAuthority()
		if err != nil {
			return fmt.Errorf("acme.authorities[%d]%w", i, err)
		}
		settings.Authorities = append(settings.Authorities, converted)
		settings.Policy.Authorities = append(settings.Policy.Authorities, plan.Authority{
			Name: authority.Name, Tries: authority.Tries, Window: authority.Window,
		})
	}
	var store *certstore.Store
	if len(settings.Certificates) > 0 {
		var err error
		if store, err = certstore.Open(config.ACME.Folder); err != nil {
			return fmt.Errorf("acme.folder: %w", err)
		}
	}
	a.certs = manager.New(settings, store)
	if err := a.certs.LoadFiles(providedFiles(config)); err != nil {
		return fmt.Errorf("certificates: %w", err)
	}
	if settings.HTTP {
		if err := a.serveChallenges(config.ACME.Challenge); err != nil {
			return err
		}
	}
	go a.certs.Run(ctx)
	return nil
}

// challengeFields are the fields of a certificate authority's request that net/http uses.
var challengeFields = headfilter.NewFields("Host", "Connection", "Content-Length", "Transfer-Encoding")

// serveChallenges answers the requests of certificate authorities, one on each connection.
func (a *Appliance) serveChallenges(address string) error {
	bounds := a.limits
	server := &http.Server{
		Handler: a.certs.HTTP(), ReadTimeout: bounds.Clients.ChallengeTimeout, WriteTimeout: bounds.Clients.WriteTimeout,
		MaxHeaderBytes: bounds.Requests.HeaderBytes, ErrorLog: discardLog, ConnState: idleconns.New(bounds.Clients.ChallengeConns).Track,
	}
	server.SetKeepAlivesEnabled(false)
	serve := func(l net.Listener) error {
		filtered := headfilter.Listener{
			Listener: accept.New(l, bounds.AcceptRetry, nil), Used: challengeFields,
			Limits: headfilter.Limits{Bytes: bounds.Requests.HeaderBytes, Fields: bounds.Requests.HeaderFields},
		}
		if err := server.Serve(filtered); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
	return a.serve("acme.challenge", address, serve, func(net.Listener) { server.Close() })
}

// orderAuthority converts the settings for the ACME client. Its error names the field.
func (x Authority) orderAuthority() (order.Authority, error) {
	out := order.Authority{Name: x.Name, Directory: x.Directory, Email: x.Email, BindingID: x.BindingID}
	var err error
	if out.BindingKey, err = base64.RawURLEncoding.DecodeString(strings.TrimRight(x.BindingKey, "=")); err != nil {
		return out, fmt.Errorf(".binding_key: %w", err)
	}
	if x.Roots == "" {
		return out, nil
	}
	pemData, err := os.ReadFile(x.Roots)
	if err != nil {
		return out, fmt.Errorf(".roots: %w", err)
	}
	out.Roots = x509.NewCertPool()
	if !out.Roots.AppendCertsFromPEM(pemData) {
		return out, fmt.Errorf(".roots: %s contains no certificate", x.Roots)
	}
	return out, nil
}

func providedFiles(o Operator) []manager.File {
	var out []manager.File
	for _, f := range o.Certificates {
		out = append(out, manager.File{Cert: f.Cert, Key: f.Key})
	}
	return out
}

// withTLS makes a server run on TLS connections if its front has TLS enabled.
func (a *Appliance) withTLS(on bool, run func(net.Listener) error) func(net.Listener) error {
	if !on {
		return run
	}
	return func(l net.Listener) error { return run(transport.NewHandshakeListener(l, a.certs.TLS(), a.limits)) }
}

// describeCertificates describes each certificate in a line.
func (a *Appliance) describeCertificates() (string, error) {
	if a.certs == nil {
		return "", errNoTLS
	}
	var out strings.Builder
	for _, status := range a.certs.Status() {
		fmt.Fprintf(&out, "%s for %s", status.Name, strings.Join(status.Names, ", "))
		if status.Until.IsZero() {
			out.WriteString(", none yet")
		} else {
			fmt.Fprintf(&out, ", serial %s until %s (%v left)",
				status.Serial, status.Until.UTC().Format(time.RFC3339), time.Until(status.Until).Round(time.Second))
		}
		if status.Authority != "" {
			fmt.Fprintf(&out, "; next try %s by %s, %s", status.Next.At.UTC().Format(time.RFC3339), status.Authority, status.Next.Why)
		}
		if status.Last.Detail != "" {
			fmt.Fprintf(&out, "; last error %s: %s", status.LastAt.UTC().Format(time.RFC3339), status.Last.Detail)
		}
		out.WriteString("\n")
	}
	return out.String(), nil
}

// errNoTLS is the error of certificate commands where no front has TLS.
var errNoTLS = errors.New("certificates are not in use: neither http.tls nor sftp.tls is set")

// runCertificateCommand carries out the console commands renew, revoke and rollkey.
func (a *Appliance) runCertificateCommand(command, name string) error {
	if a.certs == nil {
		return errNoTLS
	}
	ctx, cancel := context.WithTimeout(context.Background(), authorityTimeout)
	defer cancel()
	switch command {
	case "renew":
		return a.certs.Renew(name)
	case "revoke":
		return a.certs.Revoke(ctx, name)
	}
	return a.certs.RollKey(ctx, name)
}
