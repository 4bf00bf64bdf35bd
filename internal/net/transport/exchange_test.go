package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/logs"
	"otterturn/internal/net/protocol"
	"otterturn/internal/standin"
	"otterturn/rules"
)

const served = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Served-Elsewhere: 3\r\n\r\ndata"

// Some answers never come to their end, and their connections stay open. Waited for until the request's deadline
// they left no time to ask again. What is behind a good answer costs the connection alone.
func TestAnswerThatStopsShort(t *testing.T) {
	conns := make(chan string, 4)
	addr, _ := newNode(t, func(n int64, c net.Conn, _ *http.Request) {
		conns <- c.RemoteAddr().String()
		io.WriteString(c, []string{served[:len(served)-1], served + served, served}[n-1])
	})
	s := newNodes(func(l *limits.Limits) { l.AnswerRest = 50 * time.Millisecond }, addr)
	began := time.Now()
	if got := send(t, s, standin.Patience); got.Result != rules.Errored || time.Since(began) > standin.Patience/2 {
		t.Errorf("an answer that stops short: %+v", got)
	}
	for range 2 {
		if got := send(t, s, standin.Patience); got.Result != rules.OK {
			t.Errorf("a good answer: %+v", got)
		}
	}
	if a, b, c := <-conns, <-conns, <-conns; a == b || b == c {
		t.Errorf("requests on connections %s, %s and %s", a, b, c)
	}
}

// A connection that breaks under a request tells little of the node: whether it takes another tells whether it
// lives. Until then the module would take it for one that died.
func TestWhetherANodeLivesAfterABreak(t *testing.T) {
	conns := make(chan net.Conn, 4)
	addr := standin.Peer(t, func(_ int, c net.Conn) {
		conns <- c
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			c.Close()
		}
	})
	s := newNodes(nil, addr)
	if got := send(t, s, standin.Patience); got.Result != rules.Reset || !got.Alive {
		t.Errorf("a node that closes a connection: %+v", got)
	}
	standin.Await(t, "the first connection", conns)
	standin.Await(t, "the connection that tells", conns)
	l := standin.Listen(t)
	go func() {
		if c, err := l.Accept(); err == nil {
			l.Close()
			http.ReadRequest(bufio.NewReader(c))
			c.Close()
		}
	}()
	if got := send(t, newNodes(nil, l.Addr().String()), standin.Patience); got.Result != rules.Reset || got.Alive {
		t.Errorf("a node that died: %+v", got)
	}
}

// newNode hears requests, whole ones alone, and hands them to the script, which answers; n counts them from 1.
func newNode(t *testing.T, script func(n int64, c net.Conn, r *http.Request)) (addr string, count *atomic.Int64) {
	count = new(atomic.Int64)
	return standin.Peer(t, func(_ int, c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			script(count.Add(1), c, r)
		}
	}), count
}

// list names nodes node-0, node-1 ... for the shards 0, 1 ...
func list(addrs ...string) protocol.List {
	out := protocol.List{Whole: true}
	for i, a := range addrs {
		out.Hosts = append(out.Hosts, protocol.Host{Dial: a,
			Listing: rules.Listing{Node: fmt.Sprint("node-", i), Shard: i}})
	}
	return out
}

func newNodes(edit func(*limits.Limits), addrs ...string) *Nodes {
	l := standin.Limits()
	l.NodeSettle = 0 // connections are used again at once
	if edit != nil {
		edit(&l)
	}
	s := NewNodes(l)
	s.Apply(list(addrs...))
	return s
}

// send makes one attempt at node-0 with a request that http.Transport would send again by itself.
func send(t *testing.T, s *Nodes, wait time.Duration) rules.Outcome {
	t.Helper()
	ctx, release := context.WithTimeout(context.Background(), wait)
	defer release()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://backend.local/read/00000000000000aa/00000000000000bb?x=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	_, out := s.attempt(ctx, "node-0", r)
	return out
}

