package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterturn/internal/lifecycle"
	"otterturn/internal/limits"
	"otterturn/internal/net/routing"
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

// The rows of docs/crossings.md that concern clients' connections and attempts. Each is forced by what a peer does.

// One connection to the node is in use, so the next attempt waits for it as it would for one that comes up late. Its client
// leaves meanwhile, however much it sent behind its request: the end was seen only ahead of such bytes, and the attempt
// was made once there was a connection.
func TestNothingIsBegunForAClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(c *client){
		"closes":                          func(c *client) { c.Close() },
		"ends its sending":                func(c *client) { c.Conn.(*net.TCPConn).CloseWrite() },
		"resets":                          func(c *client) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
		"closes behind half a request":    func(c *client) { io.WriteString(c, "GET /re"); c.Close() },
		"closes behind a second request":  func(c *client) { io.WriteString(c, fmt.Sprintf(request, "behind")+"\r\n"); c.Close() },
		"closes behind more than is kept": func(c *client) { c.Write(bytes.Repeat([]byte("x"), 300<<10)); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			begun, goOn := make(chan struct{}), make(chan struct{})
			addr, count := newNode(t, func(n int64, c net.Conn, _ *http.Request) {
				if n == 1 {
					close(begun)
					<-goOn
				}
				io.WriteString(c, served)
			})
			_, core, front := newFront(t, func(l *limits.Limits) { l.Nodes.ReuseDelay, l.Nodes.Conns = 0, 1 }, addr)
			first, second := dial(t, front), dial(t, front)
			io.WriteString(first, fmt.Sprintf(request, "first")+"\r\n")
			standin.Await(t, "the first attempt", begun)
			io.WriteString(second, fmt.Sprintf(request, "second")+"\r\n")
			standin.Until(t, "the second request", func() bool { return core.Tally().Open == 2 })
			leave(second)
			standin.Until(t, "its end", func() bool { return core.Tally().ClientsLeft >= 1 })
			close(goOn)
			if r, _ := first.ask(t, ""); r.StatusCode != 200 {
				t.Errorf("the first request: %d", r.StatusCode)
			}
			if r, _ := first.ask(t, fmt.Sprintf(request, "third")+"\r\n"); r.StatusCode != 200 {
				t.Errorf("the third request: %d", r.StatusCode)
			}
			if n := count.Load(); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
	}
}

// An attempt that must not begin any more, since a repeat would come too late to be dropped, writes nothing.
func TestAttemptPastItsBeginWritesNothing(t *testing.T) {
	addr, count := newNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	s := newNodes(nil, addr)
	over, end := context.WithCancel(t.Context())
	end()
	r, _ := http.NewRequest(http.MethodGet, "http://backend.local/read/00000000000000aa/00000000000000bb", nil)
	if _, out := s.attempt(t.Context(), routing.Attempt{Node: "node-0", MayBegin: over}, r); out.Result != scheduler.NotStarted || count.Load() != 0 {
		t.Errorf("%v, %d requests", out.Result, count.Load())
	}
}

// A second answer comes some milliseconds behind the first: used again at once, the connection would have the next request
// answered with it. It is left alone for longer than that, and found to have something to read.
func TestSecondAnswerThatComesLateIsNobodys(t *testing.T) {
	late := make(chan struct{})
	addr, _ := newNode(t, func(n int64, c net.Conn, _ *http.Request) {
		io.WriteString(c, served)
		if n == 1 {
			time.Sleep(3 * time.Millisecond) // no event of the front's own tells when
			io.WriteString(c, strings.Replace(served, "data", "else", 1))
			close(late)
		}
	})
	s := newNodes(func(l *limits.Limits) { l.Nodes.ReuseDelay = 300 * time.Millisecond }, addr)
	for i := range 2 {
		r, _ := http.NewRequest(http.MethodGet, "http://backend.local/read/00000000000000aa/00000000000000bb", nil)
		resp, out := s.attempt(t.Context(), routing.Attempt{Node: "node-0", MayBegin: t.Context()}, r)
		if out.Result != scheduler.OK {
			t.Fatalf("attempt %d: %v", i, out.Result)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != "data" {
			t.Errorf("attempt %d was answered %q", i, body)
		}
	}
	standin.Await(t, "the late answer", late)
}

// Two requests behind each other are answered in turn, a body with a request behind it too.
func TestRequestsBehindEachOtherAreAnsweredInTurn(t *testing.T) {
	addr, count := newNode(t, func(_ int64, c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.Header.Get("X-Correlation-Id")), r.Header.Get("X-Correlation-Id"))
	})
	_, _, front := newFront(t, nil, addr)
	var text strings.Builder
	for i := range 40 {
		if i%3 == 0 {
			put := strings.Replace(fmt.Sprintf(request, fmt.Sprint("id-", i)), "GET", "PUT", 1)
			fmt.Fprintf(&text, "%sContent-Length: 9\r\n\r\nsome data", put)
			continue
		}
		text.WriteString(fmt.Sprintf(request, fmt.Sprint("id-", i)) + "\r\n")
	}
	c := dial(t, front)
	io.WriteString(c, text.String())
	for i := range 40 {
		if r, body := c.ask(t, ""); r.StatusCode != 200 || body != fmt.Sprint("id-", i) {
			t.Fatalf("answer %d: %d %q", i, r.StatusCode, body)
		}
	}
	if count.Load() != 40 {
		t.Errorf("%d attempts", count.Load())
	}
}

