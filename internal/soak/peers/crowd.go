package peers

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// CrowdKind states what the clients of a crowd send before they stop.
type CrowdKind int

// Kinds of crowds. Those up to SlowWriter complete no request.
const (
	ShortFields       CrowdKind = iota // half a head with very many short fields
	RepeatedField                      // half a head with one of the front's fields very many times
	LongField                          // half a head with one long field
	LongTarget                         // half a head with a long target and nothing else
	HalfBody                           // all of a body that a front buffers except for its last byte
	FieldsAndBody                      // a head with very many short fields, and half of its body
	SmallChunks                        // half of a body in chunks of one byte
	LongBody                           // half of a body that is too long for a front to buffer
	SlowWriter                         // a request of which a few bytes arrive at a time
	HeldBody                           // a complete request with a body of the longest buffered length, and half of the next one
	Trailers                           // a complete request with very many short fields as trailers
	LeftBody                           // a complete request with a body of the longest buffered length, whose client leaves at once
	UnreadAnswers                      // complete requests without end, whose answers the clients do not read
	UnreadLongAnswers                  // the same with answers that are too long for a front to buffer
	crowdKinds
)

// CrowdKinds returns all kinds.
func CrowdKinds() []CrowdKind {
	var all []CrowdKind
	for k := range crowdKinds {
		all = append(all, k)
	}
	return all
}

func (k CrowdKind) String() string {
	return [...]string{
		"short fields", "repeated field", "long field", "long target", "half body", "fields and body", "small chunks", "long body",
		"slow writer", "held body", "trailers", "left body", "unread answers", "unread long answers",
	}[k]
}

// Sizes of what a crowd sends, in bytes.
const (
	crowdHeadBytes     = 15 << 10 // of a head: less than a front takes
	crowdBodyBytes     = 64 << 10 // the longest body that a front buffers
	crowdLongBodyBytes = 256 << 10
	crowdTrailerBytes  = 3 << 10
	crowdReadBuffer    = 4 << 10 // of clients that do not read, in the kernel
	crowdSlowBytes     = 16      // of a slow writer, at a time
)

// Pauses of the clients of a crowd.
const (
	slowWriterPause     = 100 * time.Millisecond
	crowdReconnectPause = 50 * time.Millisecond // between the end of a connection and the next one
	crowdLeavePause     = 20 * time.Millisecond // of a client that leaves behind its request
	crowdDialTimeout    = time.Second
)

// Crowd is many clients that connect at the same time, send incomplete requests and stay until the front closes their connections.
type Crowd struct {
	Kind   CrowdKind
	Size   int // clients
	Target func() Target
	Class  string        // a class whose requests may have a body
	Shard  int           // of the requests
	Spread time.Duration // the clients begin to connect within this time
	// Reconnect makes a client connect again after its connection was closed.
	Reconnect bool

	opened, closed atomic.Int64 // connections
}

// Opened returns how many connections the crowd has opened.
func (c *Crowd) Opened() int64 { return c.opened.Load() }

// Closed returns how many of them the front has closed.
func (c *Crowd) Closed() int64 { return c.closed.Load() }

// Run connects all clients and returns when ctx ends.
func (c *Crowd) Run(ctx context.Context) {
	var all sync.WaitGroup
	for i := range c.Size {
		all.Go(func() {
			time.Sleep(c.Spread * time.Duration(i) / time.Duration(c.Size))
			for c.visit(ctx, i); c.Reconnect && ctx.Err() == nil; c.visit(ctx, i) {
				time.Sleep(crowdReconnectPause)
			}
		})
	}
	all.Wait()
}

// visit opens one connection, sends an incomplete request and waits until the connection is closed.
func (c *Crowd) visit(ctx context.Context, client int) {
	target := c.Target()
	if !target.Open {
		return
	}
	conn, err := net.DialTimeout("tcp", target.Addr, crowdDialTimeout)
	if err != nil {
		return
	}
	c.opened.Add(1)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	if c.Kind == UnreadAnswers || c.Kind == UnreadLongAnswers {
		conn.(*net.TCPConn).SetReadBuffer(crowdReadBuffer)
		for err := error(nil); err == nil && ctx.Err() == nil; {
			_, err = io.WriteString(conn, c.text(client))
		}
		return
	}
	if c.Kind == LeftBody {
		c.send(conn, c.text(client))
		time.Sleep(crowdLeavePause)
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		io.Copy(io.Discard, conn)
		if ctx.Err() == nil {
			c.closed.Add(1)
		}
		conn.Close() // ends the writer too
	}()
	c.send(conn, c.text(client))
	<-ended
}

// send writes the text, a few bytes at a time if the crowd writes slowly.
func (c *Crowd) send(conn net.Conn, text string) {
	if c.Kind != SlowWriter {
		io.WriteString(conn, text)
		return
	}
	for len(text) > 0 {
		n := min(crowdSlowBytes, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(slowWriterPause)
	}
}

// text returns what a client of the crowd sends.
func (c *Crowd) text(client int) string {
	id := fmt.Sprintf("crowd-%d-%d", client, requestCount.Add(1))
	path := fmt.Sprintf("/%s/00000000000000ff/%016x", c.Class, client)
	head := "PUT " + path + " HTTP/1.1\r\nHost: b\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + c.Class +
		fmt.Sprintf("\r\nX-Plan: gold\r\nX-Time-Left: 2500m\r\nX-IO: units=1,shard=%d,hosts=1\r\nIdempotency-Key: %s\r\n", c.Shard, id)
	lengthField := fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes)
	half := strings.Repeat("b", crowdBodyBytes/2)
	switch c.Kind {
	case ShortFields:
		return head + shortFields(crowdHeadBytes-len(head))
	case RepeatedField:
		return head + strings.Repeat("X-IO:\n", (crowdHeadBytes-len(head))/6)
	case LongField:
		return head + "X-Long: " + strings.Repeat("x", crowdHeadBytes-len(head))
	case LongTarget:
		return "GET " + path + "?" + strings.Repeat("x", crowdHeadBytes-len(path))
	case HalfBody:
		return head + lengthField + "\r\n" + half + half[1:]
	case FieldsAndBody:
		return head + lengthField + shortFields(crowdHeadBytes-len(head)) + "\r\n" + half
	case SmallChunks:
		return head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", crowdBodyBytes/2)
	case LongBody:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdLongBodyBytes) + strings.Repeat(half, crowdLongBodyBytes/crowdBodyBytes)
	case HeldBody:
		return head + lengthField + "\r\n" + half + half + head + lengthField + "\r\n" + half
	case LeftBody:
		return head + lengthField + "\r\n" + half + half
	case Trailers:
		return head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortFields(crowdTrailerBytes) + "\r\n"
	case UnreadAnswers, UnreadLongAnswers:
		return strings.Replace(head, "PUT", "GET", 1) + "\r\n"
	default:
		return head + lengthField + "\r\n" + half
	}
}

// shortFields returns up to size bytes of fields, all with different names as far as names of two characters suffice.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var out strings.Builder
	for i := 0; out.Len()+4 <= size; i++ {
		out.WriteByte(letters[i/len(letters)%len(letters)])
		out.WriteByte(letters[i%len(letters)])
		out.WriteString(":\n")
	}
	return out.String()
}
