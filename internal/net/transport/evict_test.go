package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/routing"
	"otterturn/internal/standin"
	"otterturn/scheduler"
)

// readAll reads from a connection as net/http does, until its end.
func readAll(c *clientConn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		buffer := make([]byte, 4096)
		for {
			if _, err := c.Read(buffer); err != nil {
				ended <- err
				return
			}
		}
	}()
	return ended
}

// evict closes the connection that has been longest without a request, however short that is.
func evict(s *clientConns) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLongestIdle(time.Now().Add(time.Hour))
}

// The connection that has been reading longest makes room. A request that has come whole in that moment is owed its answer:
// the connection was closed under it.
func TestRequestThatIsCompleteKeepsItsConnection(t *testing.T) {
	s, c, far := acceptOne(t)
	s.trackState(c, http.StateActive)
	io.WriteString(far, fmt.Sprintf(request, "id")+"\r\n")
	readAll(c)
	standin.Until(t, "the request", c.framing.complete)
	evict(s)
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatalf("the answer: %v", err)
	}
	answer := make([]byte, len("answer"))
	if _, err := io.ReadFull(far, answer); err != nil || string(answer) != "answer" {
		t.Errorf("the client reads %q, %v", answer, err)
	}
}

// A request whose rest the kernel holds already is read to its end.
func TestRequestThatHasArrivedKeepsItsConnection(t *testing.T) {
	s, c, far := acceptOne(t)
	s.trackState(c, http.StateActive)
	io.WriteString(far, fmt.Sprintf(request, "id")+"\r\n")
	standin.Until(t, "the request", c.hasPendingInput)
	evict(s)
	readAll(c)
	standin.Until(t, "the request", c.framing.complete)
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Errorf("the answer: %v", err)
	}
}

// Half a request makes room: nothing is owed for it. Its own reader ends the connection.
func TestIncompleteRequestMakesRoom(t *testing.T) {
	s, c, far := acceptOne(t)
	s.trackState(c, http.StateActive)
	io.WriteString(far, "GET /re")
	ended := readAll(c)
	standin.Until(t, "half a request", c.hasInput.Load)
	evict(s)
	if err := standin.Await(t, "the end of the read", ended); err != io.EOF {
		t.Errorf("the read ended with %v", err)
	}
}

// A client reads its last answer and has sent more than was read: closing its connection for room would reset it, and take
// that answer along.
func TestLastAnswerIsNotCutOffForRoom(t *testing.T) {
	s, c, far := acceptOne(t)
	s.beginEnding(c)
	io.WriteString(far, "GET /behind")
	standin.Until(t, "bytes behind the answer", c.hasPendingInput)
	s.mu.Lock()
	cut := s.closeDrained()
	s.mu.Unlock()
	if cut {
		t.Error("a connection with unread bytes was closed")
	}
	if _, err := c.Conn.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	cut = s.closeDrained()
	s.mu.Unlock()
	if !cut {
		t.Error("a connection with nothing to read made no room")
	}
}

// Guards against bad clients that stay: net/http waits for the first four bytes of a request on a connection that rested as long as
// for a request, and 5 s are more than such a client is owed.
func TestClientThatStopsInItsFirstBytesIsEnded(t *testing.T) {
	addr, _ := newNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	_, _, front := newFront(t, func(l *limits.Limits) {
		l.Clients.HeaderTimeout, l.Clients.IdleTimeout = 100*time.Millisecond, time.Hour
	}, addr)
	c := dial(t, front)
	c.ask(t, fmt.Sprintf(request, "usual")+"\r\n")
	io.WriteString(c, "GE")
	if answer, err := io.ReadAll(c.in); err != nil || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 4") {
		t.Errorf("behind two bytes: %q, %v", answer, err)
	}
}

// Guards against an attempt for a client that left as the front was held up: what the kernel knows counts right ahead of the first
// byte, though the reader has not heard of it.
func TestNothingIsBegunWhereTheKernelKnowsOfTheEnd(t *testing.T) {
	_, c, far := acceptOne(t)
	if c.hungUp() {
		t.Error("gone while it is there")
	}
	far.CloseWrite()
	standin.Until(t, "the end", c.hungUp)
	addr, count := newNode(t, func(_ int64, c net.Conn, _ *http.Request) { io.WriteString(c, served) })
	s := newNodes(nil, addr)
	r, _ := http.NewRequest(http.MethodGet, "http://backend.local/read/00000000000000aa/00000000000000bb", nil)
	a := routing.Attempt{Node: "node-0", MayBegin: t.Context(), ClientGone: c.hungUp}
	if _, out := s.attempt(t.Context(), a, r); out.Result != scheduler.NotStarted || count.Load() != 0 {
		t.Errorf("%v, %d requests", out.Result, count.Load())
	}
}
