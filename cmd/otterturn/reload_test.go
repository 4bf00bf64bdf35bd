package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterturn/internal/testsupport"
)

// Guards against a program that ends at SIGHUP. The signal switches to the discovery address in the reloaded file, whose versions
// may start again at a low number. An invalid file changes nothing, and SIGTERM immediately after SIGHUP still ends the program
// with status 0.
func TestReloadSwitchesDiscovery(t *testing.T) {
	list := `{"seq":%d,"whole":true,"hosts":[{"host":%q,"dial":%q,"site":"a","block":0,"health":"up","born_ms":0}]}`
	discovery := func(seq int, host string) (addr string, calls chan string) {
		node := httpPeer(t, func(*http.Request) string { return host })
		calls = make(chan string, 1000)
		return httpPeer(t, func(r *http.Request) string {
			calls <- r.URL.RawQuery
			if r.URL.Query().Get("from") == fmt.Sprint(seq) {
				return "" // no answer: the watch stays open
			}
			return fmt.Sprintf(list, seq, host, node)
		}), calls
	}
	first, _ := discovery(42, "old")
	second, calls := discovery(7, "new")
	addr := freeAddr(t)
	config := writeTemp(t, "config.json", fmt.Sprintf(platformConfig, addr, first))
	p := start(t, []string{"RELAY_CONFIG=" + config})
	get := newGet(t, addr)
	served := func(by string) {
		t.Helper()
		testsupport.WaitFor(t, "an answer from the "+by+" node", func() bool {
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
	testsupport.WaitFor(t, "the log line for the invalid file", func() bool {
		return strings.Contains(p.output.String(), "reload failed, configuration unchanged")
	})
	served("old")
	reload(fmt.Sprintf(platformConfig, addr, second))
	if query := testsupport.Await(t, "a call to the new discovery", calls); query != "" {
		t.Errorf("the first query to the new discovery was %q, want a query for the whole list", query)
	}
	served("new")
	for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
		p.Process.Signal(sig)
	}
	if err := testsupport.Await(t, "the exit of the program", p.done); err != nil {
		t.Errorf("exited with %v:\n%s", err, p.output)
	}
	if n := strings.Count(p.output.String(), "reload failed, configuration unchanged"); n != 1 {
		t.Errorf("%d log lines for the invalid file, want 1:\n%s", n, p.output)
	}
}
