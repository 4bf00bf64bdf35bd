package main

import (
	"bufio"
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

	"otterturn/internal/lab/authority"
	"otterturn/internal/lab/faults"
	"otterturn/internal/testsupport"
)

// TestMain runs the program itself when OTTERTURN_TEST_RUN is set, so that the tests can start it from the test binary.
func TestMain(m *testing.M) {
	faults.ExecIfWrapper()
	if os.Getenv("OTTERTURN_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	if addr := os.Getenv("OTTERTURN_TEST_BRIDGE"); addr != "" {
		bridgeToTCP(addr)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// bridgeToTCP replaces ssh as the transport of an SFTP client: it copies standard input and output to and from a TCP connection.
func bridgeToTCP(addr string) {
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
	l := testsupport.Listen(t)
	defer l.Close()
	return l.Addr().String()
}

func writeTemp(t *testing.T, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// httpPeer starts a server that answers requests with the text that answer returns; it does not answer if the text is empty.
func httpPeer(t *testing.T, answer func(r *http.Request) string) string {
	return testsupport.Peer(t, func(_ int, c net.Conn) {
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

// startAuthority starts a certificate authority that is closed at the end of the test.
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

// newGet returns a function that sends a GET request to the front and returns the answer's status and body, and whether the answer
// closes the connection.
func newGet(t *testing.T, addr string) func(path, id string) (int, string, bool) {
	client := &http.Client{Timeout: testsupport.WaitTimeout, Transport: &http.Transport{}}
	return func(path, id string) (int, string, bool) {
		r, err := http.NewRequest(http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		for k, v := range map[string]string{
			"X-Correlation-Id": id, "X-Service-Class": "read", "X-Plan": "gold",
			"X-Time-Left": "4000m", "X-IO": "units=1,shard=0,hosts=1",
		} {
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

func TestPlatformFrontServesAndStops(t *testing.T) {
	node := httpPeer(t, func(*http.Request) string { return "index data" })
	list := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`, node)
	discovery := httpPeer(t, func(r *http.Request) string {
		if r.URL.Query().Get("from") == "41" {
			return list
		}
		return ""
	})
	addr := freeAddr(t)
	p := start(t, []string{"RELAY_CONFIG=" + writeTemp(t, "config.json", fmt.Sprintf(platformConfig, addr, discovery))})
	get := newGet(t, addr)
	testsupport.WaitFor(t, "readiness", func() bool { status, _, _ := get("/ready", ""); return status == 200 })
	testsupport.WaitFor(t, "a served request", func() bool {
		status, body, _ := get("/read/00000000000000aa/00000000000000bb", fmt.Sprint("id-", time.Now().UnixNano()))
		return status == 200 && body == "index data"
	})
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	testsupport.WaitFor(t, "an answer that closes its connection", func() bool {
		status, _, ends := get("/read/00000000000000aa/00000000000000bb", fmt.Sprint("id-", time.Now().UnixNano()))
		return status == 200 && ends
	})
	if err := testsupport.Await(t, "the exit of the program", p.done); err != nil {
		t.Errorf("exited with %v:\n%s", err, p.output)
	}
}

func TestInvalidConfigurationIsOneLineThatNamesTheField(t *testing.T) {
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
		{"platform", `"tickUs":2000`, `"tickUs":0`, "tickUs"},
		{"platform", `"seq":41,`, ``, "known: seq"},
		{"platform", `{"name"`, `"name"`, "config"},
	} {
		var p *process
		if c.kind == "serve" {
			p = start(t, nil, "serve", "--config", writeTemp(t, "operator.toml", strings.Replace(good, c.old, c.with, 1)))
		} else {
			p = start(t, []string{"RELAY_CONFIG=" + writeTemp(t, "config.json", strings.Replace(platform, c.old, c.with, 1))})
		}
		err := testsupport.Await(t, "the exit of the program", p.done)
		text := p.output.String()
		if exit := new(exec.ExitError); !errors.As(err, &exit) || strings.Count(text, "\n") != 1 || !strings.Contains(text, c.field) {
			t.Errorf("%s instead of %s: error %v, output %q", c.with, c.old, err, text)
		}
	}
	p := start(t, nil, "serve", "--config", "../../deploy/missing.toml")
	if err := testsupport.Await(t, "the exit of the program", p.done); err == nil {
		t.Error("a missing configuration file was accepted")
	}
}
