package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"otterturn/internal/soak/audit"
)

// Target states where clients of a front connect at present.
type Target struct {
	Addr    string
	Process int           // index in the record
	Open    bool          // clients may connect
	Longest time.Duration // longest deadline of a request
}

// Class is a request class.
type Class struct {
	Name        string
	Idempotency audit.Idempotency
	Write       bool
	Key         bool
}

// Client sends requests to one front, on one connection at a time.
type Client struct {
	Target  func() Target
	Classes []Class
	Shards  int
	Clock   Clock
	Record  *audit.Record
	Random  *rand.Rand
	Think   time.Duration // mean pause between two requests
}

// requestCount counts all requests of this process, which makes their ids unique.
var requestCount atomic.Int64

// Shares of requests with special behavior of the client, in percent.
const (
	slowBodyPercent   = 12 // the client pauses within the body
	longBodyPercent   = 4  // the body is longer than a front buffers
	leavePercent      = 8  // the client closes the connection before the answer
	incompletePercent = 2  // the client sends an incomplete request
	shortWaitPercent  = 4  // the client waits for 20 ms at most
	reconnectPercent  = 5  // the client reconnects after the answer
)

// lateReadTime is how long a client still reads after its deadline, to distinguish a late answer from none.
const lateReadTime = 1200 * time.Millisecond

// Run sends requests until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t := c.Target()
		if !t.Open {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", t.Addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.session(ctx, conn, t)
		conn.Close()
	}
}

// session sends requests on one connection.
func (c *Client) session(ctx context.Context, conn net.Conn, t Target) {
	in := bufio.NewReader(conn)
	for first := true; ctx.Err() == nil; first = false {
		if c.chance(incompletePercent) {
			c.sendIncomplete(conn, in, t, first)
			return
		}
		if !c.send(conn, in, t) || c.chance(reconnectPercent) {
			return
		}
		time.Sleep(time.Duration(c.Random.Int64N(int64(2*c.Think) + 1)))
	}
}

func (c *Client) chance(share int) bool { return c.Random.IntN(100) < share }

// sendIncomplete sends an incomplete request and keeps the connection open.
func (c *Client) sendIncomplete(conn net.Conn, in *bufio.Reader, t Target, first bool) {
	text, _ := c.newRequest(c.Classes[0], time.Second, 0)
	length := 1 + c.Random.IntN(len(text)-4)
	bad := audit.BadClient{Process: t.Process, Began: c.Clock(), Bytes: length, First: first}
	if _, err := io.WriteString(conn, text[:length]); err != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		bad.Ended = c.Clock()
	}
	c.Record.AddBadClient(bad)
}

// newRequest returns the head of a new request and its id.
func (c *Client) newRequest(class Class, wait time.Duration, body int) (head, id string) {
	id = fmt.Sprintf("r%08x", requestCount.Add(1))
	method := "GET"
	if class.Write {
		method = "PUT"
	}
	head = fmt.Sprintf("%s /%s/00000000000000aa/%016x HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Plan: gold\r\nX-Time-Left: %dm\r\nX-IO: units=1,shard=%d,hosts=1\r\n",
		method, class.Name, c.Random.Uint64(), id, class.Name, wait.Milliseconds(), c.Random.IntN(c.Shards))
	if class.Key {
		head += "Idempotency-Key: " + id + "\r\n"
	}
	if class.Write {
		head += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	return head + "\r\n", id
}

// send sends one request and waits for its answer. It reports whether the connection can be used again.
func (c *Client) send(conn net.Conn, in *bufio.Reader, t Target) bool {
	class := c.Classes[c.Random.IntN(len(c.Classes))]
	wait := t.Longest*3/10 + time.Duration(c.Random.Int64N(int64(t.Longest*7/10)))
	if c.chance(shortWaitPercent) {
		wait = time.Duration(1+c.Random.IntN(20)) * time.Millisecond
	}
	body := 0
	if class.Write {
		body = 10
		if c.chance(longBodyPercent) {
			body = 150 << 10
		}
	}
	head, id := c.newRequest(class, wait, body)
	request := audit.Request{ID: id, Idempotency: class.Idempotency, Process: t.Process, Wait: wait, Long: body > 64<<10}
	text := head + strings.Repeat("b", body)
	if body > 0 && c.chance(slowBodyPercent) {
		part := len(head) + c.Random.IntN(body)
		if _, err := io.WriteString(conn, text[:part]); err != nil {
			return false
		}
		time.Sleep(time.Duration(c.Random.Int64N(int64(1500 * time.Millisecond))))
		text = text[part:]
	}
	request.Sent = c.Clock()
	if _, err := io.WriteString(conn, text); err != nil {
		return false // not sent completely
	}
	if c.chance(leavePercent) {
		time.Sleep(time.Duration(c.Random.Int64N(int64(wait) + 1)))
		request.Ending, request.Ended = audit.Left, c.Clock()
		c.Record.AddRequest(request)
		return false
	}
	keep := c.readAnswer(conn, in, &request)
	c.Record.AddRequest(request)
	return keep
}

// readAnswer reads the answer and records how the request ended. It reports whether the connection can be used again.
func (c *Client) readAnswer(conn net.Conn, in *bufio.Reader, request *audit.Request) (keep bool) {
	conn.SetReadDeadline(time.Now().Add(request.Wait + lateReadTime))
	defer func() { request.Ended = c.Clock() }()
	if _, err := in.Peek(1); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			request.Ending = audit.Closed
		}
		return false
	}
	resp, err := http.ReadResponse(in, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		request.Ending = audit.Cut
		return false
	}
	request.Ending, request.Status = audit.Answered, resp.StatusCode
	return !resp.Close
}
