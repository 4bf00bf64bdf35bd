package main

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/lab/authority"
	"otterturn/internal/testsupport"
)

const operatorFile = `
[limits]
memory_mb = 192
sockets = 1024
open = 64
tries = 4
connect = "2s"
node_idle = "15s"
retry_after = "2s"
[sftp]
listen = %[1]q
unit_bytes = 16384
bulk_bytes = 32768
[http]
listen = %[2]q
tls = true
[acme]
folder = %[5]q
challenge = %[6]q
try = "20s"
least = "1s"
most = "1h"
[[acme.authorities]]
name = "main"
directory = %[3]q
roots = %[4]q
[[acme.certificates]]
name = "files"
names = ["files.example", "search.example"]
[console]
socket = %[7]q
[[nodes]]
name = "node-a"
sftp = %[8]q
http = %[9]q
shard = 0
` + plans

// filesOnly configures an appliance that has only the SFTP front.
const filesOnly = `
[limits]
memory_mb = 192
sockets = 1024
open = 256
tries = 4
connect = "2s"
node_idle = "15s"
retry_after = "2s"
[sftp]
listen = %[1]q
unit_bytes = 16384
bulk_bytes = 32768
[console]
socket = %[2]q
[[nodes]]
name = "node-a"
sftp = %[3]q
shard = 0
` + plans

const plans = `
[classes.read]
within = "300ms"
wait = "5s"
worth = 2.0
[classes.write]
within = "400ms"
wait = "5s"
worth = 2.0
repeat = "keyed"
window = "3s"
[classes.bulk-read]
within = "2s"
wait = "6s"
worth = 1.0
[[plans]]
name = "gold"
weight = 1.0
[[projects]]
name = "riverside"
prefix = "/riverside"
plan = "gold"
shard = 0
`

// Runs an appliance from start to shutdown: obtaining, renewing and revoking a certificate, SFTP, HTTP over TLS, console commands and
// reload.
func TestApplianceEndToEnd(t *testing.T) {
	challenge := freeAddr(t)
	ca := startAuthority(t, authority.Settings{Lifetime: 90 * 24 * time.Hour, HTTP: challenge})
	files := testsupport.NewFileServer(t)
	node := httpPeer(t, func(*http.Request) string { return "index data" })
	dir := t.TempDir()
	sftpAddr, httpAddr := freeAddr(t), freeAddr(t)
	config := writeTemp(t, "appliance.toml", fmt.Sprintf(operatorFile, sftpAddr, httpAddr, ca.Directory(),
		writeTemp(t, "roots.pem", string(ca.ServerRoots())), filepath.Join(dir, "acme"), challenge,
		filepath.Join(dir, "console.sock"), files.Addr, node))
	p := start(t, nil, "serve", "--config", config)
	console := func(command ...string) (string, error) {
		c := start(t, nil, append([]string{"console", "--config", config}, command...)...)
		err := testsupport.Await(t, "the exit of the console", c.done)
		return c.output.String(), err
	}
	testsupport.WaitFor(t, "the console to answer", func() bool { _, err := console("status"); return err == nil })

	testsupport.WaitFor(t, "the certificate", func() bool {
		text, err := console("certificate")
		return err == nil && strings.Contains(text, "files for files.example, search.example, serial 65 until ")
	})
	if text, err := console("renew", "files"); err != nil {
		t.Errorf("renew: %q, %v", text, err)
	}
	testsupport.WaitFor(t, "the renewed certificate", func() bool {
		text, err := console("certificate")
		return err == nil && strings.Contains(text, "serial 66 until ")
	})
	if text, err := console("rollkey", "main"); err != nil {
		t.Errorf("rollkey: %q, %v", text, err)
	}
	if text, err := console("revoke", "files"); err != nil {
		t.Errorf("revoke: %q, %v", text, err)
	}
	testsupport.WaitFor(t, "the replacement of the revoked certificate", func() bool {
		text, err := console("certificate")
		return err == nil && strings.Contains(text, "serial 67 until ")
	})
	if n := ca.Counts(); n.Accounts != 1 || n.Issued != 3 || n.Revoked != 1 {
		t.Errorf("the authority counted %+v, want 1 account, 3 issued and 1 revoked", n)
	}
	client := &http.Client{Timeout: testsupport.WaitTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{
		RootCAs: ca.Roots(), ServerName: "files.example",
	}}}
	r, err := http.NewRequest(http.MethodGet, "https://"+httpAddr+"/read/00000000000000aa/00000000000000bb", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{
		"X-Correlation-Id": "id", "X-Service-Class": "read", "X-Plan": "gold",
		"X-Time-Left": "4000m", "X-IO": "units=1,shard=0,hosts=1",
	} {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || string(body) != "index data" {
		t.Errorf("request over TLS: status %d, body %q, error %v", resp.StatusCode, body, err)
	}

	conn, err := net.Dial("tcp", sftpAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	session, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		t.Fatal(err)
	}
	if err := session.Mkdir("/riverside"); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		command []string
		want    string
		fails   bool
	}{
		{[]string{"help"}, "undrain NODE", false},
		{[]string{"nodes"}, "node-a shard 0 running", false},
		{[]string{"projects"}, "riverside /riverside plan gold shard 0 served 1 refused 0 failed 0", false},
		{[]string{"drain", "node-a"}, "", false},
		{[]string{"nodes"}, "node-a shard 0 draining", false},
		{[]string{"drain", "node-z"}, `error: no node "node-z"`, true},
		{[]string{"drain"}, "drain NODE", true},
		{[]string{"reboot"}, `error: column 1: unexpected token "reboot"`, true},
	} {
		text, err := console(c.command...)
		if !strings.Contains(text, c.want) || (err != nil) != c.fails {
			t.Errorf("console %v: %q, %v", c.command, text, err)
		}
	}
	if _, err := session.ReadDir("/riverside"); err == nil || !strings.Contains(err.Error(), "try again in") {
		t.Errorf("directory listing while the node drains: %v", err)
	}
	if text, err := console("undrain", "node-a"); err != nil {
		t.Errorf("undrain: %q, %v", text, err)
	}
	if _, err := session.ReadDir("/riverside"); err != nil {
		t.Errorf("directory listing after the drain: %v", err)
	}

	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, fmt.Sprintf("[[nodes]]\nname = \"node-b\"\nsftp = %q\nhttp = %q\nshard = 1\n", files.Addr, node)...)
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.Process.Signal(syscall.SIGHUP)
	testsupport.WaitFor(t, "the node added by the reload", func() bool {
		text, err := console("drain", "node-b")
		return err == nil && text == ""
	})
	if _, err := session.ReadDir("/riverside"); err != nil {
		t.Errorf("directory listing after the reload: %v", err)
	}
	p.stop(t)
}