// A close over bytes that were not read resets the connection, and takes the last answer along.
func TestLastAnswerOutlivesWhatWasNotRead(t *testing.T) {
	_, _, front := newFront(t, func(l *limits.Limits) { l.Requests.Open = 0 }) // every request is one too many: 503 and a close
	for i := range 50 {
		c := dial(t, front)
		go c.Write(append([]byte(fmt.Sprintf(request, fmt.Sprint("id-", i))+"\r\n"), make([]byte, 200<<10)...))
		if r, body := c.ask(t, ""); r.StatusCode != 503 || !r.Close || body == "" {
			t.Fatalf("%d %q", r.StatusCode, body)
		}
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Fatalf("behind the answer: %v", err)
		}
	}
}

// acceptOne gives a client's connection as the front has it, with its other end.
func acceptOne(t *testing.T) (s *clientConns, c *clientConn, far *net.TCPConn) {
	t.Helper()
	l := standin.Listen(t)
	t.Cleanup(func() { l.Close() })
	other, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); other.Close() })
	bounds := standin.Limits()
	s = newClientConns(bounds, lifecycle.New(bounds.Stop, slog.New(slog.DiscardHandler)))
	c = &clientConn{Conn: near, raw: near, clients: s}
	s.announce(1)
	s.add(c)
	return s, c, other.(*net.TCPConn)
}

// A connection that stood idle was closed beside the read of it: a request that came in that moment was read, sent on, and
// its answer lost. Now the reader alone ends it, with nothing read behind that.
func TestIdleConnectionEndsWithoutARequest(t *testing.T) {
	s, c, far := acceptOne(t)
	c.Write([]byte("x")) // it was answered before
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 4096))
		read <- err
	}()
	if left := s.endIdle(time.Now().Add(time.Hour)); left != 1 {
		t.Errorf("%d left", left)
	}
	if err := standin.Await(t, "the end of the read", read); err != io.EOF {
		t.Fatal(err)
	}
	io.WriteString(far, "GET /late HTTP/1.1\r\n\r\n") // a request as the connection is shut
	closed := make(chan error, 1)
	go func() { closed <- c.Close() }()
	far.SetReadDeadline(time.Now().Add(standin.Patience))
	if answer, err := io.ReadAll(far); err != nil || string(answer) != "x" { // no reset
		t.Errorf("the client sees %q, %v", answer, err)
	}
	far.Close()
	standin.Await(t, "the close", closed)
	if s.count() != 0 || s.closing != 0 {
		t.Errorf("%d connections, %d ending", s.count(), s.closing)
	}
}

// A request that has come as its connection is to end is read, and the connection stays.
func TestRequestThatCrossesAnEndIsRead(t *testing.T) {
	s, c, far := acceptOne(t)
	io.WriteString(far, "GET ")
	standin.Until(t, "the request", c.hasPendingInput)
	s.endIdle(time.Now().Add(time.Hour))
	p := make([]byte, 16)
	if n, err := c.Read(p); err != nil || string(p[:n]) != "GET " {
		t.Errorf("%q, %v", p[:n], err)
	}
	if s.closing != 0 {
		t.Error("it is to end yet")
	}
}

// A connection is woken while a request on it is owed its answer: neither is the client taken for one that left, nor is
// net/http's own end of the read lost behind the waking.
func TestWakingEndsNoRequest(t *testing.T) {
	begun, goOn := make(chan struct{}, 1), make(chan struct{})
	addr, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		begun <- struct{}{}
		<-goOn
		io.WriteString(c, served)
	})
	f, core, front := newFront(t, nil, addr)
	c := dial(t, front)
	for i := range 200 {
		io.WriteString(c, fmt.Sprintf(request, fmt.Sprint("id-", i))+"\r\n")
		standin.Await(t, "the attempt", begun)
		wake := func() {
			f.clients.mu.Lock()
			defer f.clients.mu.Unlock()
			for own := range f.clients.conns {
				own.interruptRead()
			}
		}
		wake()
		if i%2 == 0 {
			go wake() // beside the answer
		}
		goOn <- struct{}{}
		if r, _ := c.ask(t, ""); r.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, r.StatusCode)
		}
	}
	if left := core.Tally().ClientsLeft; left != 0 {
		t.Errorf("%d clients taken for gone", left)
	}
}
