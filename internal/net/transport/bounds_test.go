package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/standin"
)

func TestBoundsAreAnsweredAtOnce(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	addr, _ := newNode(t, func(n int64, c net.Conn, _ *http.Request) {
		if n == 1 {
			close(begun)
			<-goOn
		}
		io.WriteString(c, served)
	})
	_, _, front := newFront(t, func(l *limits.Limits) { l.Requests.Open = 1 }, addr)
	first, second := dial(t, front), dial(t, front)
	io.WriteString(first, fmt.Sprintf(request, "one")+"\r\n")
	standin.Await(t, "the attempt to begin", begun)
	if r, _ := second.ask(t, fmt.Sprintf(request, "two")+"\r\n"); r.StatusCode != 503 || r.Header.Get("Retry-After") != "1" || !r.Close {
		t.Errorf("request over the limit on open requests: status %d, header %v, close %v", r.StatusCode, r.Header, r.Close)
	}
	close(goOn)
	if r, _ := first.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("request within the limit: status %d", r.StatusCode)
	}
}

// Clients that sent one request and stayed, or connected and sent nothing, once held every connection until others received
// 503. Now the longest idle connection is closed for a new one, but never one whose request awaits its answer.
func TestIdleClientsMakeRoom(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	addr, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	stuck, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		close(begun)
		<-goOn
		io.WriteString(c, served)
	})
	f, _, front := newFront(t, func(l *limits.Limits) {
		l.Clients.KeptConns, l.Clients.MinIdle, l.Clients.HeaderTimeout, l.Clients.IdleTimeout = 3, 0, time.Hour, time.Hour
	}, addr, stuck)
	slow := dial(t, front)
	io.WriteString(slow, strings.Replace(fmt.Sprintf(request, "slow"), "shard=0", "shard=1", 1)+"\r\n")
	standin.Await(t, "the slow attempt to begin", begun)
	var waiting []*client
	for i := range 6 {
		c := dial(t, front)
		waiting = append(waiting, c)
		if len(waiting) > 2 { // with the slow one there is one connection too many: a silent one is closed first
			gone := 1 - i%2 // for even i an active and then a silent client are idle, else two active ones
			if _, err := waiting[gone].in.ReadByte(); err != io.EOF {
				t.Errorf("before client %d: %v, want io.EOF", i, err)
			}
			waiting = slices.Delete(waiting, gone, gone+1)
		}
		if i%2 == 1 {
			continue // this client sends nothing
		}
		if r, _ := c.ask(t, fmt.Sprintf(request, fmt.Sprint("active-", i))+"\r\n"); r.StatusCode != 200 {
			t.Errorf("active client %d: status %d", i, r.StatusCode)
		}
		standin.Until(t, "the active clients to be idle", func() bool { // net/http reports it after the answer
			f.clients.mu.Lock()
			defer f.clients.mu.Unlock()
			for c := range f.clients.conns {
				if c.sentRequest && c.stage != idle && c.RemoteAddr().String() != slow.LocalAddr().String() {
					return false
				}
			}
			return true
		})
	}
	close(goOn)
	if r, _ := slow.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("slow request: status %d", r.StatusCode)
	}
}

// A single timeout for the whole request, longer than any deadline, let silent clients and endless heads stay connected.
// Head and body have separate limits, and neither cuts off a complete request that awaits its answer.
func TestWhatComesTooSlowlyEnds(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	addr, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		close(begun)
		<-goOn
		io.WriteString(c, served)
	})
	_, _, front := newFront(t, func(l *limits.Limits) {
		l.Clients.HeaderTimeout, l.Clients.BodySilence = 100*time.Millisecond, 200*time.Millisecond
	}, addr)
	put := strings.Replace(fmt.Sprintf(request, "id"), "GET", "PUT", 1) + "Content-Length: 4\r\n\r\n"
	whole := dial(t, front)
	io.WriteString(whole, put+"data")
	standin.Await(t, "the attempt to begin", begun)
	for _, text := range []string{"", "GET /read/", put[:len(put)-2]} {
		c := dial(t, front)
		io.WriteString(c, text)
		if answer, err := io.ReadAll(c.in); err != nil || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") {
			t.Errorf("after %q: answer %q, error %v", text, answer, err)
		}
	}
	if r, _ := dial(t, front).ask(t, put+"da"); r.StatusCode != 408 || !r.Close {
		t.Errorf("half a body: status %d, close %v", r.StatusCode, r.Close)
	}
	close(goOn)
	if r, _ := whole.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("complete request: status %d", r.StatusCode)
	}
}

