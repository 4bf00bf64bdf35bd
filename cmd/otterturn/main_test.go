package main

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/sftp"

	"otterturn/internal/lab/authority"
	"otterturn/internal/standin"
)

// TestMain lets the test's own binary stand for the program, so that the tests start it as it is.
func TestMain(m *testing.M) {
	if os.Getenv("OTTERTURN_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	if addr := os.Getenv("OTTERTURN_TEST_BRIDGE"); addr != "" {
		bridge(addr)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// bridge stands in for the SSH below an SFTP client: its input and output go over a plain connection.
func bridge(addr string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	go func() {
		io.Copy(c, os.Stdin)
		c.(*net.TCPConn).CloseWrite()
	}()
	io.Copy(os.Stdout, c)
}

func freeAddr(t *testing.T) string {
	t.Helper()
	l := standin.Listen(t)
	defer l.Close()
	return l.Addr().String()
}

func write(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// httpPeer answers requests with what the function returns, an empty text for silence.
func httpPeer(t *testing.T, answer func(r *http.Request) string) string {
	return standin.Peer(t, func(_ int, c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if text := answer(r); text != "" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
		}
	})
}

// startAuthority starts a certificate authority that ends with the test.
func startAuthority(t *testing.T, set authority.Settings) *authority.Authority {
	t.Helper()
	ca, err := authority.Start(set)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ca.Close)
	return ca
}

const platformConfig = `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":[],
"known":{"seq":41,"whole":true,"hosts":[]},
"settings":{"balancers":1,"tickUs":2000,"zones":["a"],
 "ceilings":{"connIdleUs":15000000,"connectTimeoutUs":250000,"maxOpen":100,"tryLimit":4,"probing":true,"retryAfter":true,"maxRetryAfterUs":500000},
 "classes":[{"name":"read","aimUs":300000,"giveUpUs":5000000,"semantics":"retryable","credit":1}],
 "contracts":[{"name":"gold","shares":1}],"familyInfo":{"meanUnits":2,"mostUnits":6,"shards":1},"report":{"how":"on_probe"}}}`

// newGet returns a client of the front: it tells an answer's status and body and whether it ends the connection.
func newGet(t *testing.T, addr string) func(path, id string) (int, string, bool) {
	client := &http.Client{Timeout: standin.Patience, Transport: &http.Transport{}}
	return func(path, id string) (int, string, bool) {
		r, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range map[string]string{"X-Correlation-Id": id, "X-Service-Class": "read", "X-Plan": "gold",
			"X-Time-Left": "4000m", "X-IO": "units=1,shard=0,hosts=1"} {
			r.Header.Set(k, v)
		}
		resp, err := client.Do(r)
		if err != nil {
			return 0, err.Error(), false
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Error(err)
		}
		return resp.StatusCode, string(body), resp.Close
	}
}

func TestPlatformFront(t *testing.T) {
	node := httpPeer(t, func(*http.Request) string { return "index data" })
	list := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`, node)
	discovery := httpPeer(t, func(r *http.Request) string {
		if r.URL.Query().Get("from") == "41" {
			return list
		}
		return ""
	})
	addr := freeAddr(t)
	p := start(t, []string{"RELAY_CONFIG=" + write(t, "config.json", fmt.Sprintf(platformConfig, addr, discovery))})
	get := newGet(t, addr)
	standin.Until(t, "readiness", func() bool { status, _, _ := get("/ready", ""); return status == 200 })
	standin.Until(t, "a served request", func() bool {
		status, body, _ := get("/read/00000000000000aa/00000000000000bb", fmt.Sprint("id-", time.Now().UnixNano()))
		return status == 200 && body == "index data"
	})
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	standin.Until(t, "an answer that ends its connection", func() bool {
		status, _, ends := get("/read/00000000000000aa/00000000000000bb", fmt.Sprint("id-", time.Now().UnixNano()))
		return status == 200 && ends
	})
	if err := standin.Await(t, "the end of the program", p.done); err != nil {
		t.Errorf("ended with %v:\n%s", err, p.output)
	}
}

// SIGHUP once ended the program. It moves the watch to the discovery that the file names then, whose versions
// begin anew; a file that is bad changes nothing, and a stop right behind it still is a clean one.
func TestReload(t *testing.T) {
	list := `{"seq":%d,"whole":true,"hosts":[{"host":%q,"dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`
	discovery := func(seq int, host string) (addr string, calls chan string) {
		node := httpPeer(t, func(*http.Request) string { return host })
		calls = make(chan string, 1000)
		return httpPeer(t, func(r *http.Request) string {
			calls <- r.URL.RawQuery
			if r.URL.Query().Get("from") == fmt.Sprint(seq) {
				return "" // holds the watch
			}
			return fmt.Sprintf(list, seq, host, node)
		}), calls
	}
	first, _ := discovery(42, "old")
	second, calls := discovery(7, "new")
	addr := freeAddr(t)
	config := write(t, "config.json", fmt.Sprintf(platformConfig, addr, first))
	p := start(t, []string{"RELAY_CONFIG=" + config})
	get := newGet(t, addr)
	served := func(by string) {
		t.Helper()
		standin.Until(t, "an answer of the "+by+" node", func() bool {
			status, body, _ := get("/read/00000000000000aa/00000000000000bb", fmt.Sprint("id-", time.Now().UnixNano()))
			return status == 200 && body == by
		})
	}
	reload := func(text string) {
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	served("old")
	reload(`{"listen"`)
	standin.Until(t, "the log of the bad file", func() bool { return strings.Contains(p.output.String(), "reload: ") })
	served("old")
	reload(fmt.Sprintf(platformConfig, addr, second))
	if query := standin.Await(t, "a call to the new discovery", calls); query != "" {
		t.Errorf("the new watch began with %q, not with the whole list", query)
	}
	served("new")
	for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		p.Process.Signal(sig)
	}
	if err := standin.Await(t, "the end of the program", p.done); err != nil {
		t.Errorf("ended with %v:\n%s", err, p.output)
	}
	if n := strings.Count(p.output.String(), "reload: "); n != 1 {
		t.Errorf("%d lines of the bad file:\n%s", n, p.output)
	}
}

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

// filesOnly is an appliance with the SFTP front alone.
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

// An appliance from its start to its end: certificate and renewal, files, HTTP over TLS, console, stop.
func TestAppliance(t *testing.T) {
	challenge := freeAddr(t)
	ca := startAuthority(t, authority.Settings{Lifetime: 90 * 24 * time.Hour, HTTP: challenge})
	files := standin.NewFileServer(t)
	node := httpPeer(t, func(*http.Request) string { return "index data" })
	dir := t.TempDir()
	sftpAddr, httpAddr := freeAddr(t), freeAddr(t)
	config := write(t, "appliance.toml", fmt.Sprintf(operatorFile, sftpAddr, httpAddr, ca.Directory(),
		write(t, "roots.pem", string(ca.ServerRoots())), filepath.Join(dir, "acme"), challenge,
		filepath.Join(dir, "console.sock"), files.Addr, node))
	p := start(t, nil, "serve", "--config", config)
	console := func(command ...string) (string, error) {
		c := start(t, nil, append([]string{"console", "--config", config}, command...)...)
		err := standin.Await(t, "the end of the console", c.done)
		return c.output.String(), err
	}
	standin.Until(t, "the console", func() bool { _, err := console("status"); return err == nil })

	standin.Until(t, "the certificate", func() bool {
		text, err := console("certificate")
		return err == nil && strings.Contains(text, "files for files.example, search.example, serial 65 until ")
	})
	if text, err := console("renew", "files"); err != nil {
		t.Errorf("renew: %q, %v", text, err)
	}
	standin.Until(t, "the renewed certificate", func() bool {
		text, err := console("certificate")
		return err == nil && strings.Contains(text, "serial 66 until ")
	})
	if text, err := console("rollkey", "main"); err != nil {
		t.Errorf("roll the key: %q, %v", text, err)
	}
	if text, err := console("revoke", "files"); err != nil {
		t.Errorf("revoke: %q, %v", text, err)
	}
	standin.Until(t, "the certificate after the revoked one", func() bool {
		text, err := console("certificate")
		return err == nil && strings.Contains(text, "serial 67 until ")
	})
	if n := ca.Counts(); n.Accounts != 1 || n.Issued != 3 || n.Revoked != 1 {
		t.Errorf("the authority counted %+v", n)
	}
	client := &http.Client{Timeout: standin.Patience, Transport: &http.Transport{TLSClientConfig: &tls.Config{
		RootCAs: ca.Roots(), ServerName: "files.example"}}}
	r, err := http.NewRequest(http.MethodGet, "https://"+httpAddr+"/read/00000000000000aa/00000000000000bb", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Correlation-Id": "id", "X-Service-Class": "read", "X-Plan": "gold",
		"X-Time-Left": "4000m", "X-IO": "units=1,shard=0,hosts=1"} {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || string(body) != "index data" {
		t.Errorf("over TLS: %d %q %v", resp.StatusCode, body, err)
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
		t.Errorf("a listing while the node drains: %v", err)
	}
	if text, err := console("undrain", "node-a"); err != nil {
		t.Errorf("undrain: %q, %v", text, err)
	}
	if _, err := session.ReadDir("/riverside"); err != nil {
		t.Errorf("a listing after the drain: %v", err)
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
	standin.Until(t, "the node of the new file", func() bool {
		text, err := console("drain", "node-b")
		return err == nil && text == ""
	})
	if _, err := session.ReadDir("/riverside"); err != nil {
		t.Errorf("a listing after the reload: %v", err)
	}
	p.stop(t)
}

func TestBadConfigurationIsOneLineThatNamesTheField(t *testing.T) {
	good := fmt.Sprintf(operatorFile, "127.0.0.1:1", "127.0.0.1:2", "https://127.0.0.1:3/directory", "", "/nowhere",
		"127.0.0.1:4", "/nowhere.sock", "127.0.0.1:5", "127.0.0.1:6")
	platform := fmt.Sprintf(platformConfig, "127.0.0.1:1", "127.0.0.1:2")
	for _, c := range []struct{ kind, old, with, field string }{
		{"serve", `open = 64`, `open = 0`, "limits"},
		{"serve", `open = 64`, `opened = 64`, "limits.opened"},
		{"serve", `[console]`, "[door]\nroom = 60\nwaiting = 60\npatience = \"1s\"\n[console]", "door: room and waiting"},
		{"serve", `"127.0.0.1:1"`, `"somewhere"`, "sftp.listen"},
		{"serve", `"2s"`, `"two"`, "connect"},
		{"serve", `"keyed"`, `"often"`, "classes.write.repeat"},
		{"serve", `worth = 1.0`, `worth = 0.0`, "classes.bulk-read"},
		{"serve", `plan = "gold"`, `plan = "lead"`, "projects[0].plan"},
		{"serve", "prefix = \"/riverside\"\n", "prefix = \"riverside/\"\n", "projects[0].prefix"},
		{"serve", `"127.0.0.1:5"`, `""`, "nodes[0].sftp"},
		{"serve", `names = ["files.example", "search.example"]`, `names = []`, "acme.certificates[0].names"},
		{"serve", `names = ["files.example", "search.example"]`, `names = ["Files.example"]`, "acme.certificates[0].names"},
		{"serve", `name = "main"`, `name = "../main"`, "acme.authorities[0].name"},
		{"serve", `"https://127.0.0.1:3/directory"`, `"http://127.0.0.1:3"`, "acme.authorities[0].directory"},
		{"serve", `tls = true`, `tls = false`, "http.tls"},
		{"platform", `"127.0.0.1:1"`, `"x"`, "listen"},
		{"platform", `8c1f`, `zz`, "seed"},
		{"platform", `"memory_mb":192`, `"memory_mb":0`, "memory_mb"},
		{"platform", `"retryable"`, `"odd"`, "classes[0]"},
		{"platform", `"tickUs":2000`, `"tickUs":0`, "Tick"},
		{"platform", `"seq":41,`, ``, "known: seq"},
		{"platform", `{"name"`, `"name"`, "config"},
	} {
		var p *process
		if c.kind == "serve" {
			p = start(t, nil, "serve", "--config", write(t, "operator.toml", strings.Replace(good, c.old, c.with, 1)))
		} else {
			p = start(t, []string{"RELAY_CONFIG=" + write(t, "config.json", strings.Replace(platform, c.old, c.with, 1))})
		}
		err := standin.Await(t, "the end", p.done)
		text := p.output.String()
		if exit := new(exec.ExitError); !errors.As(err, &exit) || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.field) {
			t.Errorf("%s for %s: %v, %q", c.with, c.old, err, text)
		}
	}
	p := start(t, nil, "serve", "--config", "../../deploy/missing.toml")
	if err := standin.Await(t, "the end", p.done); err == nil {
		t.Error("a missing file was accepted")
	}
}
