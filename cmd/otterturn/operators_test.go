package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterturn/internal/testsupport"
)

// site is a platform front with one node. The test holds the client listening socket, as the platform does.
type site struct {
	addr, control, config, folder string
	socket                        *os.File // listens for clients
	get                           func(path, id string) (int, string, bool)
}

func newSite(t *testing.T) *site {
	t.Helper()
	node := httpPeer(t, func(*http.Request) string { return "index data" })
	list := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`, node)
	discovery := httpPeer(t, func(r *http.Request) string {
		if r.URL.Query().Get("from") == "42" {
			return ""
		}
		return list
	})
	l := testsupport.Listen(t)
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	t.Cleanup(func() { file.Close() })
	s := &site{addr: l.Addr().String(), control: freeAddr(t), socket: file, folder: t.TempDir()}
	s.config = writeTemp(t, "config.json", fmt.Sprintf(platformConfig, s.addr, discovery))
	s.get = newGet(t, s.addr)
	return s
}

// start starts a process of the front with its own operator address.
func (s *site) start(t *testing.T, control string, env ...string) *process {
	t.Helper()
	return startWith(t, func(c *exec.Cmd) { c.ExtraFiles = []*os.File{s.socket} },
		append([]string{"RELAY_CONFIG=" + s.config, "RELAY_CONTROL=" + control, "RELAY_ACCEPT_FD=3", "TMPDIR=" + s.folder}, env...))
}

// operatorCall sends one request to an operator address.
func operatorCall(t *testing.T, method, addr, path string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Timeout: testsupport.WaitTimeout}).Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(text)
}

func awaitHealthy(t *testing.T, control string) {
	t.Helper()
	testsupport.WaitFor(t, "the health check", func() bool { status, _ := operatorCall(t, "GET", control, "/healthcheck"); return status == 200 })
}

func (s *site) awaitMetricLine(t *testing.T, line string) {
	t.Helper()
	var text string
	testsupport.WaitFor(t, line, func() bool {
		_, text = operatorCall(t, "GET", s.control, "/stats")
		return strings.Contains("\n"+text, "\n"+line+"\n")
	})
}

const readPath = "/read/00000000000000aa/00000000000000bb"

func newRequestID() string { return fmt.Sprint("id-", time.Now().UnixNano()) }

// Operators exclude a node twice and readmit it once; the metrics match what clients saw. Operator connections with an incomplete
// request must not block other operator calls.
func TestOperatorsExcludeAndReadmitNode(t *testing.T) {
	s := newSite(t)
	p := s.start(t, s.control)
	awaitHealthy(t, s.control)
	for range 40 {
		c, err := net.Dial("tcp", s.control)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /stats HTTP/1.1\r\n")
	}
	testsupport.WaitFor(t, "a served request", func() bool { status, _, _ := s.get(readPath, newRequestID()); return status == 200 })
	s.awaitMetricLine(t, "svc.chunk_servers_known:1|g")
	s.awaitMetricLine(t, "svc.chunk_servers_excluded:0|g")
	for _, c := range []struct {
		path string
		want int
	}{{"/chunk-servers/s/maint", 200}, {"/chunk-servers/s/maint", 200}, {"/chunk-servers/nobody/maint", 404}, {"/chunk-servers/nobody/ready", 404}} {
		if status, text := operatorCall(t, "POST", s.control, c.path); status != c.want {
			t.Errorf("%s: %d %s", c.path, status, text)
		}
	}
	s.awaitMetricLine(t, "svc.chunk_servers_excluded:1|g")
	if status, _, _ := s.get(readPath, newRequestID()); status == 200 {
		t.Error("a request was served while the only node was excluded")
	}
	if status, _ := operatorCall(t, "POST", s.control, "/chunk-servers/s/ready"); status != 200 {
		t.Errorf("readmitting the node: status %d", status)
	}
	testsupport.WaitFor(t, "a served request", func() bool { status, _, _ := s.get(readPath, newRequestID()); return status == 200 })
	s.awaitMetricLine(t, "svc.served.read:2|c")
	s.awaitMetricLine(t, "svc.attempts:2|c")
	s.awaitMetricLine(t, "svc.in_flight:0|g")
	p.stop(t)
}

// A reload applies a configuration completely or not at all: classes are added and removed, and an invalid file changes nothing; the
// error names the invalid field.
func TestReloadAppliesOnlyValidSettings(t *testing.T) {
	s := newSite(t)
	p := s.start(t, s.control)
	awaitHealthy(t, s.control)
	former, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text string) {
		if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for i, c := range []struct{ old, new, says string }{
		{string(former), "", "unexpected end"},
		{string(former), string(former[:100]), "unexpected end"},
		{`"giveUpUs":5000000,`, "", "settings.classes[0].giveUpUs: missing"},
		{`"giveUpUs":5000000`, `"giveUpUs":-5`, "giveUpUs"},
		{`"tryLimit":4`, `"tryLimit":0`, "tryLimit"},
		{`"tryLimit":4,`, "", "settings.ceilings.tryLimit: missing"},
		{`"semantics":"retryable"`, `"semantics":"odd"`, "semantics"},
	} {
		reload(strings.Replace(string(former), c.old, c.new, 1))
		s.awaitMetricLine(t, fmt.Sprintf("svc.reloads_failed:%d|c", i+1))
		awaitLogLine(t, p, c.says) // logged after the metric is incremented
	}
	testsupport.WaitFor(t, "a served request", func() bool { status, _, _ := s.get(readPath, newRequestID()); return status == 200 })
	reload(strings.Replace(string(former), `"classes":[`, `"classes":[{"name":"index","aimUs":300000,"giveUpUs":5000000,"semantics":"retryable","credit":1},`, 1))
	s.awaitMetricLine(t, "svc.reloads_ok:1|c")
	s.awaitMetricLine(t, "svc.served.index:0|c")
	s.awaitMetricLine(t, "svc.served.read:1|c")
	reload(strings.Replace(string(former), `"name":"read"`, `"name":"index"`, 1))
	s.awaitMetricLine(t, "svc.reloads_ok:2|c")
	testsupport.WaitFor(t, "the removal of a class", func() bool { status, _, _ := s.get(readPath, newRequestID()); return status == 404 })
	p.stop(t)
}

// An invalid accept descriptor ends the start with an error that names the variable.
func TestInvalidAcceptDescriptorEndsTheStart(t *testing.T) {
	s := newSite(t)
	for _, fd := range []string{"x", "1", "77"} {
		p := s.start(t, freeAddr(t), "RELAY_ACCEPT_FD="+fd)
		if err := testsupport.Await(t, "the exit of the program", p.done); err == nil || !strings.Contains(p.output.String(), "RELAY_ACCEPT_FD") {
			t.Errorf("%q: %v, %s", fd, err, p.output)
		}
	}
}
