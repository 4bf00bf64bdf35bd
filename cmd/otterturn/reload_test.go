package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterturn/internal/standin"
)

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
	standin.Until(t, "the log of the bad file", func() bool { return strings.Contains(p.output.String(), "reload failed, configuration unchanged") })
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
	if n := strings.Count(p.output.String(), "reload failed, configuration unchanged"); n != 1 {
		t.Errorf("%d lines of the bad file:\n%s", n, p.output)
	}
}