// What a broken exchange proves decides whether a request may run again, so each kind of break is told apart.
// None may lead to a second copy that nobody counted, on a kept connection above all.
func TestHowAnAttemptEnds(t *testing.T) {
	for _, c := range []struct {
		name, text string // what a kept connection brings before it ends
		want       rules.Result
	}{
		{"served", served, rules.OK},
		{"word ahead of the answer", "HTTP/1.1 100 Continue\r\n\r\n" + served, rules.OK},
		{"word ahead of a break", "HTTP/1.1 100 Continue\r\n\r\n", rules.Reset},
		{"breaks before the answer", "", rules.Reset},
		{"breaks within the head", "HTTP/1.1 200 OK\r\nContent-", rules.Reset},
		{"breaks within the body", served[:len(served)-1], rules.Reset},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", rules.Errored},
		{"turned away", "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Full},
		{"503 that may have run", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", rules.Errored},
		{"long", "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("x", 400000), rules.OK},
		{"passes the bound", "HTTP/1.1 200 OK\r\nContent-Length: 268435457\r\n\r\n", rules.Errored},
		{"an error of any length", "HTTP/1.1 500 Oops\r\nContent-Length: 65537\r\n\r\n", rules.Errored},
		{"its time was over", "HTTP/1.1 504 Over\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Expired},
		{"noise", "\x00\x01 no answer\r\n\r\n", rules.Errored},
		{"a head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: y\r\n", 10_000), rules.Errored},
		{"words ahead without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100), rules.Errored},
		{"a length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", rules.Errored},
		{"a use figure that can't be read", strings.Replace(served, "Elsewhere: 3", "Elsewhere: x", 1), rules.OK},
	} {
		addr, count := newNode(t, func(n int64, conn net.Conn, _ *http.Request) {
			if n == 1 {
				io.WriteString(conn, served)
				return
			}
			io.WriteString(conn, c.text)
			conn.Close()
		})
		s := newNodes(nil, addr)
		if got := send(t, s, standin.Patience); got.Result != rules.OK || got.Elsewhere != 3 {
			t.Errorf("%s: first attempt %+v", c.name, got)
		}
		if got := send(t, s, standin.Patience); got.Result != c.want {
			t.Errorf("%s: result %v, want %v", c.name, got.Result, c.want)
		}
		if n := count.Load(); n != 2 {
			t.Errorf("%s: the node heard %d requests, want 2", c.name, n)
		}
	}
}

func TestNodeThatIsNotThere(t *testing.T) {
	l := standin.Listen(t)
	l.Close()
	if got := send(t, newNodes(nil, l.Addr().String()), standin.Patience); got.Result != rules.Unreachable {
		t.Errorf("refused connection: %v", got.Result)
	}
	silent := standin.Peer(t, func(_ int, c net.Conn) { io.Copy(io.Discard, c) })
	if got := send(t, newNodes(nil, silent), 50*time.Millisecond); got.Result != rules.TimedOut {
		t.Errorf("silent node: %v", got.Result)
	}
}

// A connection that is reset as it comes up, or before anything is written, tells nothing of the node, and an
// attempt that never left goes on another. Which of the two the client sees depends on how quick the node is.
func TestConnectionResetAsItComesUp(t *testing.T) {
	addr := standin.Peer(t, func(n int, c net.Conn) {
		if n%2 == 0 {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			io.WriteString(c, served)
		}
	})
	for range 2000 {
		if got := send(t, newNodes(nil, addr), standin.Patience); got.Result != rules.OK && !got.Alive {
			t.Fatalf("%+v", got)
		}
	}
}

// All sockets in use is no news of a node: told as the node's 'full', it kept requests from a node that had room.
// An idle connection to another node makes room, and where there is none the attempt waits for one.
func TestSocketsInUseAreNoNewsOfANode(t *testing.T) {
	begun, goOn := make(chan struct{}, 1), make(chan struct{})
	addr, _ := newNode(t, func(n int64, c net.Conn, _ *http.Request) {
		if n == 2 {
			begun <- struct{}{}
			<-goOn
		}
		io.WriteString(c, served)
	})
	other, count := newNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	s := newNodes(func(l *limits.Limits) { l.NodeConns = 1 }, addr, other)
	probe := NewProber(s, protocol.Settings{}, logs.Quiet()).Probe
	if got := send(t, s, standin.Patience); got.Result != rules.OK {
		t.Errorf("the first: %v", got.Result)
	}
	if !probe("node-1").OK {
		t.Error("no room where the other node's connection is idle")
	}
	first, second := make(chan rules.Outcome, 1), make(chan rules.Probed, 1)
	go func() { first <- send(t, s, standin.Patience) }()
	standin.Await(t, "the attempt", begun)
	go func() { second <- probe("node-1") }()
	close(goOn)
	if got := standin.Await(t, "the outcome", first); got.Result != rules.OK {
		t.Errorf("the one that was in the way: %v", got.Result)
	}
	if !standin.Await(t, "the probe", second).OK || count.Load() != 2 {
		t.Errorf("the one that waited: not answered, %d requests", count.Load())
	}
}

// A request written to a connection that the node has closed ends as a reset that may have run. So what stood
// idle is looked at first.
func TestConnectionThatEndedWhileIdleCarriesNothing(t *testing.T) {
	ended := make(chan struct{}, 1)
	addr, _ := newNode(t, func(n int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, served)
		if n == 1 {
			c.Close()
			ended <- struct{}{}
		}
	})
	s := newNodes(nil, addr)
	send(t, s, standin.Patience)
	standin.Await(t, "the end of the connection", ended)
	if got := send(t, s, standin.Patience); got.Result != rules.OK {
		t.Errorf("after the node closed an idle connection: %v", got.Result)
	}
}

// Neither a drain that is told while a connection comes up, nor a node that was started anew, may see a byte on
// an old connection.
func TestNewsOfANodeCountsBeforeTheFirstByte(t *testing.T) {
	conns := make(chan int, 8)
	addr := standin.Peer(t, func(n int, c net.Conn) {
		conns <- n
		for in := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			io.WriteString(c, served)
		}
	})
	s := newNodes(nil, addr)
	send(t, s, standin.Patience)
	standin.Await(t, "the first connection", conns)
	anew := list(addr)
	anew.Hosts[0].Since = 7
	s.Apply(anew)
	if got := send(t, s, standin.Patience); got.Result != rules.OK {
		t.Errorf("after a restart: %v", got.Result)
	}
	standin.Await(t, "a connection to the restarted node", conns)
	anew.Hosts[0].State = rules.Draining
	s.Apply(anew)
	if got := send(t, s, standin.Patience); got.Result != rules.Full {
		t.Errorf("draining: %v", got.Result)
	}
}

// Load reports name their fields as the settings do. Read under the name of the protocol's example alone, no
// queue was ever heard of at this deployment.
func TestProbe(t *testing.T) {
	set, err := protocol.ParseSettings([]byte(`{"report":{"how":"on_probe","fields":["backlog","outstanding"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]rules.Probed{
		"TEXT backlog=2.5, outstanding=7": {Node: "node-0", OK: true, Queue: 2.5},
		"TEXT outstanding=7":              {Node: "node-0", OK: true, Queue: -1},
		"TEXT backlog=NaN":                {Node: "node-0", OK: true, Queue: -1},
		"JSON {}":                         {Node: "node-0", OK: true, Queue: -1},
	} {
		addr, _ := newNode(t, func(_ int64, c net.Conn, r *http.Request) {
			if r.URL.Path != "/status/load" {
				t.Errorf("probed %s", r.URL.Path)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		})
		if got := NewProber(newNodes(nil, addr), set, logs.Quiet()).Probe("node-0"); got != want {
			t.Errorf("%q: %+v", text, got)
		}
	}
	unhealthy, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	})
	if got := NewProber(newNodes(nil, unhealthy), protocol.Settings{}, logs.Quiet()).Probe("node-0"); got.OK {
		t.Errorf("unhealthy node: %+v", got)
	}
}

// Text that is no list is logged and leaves things as they are; the next call is made within 200 ms, from the
// version last had, or changes in between would count as told.
func TestWatchOutlivesBadText(t *testing.T) {
	calls := make(chan string, 16)
	bad := []string{"{", `{"hosts":[]}`, `{"seq":9,"hosts":[{"host":"x","health":"odd"}]}`,
		`{"seq":9,"hosts":[{"host":"x","health":"up","dial":"nowhere"}]}`}
	good := `{"seq":42,"whole":false,"hosts":[{"host":"x","dial":"127.0.0.1:1","site":"a","block":3,"health":"draining","born_ms":5}]}`
	addr, _ := newNode(t, func(n int64, c net.Conn, r *http.Request) {
		calls <- r.URL.RawQuery
		text := good
		if n <= int64(len(bad)) {
			text = bad[n-1]
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	})
	ctx, end := context.WithCancel(context.Background())
	t.Cleanup(end)
	lists, logged := make(chan protocol.List, 1), make(chan string, 16)
	go Watch(ctx, addr, 41, []string{"b", "a"}, standin.Limits(), 1, func(l protocol.List) {
		lists <- l
		<-ctx.Done()
	}, standin.Log(func(line string) { logged <- line }))
	got := standin.Await(t, "the list", lists)
	want := protocol.Host{Dial: "127.0.0.1:1", Listing: rules.Listing{Node: "x", Zone: 1, Shard: 3,
		State: rules.Draining, Since: 5000}}
	if len(got.Hosts) != 1 || got.Hosts[0] != want || got.Seq != 42 {
		t.Errorf("list %+v", got)
	}
	for range len(bad) + 1 {
		if query := standin.Await(t, "a call", calls); !strings.HasPrefix(query, "from=41&hold_ms=") {
			t.Errorf("call %q", query)
		}
	}
	if pause := standin.Limits().WatchAgain; pause > 150*time.Millisecond {
		t.Errorf("%v between two calls", pause)
	}
	if len(logged) != len(bad) {
		t.Errorf("%d lines logged, want %d", len(logged), len(bad))
	}
}
