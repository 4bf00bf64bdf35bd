package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterturn/internal/limits"
	"otterturn/internal/net/routing"
	"otterturn/internal/testsupport"
)

// putHead returns the head of a long request with a body of the given length, or of a chunked one if length is negative.
func putHead(id string, length int) string {
	head := strings.Replace(fmt.Sprintf(requestHead, id), "GET", "PUT", 1)
	if length < 0 {
		return head + "Transfer-Encoding: chunked\r\n\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

// A long body reaches the node unchanged, whatever the sizes of its parts, and counts as a request only when its last byte
// has arrived. If no node can take it, it is rejected after the whole body has arrived.
func TestStreamedRequestBodies(t *testing.T) {
	bodies := make(chan []byte, 1)
	var count atomic.Int64
	addr := testsupport.Peer(t, func(_ int, c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			count.Add(1)
			bodies <- body
			io.WriteString(c, served)
		}
	})
	_, core, front := startFront(t, nil, addr)
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	for i, length := range []int{len(want), -1} {
		c := dialClient(t, front)
		io.WriteString(c, putHead(fmt.Sprint("long", i), length))
		write := func(p []byte) {
			if length < 0 {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(p), p)
			} else {
				c.Write(p)
			}
		}
		for offset, size := 0, 1; offset < len(want)-1; offset, size = offset+size, min(size*3, len(want)-2-offset-size) {
			write(want[offset : offset+max(size, 1)])
			if size <= 0 {
				break
			}
		}
		if openRequests := core.Tally().Open; openRequests != 0 {
			t.Errorf("%d requests counted before their last byte", openRequests)
		}
		write(want[len(want)-1:])
		end := ""
		if length < 0 {
			end = "0\r\n\r\n"
		}
		if r, _ := c.roundTrip(t, end); r.StatusCode != 200 {
			t.Errorf("length %d: status %d", length, r.StatusCode)
		}
		if got := testsupport.Await(t, "the body to reach the node", bodies); !bytes.Equal(got, want) {
			t.Errorf("length %d: the node received %d bytes that differ from the body", length, len(got))
		}
	}
	brokenFront, brokenCore, brokenAddr := startFront(t, nil, testsupport.Peer(t, func(_ int, c net.Conn) { c.Read(make([]byte, 1)) }))
	if r, _ := dialClient(t, brokenAddr).roundTrip(t, putHead("broken", len(want))+string(want)); r.StatusCode != 503 {
		t.Errorf("node that closes the connection within a body: status %d", r.StatusCode)
	}
	if got := count.Load(); got != 2 || brokenCore.Tally().Open != 0 || brokenFront.openRequests.Load() != 0 {
		t.Errorf("%d requests and %d open, want 2 and none", got, brokenCore.Tally().Open)
	}
}

