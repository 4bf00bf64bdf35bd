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

	"otterturn/internal/limits"
	"otterturn/internal/net/protocol"
	"otterturn/internal/roster"
	"otterturn/internal/testsupport"
	"otterturn/scheduler"
)

// startWatch runs a watch on a discovery server whose answers come from answer, where "" means no answer. It returns the
// queries of the calls, the lists and the log lines.
func startWatch(
	t *testing.T, edit func(*limits.Limits), answer func(n int64, query string) string,
) (calls chan string, lists chan protocol.List, logged chan string) {
	t.Helper()
	l := testsupport.Limits()
	edit(&l)
	calls, lists, logged = make(chan string, 1024), make(chan protocol.List, 1024), make(chan string, 1024)
	addr, _ := startNode(t, func(n int64, c net.Conn, r *http.Request) {
		calls <- r.URL.RawQuery
		text := answer(n, r.URL.RawQuery)
		if text == "" {
			io.Copy(io.Discard, c) // silent until the front gives up
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go Watch(ctx, addr, 41, nil, l, 1, systemTime, func(l protocol.List) { lists <- l }, testsupport.Log(func(line string) { logged <- line }))
	return calls, lists, logged
}

func listEntry(health string, block int, born int64) string {
	return fmt.Sprintf(`{"host":"x","health":%q,"dial":"127.0.0.1:1","site":"a","block":%d,"born_ms":%d}`, health, block, born)
}

// A silent watch was once reopened by a call that discovery holds, which a front can't distinguish from silence: after
// discovery came back, nodes were draining for over a second before a front knew that it was available.
func TestSilentWatchIsReopenedWithoutHold(t *testing.T) {
	silentCalls := 3
	calls, lists, _ := startWatch(t, func(*limits.Limits) {}, func(n int64, _ string) string {
		if n <= int64(silentCalls) {
			return ""
		}
		return `{"seq":42,"hosts":[` + listEntry("draining", 3, 5) + `]}`
	})
	if query := testsupport.Await(t, "the first call", calls); query == "from=41&hold_ms=0" {
		t.Errorf("first call: query %s", query)
	}
	for range silentCalls {
		if query := testsupport.Await(t, "a discovery call", calls); query != "from=41&hold_ms=0" {
			t.Errorf("call after silence: query %s", query)
		}
	}
	if got := testsupport.Await(t, "the list", lists); got.Seq != 42 || got.Hosts[0].State != scheduler.Draining {
		t.Errorf("%+v", got)
	}
	if query := testsupport.Await(t, "the call after the list", calls); strings.HasSuffix(query, "hold_ms=0") {
		t.Errorf("call after a list: query %s", query)
	}
}

// A list older than the known one is not applied. Discovery may have been restarted, so the full list is requested and
// applied.
func TestOlderListIsNotApplied(t *testing.T) {
	calls, lists, logged := startWatch(t, func(*limits.Limits) {}, func(n int64, query string) string {
		switch {
		case n == 1:
			return `{"seq":45,"hosts":[` + listEntry("draining", 3, 5) + `]}`
		case query != "":
			return `{"seq":40,"whole":true,"hosts":[` + listEntry("up", 3, 5) + `]}`
		}
		return `{"seq":7,"whole":true,"hosts":[` + listEntry("up", 3, 6) + `]}`
	})
	if got := testsupport.Await(t, "the first list", lists); got.Seq != 45 {
		t.Errorf("%+v", got)
	}
	if got := testsupport.Await(t, "the whole list", lists); got.Seq != 7 || got.Hosts[0].StartedAt != 6000 {
		t.Errorf("list applied next: %+v", got)
	}
	if line := testsupport.Await(t, "a log line", logged); !strings.Contains(line, "discovery went back, endpoint list unchanged") {
		t.Error(line)
	}
	<-calls
	if a, b := <-calls, <-calls; !strings.HasPrefix(a, "from=45&") || b != "" {
		t.Errorf("calls with queries %q and %q, want one from version 45 and one for the full list", a, b)
	}
}

// An invalid entry would assign a node to another shard, or make it count as a cold node for years.
func TestInvalidEntriesLeaveKnownNodesUnchanged(t *testing.T) {
	texts := []string{listEntry("up", 3, 5), listEntry("up", -1, 5), listEntry("up", 3, -5), listEntry("up", 4, 1<<50)}
	calls, lists, logged := startWatch(t, func(*limits.Limits) {}, func(n int64, _ string) string {
		return fmt.Sprintf("{ \"seq\": %d,\n \"whole\": true, \"hosts\": [\n\t%s ] }", 41+n, texts[min(int(n)-1, len(texts)-1)])
	})
	known := roster.New()
	for i := range texts {
		testsupport.Await(t, "a discovery call", calls)
		got := known.Update(testsupport.Await(t, "a list", lists))
		if len(got.Hosts) != 1 || got.Hosts[0].Shard != 3 || got.Hosts[0].StartedAt != 5000 || known.Len() != 1 {
			t.Errorf("list %d: %+v", i, got)
		}
	}
	testsupport.Await(t, "a log line", logged)
	testsupport.Await(t, "a further discovery call", calls)
	if len(logged) > 0 {
		t.Errorf("logged again: %s", <-logged)
	}
}

// systemTime is a clock for lists whose nodes have started long ago.
func systemTime() scheduler.Micros { return scheduler.Micros(time.Now().UnixMicro()) }

// Guards against nodes that are ignored because this machine's clock was stepped back: whether a start time is valid is
// decided by the front's own clock.
func TestClockStepExcludesNoNode(t *testing.T) {
	// The system clock was set back by an hour, the front's clock was not.
	frontClock := func() scheduler.Micros { return systemTime() + scheduler.Micros(time.Hour/time.Microsecond) }
	text := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","block":0,"health":"up","born_ms":%d}]}`,
		time.Now().Add(time.Hour/2).UnixMilli())
	addr, _ := startNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	lists := make(chan protocol.List, 1024)
	go Watch(t.Context(), addr, FullList, nil, testsupport.Limits(), 1, frontClock, func(l protocol.List) { lists <- l }, testsupport.Log(func(string) {}))
	if got := testsupport.Await(t, "the list", lists); len(got.Hosts) != 1 || len(got.Invalid) != 0 {
		t.Errorf("%+v", got)
	}
}

// Guards against a front that exceeds its memory limit because an answer of discovery does not end, in its head or in its list.
func TestEndlessAnswerOfDiscoveryIsRejected(t *testing.T) {
	l := testsupport.Limits()
	l.Discovery.AnswerTimeout = testsupport.WaitTimeout
	const chunk = 32 << 10
	for _, c := range []struct {
		name, head, piece string
		limit             int64 // named in the log
	}{
		{"head", "HTTP/1.1 200 OK\r\n", "X-Pad: " + strings.Repeat("y", 100) + "\r\n", int64(l.Requests.HeaderBytes)},
		{"list", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk)), l.Discovery.ListBytes},
	} {
		closed, logged := make(chan bool, 1024), make(chan string, 1024)
		addr, _ := startNode(t, func(_ int64, conn net.Conn, _ *http.Request) {
			io.WriteString(conn, c.head)
			closed <- sendUntilClosed(conn, c.piece, 0)
		})
		go Watch(t.Context(), addr, FullList, nil, l, 1, systemTime, func(protocol.List) {}, testsupport.Log(func(line string) { logged <- line }))
		if line := testsupport.Await(t, "a log line", logged); !strings.Contains(line, fmt.Sprint(c.limit)) {
			t.Errorf("%s: logged %s, want the limit of %d bytes", c.name, line, c.limit)
		}
		if !testsupport.Await(t, "the end of the answer", closed) {
			t.Errorf("%s: the front read %d bytes and did not close the connection", c.name, maxTestBytes)
		}
	}
}
