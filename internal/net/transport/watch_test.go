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
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

// watched runs a watch before a discovery that answers as the script says, nothing for "", and gives the calls and lists.
func watched(t *testing.T, edit func(*limits.Limits), answer func(n int64, query string) string) (calls chan string, lists chan protocol.List, logged chan string) {
	t.Helper()
	l := standin.Limits()
	edit(&l)
	calls, lists, logged = make(chan string, 1024), make(chan protocol.List, 1024), make(chan string, 1024)
	addr, _ := newNode(t, func(n int64, c net.Conn, r *http.Request) {
		calls <- r.URL.RawQuery
		text := answer(n, r.URL.RawQuery)
		if text == "" {
			io.Copy(io.Discard, c) // silent until the front gives it up
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	ctx, end := context.WithCancel(t.Context())
	t.Cleanup(end)
	go Watch(ctx, addr, 41, nil, l, 1, anyTime, func(l protocol.List) { lists <- l }, standin.Log(func(line string) { logged <- line }))
	return calls, lists, logged
}

func entry(health string, block int, born int64) string {
	return fmt.Sprintf(`{"host":"x","health":%q,"dial":"127.0.0.1:1","site":"a","block":%d,"born_ms":%d}`, health, block, born)
}

// A watch that fell silent was asked for anew by one that is held, which no front can tell from silence: as discovery
// came back, nodes drained for over a second until a front knew that somebody was there.
func TestSilentWatchIsOpenedAnewByACallThatIsNotHeld(t *testing.T) {
	silent := 3
	calls, lists, _ := watched(t, func(*limits.Limits) {}, func(n int64, _ string) string {
		if n <= int64(silent) {
			return ""
		}
		return `{"seq":42,"hosts":[` + entry("draining", 3, 5) + `]}`
	})
	if query := standin.Await(t, "the watch", calls); query == "from=41&hold_ms=0" {
		t.Errorf("the first call: %s", query)
	}
	for range silent {
		if query := standin.Await(t, "a call", calls); query != "from=41&hold_ms=0" {
			t.Errorf("behind silence: %s", query)
		}
	}
	if got := standin.Await(t, "the list", lists); got.Seq != 42 || got.Hosts[0].State != scheduler.Draining {
		t.Errorf("%+v", got)
	}
	if query := standin.Await(t, "the next watch", calls); strings.HasSuffix(query, "hold_ms=0") {
		t.Errorf("behind news: %s", query)
	}
}

// What is older than what is known takes nothing back. Discovery may have begun anew, so the whole list tells.
func TestListThatGoesBack(t *testing.T) {
	calls, lists, logged := watched(t, func(*limits.Limits) {}, func(n int64, query string) string {
		switch {
		case n == 1:
			return `{"seq":45,"hosts":[` + entry("draining", 3, 5) + `]}`
		case query != "":
			return `{"seq":40,"whole":true,"hosts":[` + entry("up", 3, 5) + `]}`
		}
		return `{"seq":7,"whole":true,"hosts":[` + entry("up", 3, 6) + `]}`
	})
	if got := standin.Await(t, "the first list", lists); got.Seq != 45 {
		t.Errorf("%+v", got)
	}
	if got := standin.Await(t, "the whole list", lists); got.Seq != 7 || got.Hosts[0].StartedAt != 6000 {
		t.Errorf("what was taken behind it: %+v", got)
	}
	if line := standin.Await(t, "a line", logged); !strings.Contains(line, "discovery went back, endpoint list unchanged") {
		t.Error(line)
	}
	<-calls
	if a, b := <-calls, <-calls; !strings.HasPrefix(a, "from=45&") || b != "" {
		t.Errorf("calls %q, %q", a, b)
	}
}

// An entry that can't be true would have a node taken for one of another shard, or for cold for years.
func TestEntriesThatCannotBeTrueLeaveWhatWasKnown(t *testing.T) {
	texts := []string{entry("up", 3, 5), entry("up", -1, 5), entry("up", 3, -5), entry("up", 4, 1<<50)}
	calls, lists, logged := watched(t, func(*limits.Limits) {}, func(n int64, _ string) string {
		return fmt.Sprintf("{ \"seq\": %d,\n \"whole\": true, \"hosts\": [\n\t%s ] }", 41+n, texts[min(int(n)-1, len(texts)-1)])
	})
	known := roster.New()
	for i := range texts {
		standin.Await(t, "a call", calls)
		got := known.Update(standin.Await(t, "a list", lists))
		if len(got.Hosts) != 1 || got.Hosts[0].Shard != 3 || got.Hosts[0].StartedAt != 5000 || known.Len() != 1 {
			t.Errorf("list %d: %+v", i, got)
		}
	}
	standin.Await(t, "a line", logged)
	standin.Await(t, "a further call", calls)
	if len(logged) > 0 {
		t.Errorf("logged again: %s", <-logged)
	}
}

// anyTime is a clock for lists whose nodes have started long ago.
func anyTime() scheduler.Micros { return scheduler.Micros(time.Now().UnixMicro()) }

// Guards against nodes that are left out as this machine's clock was stepped back: what can't be true goes by the front's own time.
func TestStepOfTheClockHidesNoNode(t *testing.T) {
	ahead := func() scheduler.Micros { return anyTime() + scheduler.Micros(time.Hour/time.Microsecond) } // the system's was stepped back
	text := fmt.Sprintf(`{"seq":42,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","block":0,"health":"up","born_ms":%d}]}`,
		time.Now().Add(time.Hour/2).UnixMilli())
	addr, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	lists := make(chan protocol.List, 1024)
	go Watch(t.Context(), addr, FullList, nil, standin.Limits(), 1, ahead, func(l protocol.List) { lists <- l }, standin.Log(func(string) {}))
	if got := standin.Await(t, "the list", lists); len(got.Hosts) != 1 || len(got.Odd) != 0 {
		t.Errorf("%+v", got)
	}
}
