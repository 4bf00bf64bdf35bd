package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// The settings say how load reports name their fields. When only the name in the protocol's example was read, no queue
// length was ever received at this site.
func TestHealthCheckReadsLoadReports(t *testing.T) {
	set, err := protocol.ParseSettings([]byte(`{"report":{"how":"on_probe","fields":["backlog","outstanding"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]scheduler.HealthChecked{
		"TEXT backlog=2.5, outstanding=7": {Node: "node-0", OK: true, Queue: 2.5},
		"TEXT outstanding=7":              {Node: "node-0", OK: true, Queue: -1},
		"TEXT backlog=NaN":                {Node: "node-0", OK: true, Queue: -1},
		"JSON {}":                         {Node: "node-0", OK: true, Queue: -1},
	} {
		addr, _ := startNode(t, func(_ int64, c net.Conn, r *http.Request) {
			if r.URL.Path != "/status/load" {
				t.Errorf("health check on path %s, want /status/load", r.URL.Path)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		})
		if got := NewHealthChecker(newNodes(nil, addr), set, logs.Discard()).Check("node-0"); got != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
	unhealthy, _ := startNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	})
	if got := NewHealthChecker(newNodes(nil, unhealthy), protocol.Settings{}, logs.Discard()).Check("node-0"); got.OK {
		t.Errorf("unhealthy node: %+v, want OK false", got)
	}
}

// An answer that is not a list is logged and leaves the endpoint list unchanged. The next call comes within 200 ms and asks
// from the version last applied; otherwise the changes between would count as delivered.
func TestWatchSurvivesInvalidLists(t *testing.T) {
	calls := make(chan string, 16)
	invalidTexts := []string{
		"{", `{"hosts":[]}`, `{"seq":9,"hosts":[{"host":"x","health":"odd"}]}`,
		`{"seq":9,"hosts":[{"host":"x","health":"up","dial":"nowhere"}]}`,
	}
	validText := `{"seq":42,"whole":false,"hosts":[{"host":"x","dial":"127.0.0.1:1","site":"a","block":3,"health":"draining","born_ms":5}]}`
	addr, _ := startNode(t, func(n int64, c net.Conn, r *http.Request) {
		calls <- r.URL.RawQuery
		text := validText
		if n <= int64(len(invalidTexts)) {
			text = invalidTexts[n-1]
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	lists, logged := make(chan protocol.List, 1), make(chan string, 16)
	go Watch(ctx, addr, 41, []string{"b", "a"}, testsupport.Limits(), 1, systemTime, func(l protocol.List) {
		lists <- l
		<-ctx.Done()
	}, testsupport.Log(func(line string) { logged <- line }))
	got := testsupport.Await(t, "the list", lists)
	want := protocol.Host{Dial: "127.0.0.1:1", Endpoint: scheduler.Endpoint{
		Node: "x", Zone: 1, Shard: 3,
		State: scheduler.Draining, StartedAt: 5000,
	}}
	if len(got.Hosts) != 1 || got.Hosts[0] != want || got.Seq != 42 {
		t.Errorf("list %+v, want one draining host x and version 42", got)
	}
	for range len(invalidTexts) + 1 {
		if query := testsupport.Await(t, "a discovery call", calls); !strings.HasPrefix(query, "from=41&hold_ms=") {
			t.Errorf("call with query %q, want it from version 41", query)
		}
	}
	if pause := testsupport.Limits().Discovery.RetryMin; pause > 150*time.Millisecond {
		t.Errorf("pause of %v between two calls, want at most 150 ms", pause)
	}
	if len(logged) != len(invalidTexts) {
		t.Errorf("%d lines logged, want %d", len(logged), len(invalidTexts))
	}
}