// A long answer is passed on as it arrives, with its length if the node sends it. The client can detect that the node cut an
// answer off.
func TestStreamedAnswers(t *testing.T) {
	const size = 4 << 20
	for _, c := range []struct {
		head, end string
		sent      int
		whole     bool
	}{
		{fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "", size, true},
		{fmt.Sprintf("Content-Length: %d\r\n\r\n", size), "", size - 1, false},
		{fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n", size, true},
		{fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n", size, false},
	} {
		proceed := make(chan struct{})
		addr, _ := startNode(t, func(_ int64, conn net.Conn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head)
			conn.Write(make([]byte, size/2))
			<-proceed
			conn.Write(make([]byte, c.sent-size/2))
			io.WriteString(conn, c.end)
			conn.Close()
		})
		_, core, front := startFront(t, nil, addr)
		client := dialClient(t, front)
		fmt.Fprintf(client, requestHead+"\r\n", "id")
		r, err := http.ReadResponse(client.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.CopyN(io.Discard, r.Body, size/2); err != nil {
			t.Fatalf("sent part of the answer was not passed on: %v", err)
		}
		testsupport.WaitFor(t, "the request to be open during its answer", func() bool { return core.Tally().Open == 1 })
		close(proceed)
		n, err := io.Copy(io.Discard, r.Body)
		if whole := err == nil && n == size/2; whole != c.whole || err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%.20q, %d bytes: received %d bytes in the second half, error %v", c.head, c.sent, n, err)
		}
		testsupport.WaitFor(t, "the request to end", func() bool { return core.Tally().Open == 0 })
	}
}

// The limit is 32 KiB per direction for a body in transfer, in addition to a connection's own buffers. Hundreds of clients
// that have stopped within answers and bodies of 32 MB, together far more than the memory limit, leave the other clients
// served.
func TestSlowTransfersHoldLittleMemory(t *testing.T) {
	const slow, size = 300, 32 << 20
	var writers sync.WaitGroup
	block := make([]byte, 64<<10)
	addr, _ := startNode(t, func(_ int64, c net.Conn, r *http.Request) {
		if !strings.Contains(r.Header.Get("X-Correlation-Id"), "slow") {
			io.WriteString(c, served)
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	})
	_, core, front := startFront(t, func(l *limits.Limits) {
		l.Clients.KeptConns, l.Clients.Conns, l.Nodes.Conns, l.Requests.Open, l.Requests.Scheduled = 2*slow, 2*slow, 2*slow, 2*slow, 2*slow
	}, addr)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range slow {
		c, err := net.Dial("tcp", front)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if i%2 == 0 {
			writers.Go(func() { io.WriteString(c, putHead(fmt.Sprint("slow", i), size)+strings.Repeat("x", 1<<20)) })
			continue
		}
		fmt.Fprintf(c, requestHead+"\r\n", fmt.Sprint("slow", i))
		if r, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil); err != nil || r.StatusCode != 200 {
			t.Fatalf("answer %d: %v, error %v", i, r, err)
		}
	}
	writers.Wait()
	testsupport.WaitFor(t, "the answers to be in transfer", func() bool { return core.Tally().Open == slow/2 })
	if r, _ := dialClient(t, front).roundTrip(t, fmt.Sprintf(requestHead, "quick")+"\r\n"); r.StatusCode != 200 {
		t.Errorf("short request during slow transfers: status %d", r.StatusCode)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if heldBytes := int64(after.HeapAlloc) - int64(before.HeapAlloc); heldBytes > 32<<20 {
		t.Errorf("%d slow transfers hold %d MB of memory, want at most 32", slow, heldBytes>>20)
	}
}

// Guards against a late answer to a request whose body had to wait to be read. While a long request waits for a connection
// to its node, its last byte has already arrived and its client's time runs. When the time was counted from the read, the
// answer came later by the length of the wait.
func TestTimeLeftOfLongRequestRunsFromItsLastByte(t *testing.T) {
	const length, wait = 150 << 10, 300 * time.Millisecond
	started, proceed := make(chan struct{}), make(chan struct{})
	free, _ := startNode(t, func(_ int64, c net.Conn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, served)
	})
	busy, _ := startNode(t, func(_ int64, c net.Conn, _ *http.Request) {
		close(started)
		<-proceed
		io.WriteString(c, served)
	})
	_, core, front := startFront(t, func(l *limits.Limits) { l.Nodes.ReuseDelay, l.Nodes.Conns = 0, 1 }, free, busy)
	first, second := dialClient(t, front), dialClient(t, front)
	io.WriteString(first, strings.Replace(fmt.Sprintf(requestHead, "first"), "shard=0", "shard=1", 1)+"\r\n")
	testsupport.Await(t, "the first attempt to begin", started)
	io.WriteString(second, strings.Replace(putHead("second", length), "4000m", "300m", 1)+strings.Repeat("x", length))
	sentAt := time.Now()
	testsupport.WaitFor(t, "the time of the second request to be over", func() bool { return time.Since(sentAt) > wait+200*time.Millisecond })
	close(proceed)
	if r, _ := second.roundTrip(t, ""); r.StatusCode != 503 {
		t.Errorf("request whose time is over: status %d", r.StatusCode)
	}
	if served := core.Tally().Sum(routing.Served); served != 1 {
		t.Errorf("%d requests were served, want 1", served)
	}
}
