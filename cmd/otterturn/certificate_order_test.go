package main

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"otterturn/internal/lab/authority"
	"otterturn/internal/testsupport"
)

// Signals arrive during a certificate order. SIGHUP does not affect the order, SIGTERM ends the program at once, and after SIGKILL
// the next start continues the order: one account, one order and one certificate in total.
func TestSignalsDuringCertificateOrder(t *testing.T) {
	challenge, httpAddr, faults := freeAddr(t), freeAddr(t), &authority.Faults{}
	stall := authority.Fault{Step: "finalize", Do: "stall"}
	faults.Set(stall)
	ca := startAuthority(t, authority.Settings{HTTP: challenge, Lifetime: 1 << 40, Faults: faults})
	dir := t.TempDir()
	text := fmt.Sprintf(operatorFile, freeAddr(t), httpAddr, ca.Directory(), writeTemp(t, "roots.pem", string(ca.ServerRoots())),
		filepath.Join(dir, "acme"), challenge, filepath.Join(dir, "console.sock"), testsupport.NewFileServer(t).Addr,
		httpPeer(t, func(*http.Request) string { return "x" }))
	text = strings.Replace(text, `try = "20s"`, `try = "1s"`, 1)
	config := writeTemp(t, "appliance.toml", text)
	stalled := 0
	startUntilStalled := func() *process {
		p := start(t, nil, "serve", "--config", config)
		testsupport.WaitFor(t, "the stalled step of the order", func() bool { return faults.Count() > stalled })
		stalled = faults.Count()
		return p
	}
	p := startUntilStalled()
	p.Process.Signal(syscall.SIGHUP)
	p.stop(t)
	p = startUntilStalled()
	p.Process.Signal(syscall.SIGKILL)
	testsupport.Await(t, "the exit of the program", p.done)
	p = startUntilStalled()
	faults.Set()
	testsupport.WaitFor(t, "the certificate", func() bool {
		c, err := tls.Dial("tcp", httpAddr, &tls.Config{RootCAs: ca.Roots(), ServerName: "search.example"})
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	if n := ca.Counts(); n.Accounts != 1 || n.Orders != 1 || n.Issued != 1 {
		t.Errorf("the authority counted %+v, want one of each", n)
	}

	// The running appliance uses the challenge port: a second appliance fails with an error that names the field.
	other := strings.NewReplacer(httpAddr, freeAddr(t), "console.sock", "other.sock").Replace(text)
	second := start(t, nil, "serve", "--config", writeTemp(t, "other.toml", other))
	if err := testsupport.Await(t, "the exit of the second process", second.done); err == nil ||
		!strings.Contains(second.output.String(), "acme.challenge: ") {
		t.Errorf("second process: error %v, output %q", err, second.output)
	}

	// SIGHUP loads a certificate file that the operator provides; an invalid one changes nothing.
	certificate, key := filepath.Join(dir, "acme", "certificate-files.pem"), filepath.Join(dir, "acme", "account-main.pem")
	for _, c := range []struct{ key, want string }{{key, "reload of certificates failed, certificates unchanged"}, {certificate, ""}} {
		changed := text + fmt.Sprintf("[[certificates]]\ncert = %q\nkey = %q\n", certificate, c.key)
		if err := os.WriteFile(config, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		p.Process.Signal(syscall.SIGHUP)
		testsupport.WaitFor(t, "the reload", func() bool {
			if c.want != "" {
				return strings.Contains(p.output.String(), c.want)
			}
			shown := start(t, nil, "console", "--config", config, "certificate")
			testsupport.Await(t, "the console", shown.done)
			return strings.Contains(shown.output.String(), "of a file for ")
		})
	}
	p.stop(t)
}