// A request with two framings may hide another request in its body, and net/http shows a handler only one of the framings.
func TestRequestFramedInTwoWays(t *testing.T) {
	addr, count := newNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	_, _, front := newFront(t, nil, addr)
	hidden := fmt.Sprintf(request, "hidden") + "\r\n"
	put := strings.Replace(fmt.Sprintf(request, "id"), "GET", "PUT", 1)
	chunked := fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for _, text := range []string{
		put + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" + chunked,
		put + "transfer-encoding:chunked\r\nX-Pad: " + strings.Repeat("x", 5000) + "\r\ncontent-length:4\r\n" + chunked,
		strings.Replace(put, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n" + chunked,
		put + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunked,
		put + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ndata",
	} {
		r, _ := dial(t, front).ask(t, text)
		if r.StatusCode != 400 && r.StatusCode != 501 || !r.Close {
			t.Errorf("%.400q: status %d, close %v", text, r.StatusCode, r.Close)
		}
	}
	behind := dial(t, front) // the head begins in the data behind another request, where framing doesn't see it
	if r, _ := behind.ask(t, fmt.Sprintf(request, "ahead")+"\r\n"+put+"Content-Length: 4\r\n"); r.StatusCode != 200 {
		t.Errorf("first request: status %d", r.StatusCode)
	}
	if r, _ := behind.ask(t, "Transfer-Encoding: chunked\r\n"+chunked); r.StatusCode != 400 || !r.Close {
		t.Errorf("request after another one: status %d, close %v", r.StatusCode, r.Close)
	}
	if n := count.Load(); n != 1 {
		t.Errorf("the node received %d requests, want only the first", n)
	}
	if r, _ := dial(t, front).ask(t, put+"Transfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n"); r.StatusCode != 200 {
		t.Errorf("chunked request: status %d", r.StatusCode)
	}
}

// Two open requests with the same id would replace each other in the scheduler.
func TestSecondRequestUnderAnOpenId(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	addr, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		close(begun)
		<-goOn
		io.WriteString(c, served)
	})
	_, _, front := newFront(t, nil, addr)
	first := dial(t, front)
	io.WriteString(first, fmt.Sprintf(request, "same")+"\r\n")
	standin.Await(t, "the attempt to begin", begun)
	if r, _ := dial(t, front).ask(t, fmt.Sprintf(request, "same")+"\r\n"); r.StatusCode != 400 {
		t.Errorf("second request: status %d", r.StatusCode)
	}
	close(goOn)
	if r, _ := first.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("first request: status %d", r.StatusCode)
	}
}

// After SIGTERM clients still connect for a while, and use their connections as long as these are open. When all were closed
// at once, every request of the next seconds failed. If they were never closed, they would be in use at SIGKILL. So idle
// connections are closed in the end, but none that carries a request.
func TestStopLosesNothing(t *testing.T) {
	begun, goOn := make(chan struct{}), make(chan struct{})
	addr, _ := newNode(t, func(_ int64, c net.Conn, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "slow" {
			close(begun)
			<-goOn
		}
		io.WriteString(c, served)
	})
	f, core, front := newFront(t, func(l *limits.Limits) { l.Stop.Serve, l.Stop.Answer = 2*time.Second, 3*time.Second }, addr)
	kept, idle, slow := dial(t, front), dial(t, front), dial(t, front)
	idle.ask(t, fmt.Sprintf(request, "idle")+"\r\n")
	io.WriteString(slow, fmt.Sprintf(request, "slow")+"\r\n")
	standin.Await(t, "the slow attempt to begin", begun)
	if r, _ := kept.ask(t, fmt.Sprintf(request, "before")+"\r\n"); r.StatusCode != 200 || r.Close {
		t.Errorf("before the shutdown: status %d, close %v", r.StatusCode, r.Close)
	}
	stopped := make(chan error, 1)
	rooms := make(chan int, 1)
	go func() {
		stopped <- f.Stop(func(open int) {
			core.SetMaxOpen(open)
			select {
			case rooms <- open:
			default:
			}
		})
	}()
	standin.Await(t, "the shutdown to begin", f.guard.Stopping())
	// A client that found all of its connections taken by waiting requests, and could open no other, sent nothing more.
	if open := standin.Await(t, "the limit on open requests during the shutdown", rooms); open != 3/2 {
		t.Errorf("limit of %d open requests with 3 connections, want 1", open)
	}
	for i, c := range []*client{kept, dial(t, front), kept} {
		r, _ := c.ask(t, fmt.Sprintf(request, fmt.Sprint("after-", i))+"\r\n")
		if since := f.guard.Since(); r.StatusCode != 200 || r.Close && since < f.limits.Stop.Serve {
			t.Errorf("during the shutdown: status %d, close %v", r.StatusCode, r.Close)
		}
	}
	if r, _ := kept.ask(t, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); r.StatusCode != 503 || !r.Close {
		t.Errorf("readiness check during the shutdown: status %d, close %v", r.StatusCode, r.Close)
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: %v, want io.EOF", err)
	}
	select {
	case <-stopped:
		t.Error("the front stopped while a request was open")
	default:
	}
	close(goOn)
	if r, _ := slow.ask(t, ""); r.StatusCode != 200 {
		t.Errorf("slow request: status %d", r.StatusCode)
	}
	if err := standin.Await(t, "the front to stop", stopped); err != nil {
		t.Error(err)
	}
}
