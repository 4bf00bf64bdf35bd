package transport

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"otterturn/internal/net/headfilter"
	"otterturn/internal/net/protocol"
	"otterturn/internal/net/retryconn"
)

// requestFields are the fields of a client's request that the front or net/http use. Of the others, such as Trailer, net/http would
// only keep the parsed form.
var requestFields = headfilter.NewFields(append(protocol.RequestFields(),
	"Host", "Connection", "Content-Length", "Transfer-Encoding", "Expect")...)

// headerSlack is how many bytes the server of net/http reads beyond its MaxHeaderBytes.
const headerSlack = 4 << 10

// newClientConn returns a connection whose first request may have waited for the given time because accepting failed.
func newClientConn(conn net.Conn, clients *clientConns, acceptDelay time.Duration) *clientConn {
	c := &clientConn{
		Conn: conn, raw: retryconn.Innermost(conn), clients: clients, acceptDelay: acceptDelay,
		aheadMemory: clients.memory.NewReservation(), requestMemory: clients.memory.NewReservation(),
		requestParser: newRequestParser(clients.limits.Requests), deadlineChanged: make(chan struct{}, 1),
	}
	if _, isTLS := conn.(*tls.Conn); !isTLS { // a TLS connection has it on the connection below
		c.Conn = retryconn.Conn{Conn: conn}
	}
	return c
}

// consume handles the first n bytes of p, which a client has sent: it removes the fields that the front does not use. It returns how many
// bytes belong to the current request, and those that are left for net/http, which may stand at the beginning of p. The bytes of p behind
// the current request stay as they are. In net/http's buffer they would be invisible to this type.
func (c *clientConn) consume(p []byte, n int) (consumed int, kept []byte, err error) {
	c.hasInput.Store(true)
	if c.headStartedAt.IsZero() {
		c.headStartedAt = time.Now()
	}
	if c.head.Pending() == 0 { // with a pending name more may be kept than has arrived now
		kept = p[:0]
	}
	if !c.framing.isInBody() {
		c.clients.requestProgressed(c, 0)
	}
	kept, consumed, err = c.parse(kept, p[:n])
	if err == nil && !c.reserveHead() {
		err = errNoMemory
	}
	if err != nil {
		return consumed, nil, c.reject(err)
	}
	return consumed, kept, nil
}

// deliver copies kept bytes to p, and stores those for which it has no room.
func (c *clientConn) deliver(p, kept []byte) (n int) {
	n = copy(p, kept)
	c.filtered = append(c.filtered, kept[n:]...)
	return n
}

// headFactor is the memory of a head while it is parsed and encoded for its node, as a multiple of its used bytes.
const headFactor = 3

// reserveHead reserves memory for a head whose used fields are longer than what belongs to the connection.
func (c *clientConn) reserveHead() bool {
	if int64(c.headKept) <= c.clients.limits.Memory.Free || c.requestMemory.Bytes() > 0 {
		return true
	}
	return c.requestMemory.Grow(headFactor * int64(c.clients.limits.Requests.HeaderBytes+headerSlack))
}

// consumeRead passes the n bytes at the beginning of p, which were just read, on to net/http, and keeps those of a later request. These are
// kept first, as what is passed on may be longer than what the current request had of p, and would overwrite them.
func (c *clientConn) consumeRead(p []byte, n int) (delivered int, err error) {
	consumed, kept, err := c.consume(p, n)
	if c.framing.isComplete() {
		c.measureReadDelay()
	}
	c.bufferAhead(p[consumed:n])
	return c.deliver(p, kept), err
}

// rejectionTimeout is the time for writing the rejection of a head.
const rejectionTimeout = time.Second

// reject answers a head that is invalid or too large. The error that it returns makes net/http close the connection without an answer of
// its own.
func (c *clientConn) reject(cause error) error {
	status := http.StatusBadRequest
	switch {
	case errors.Is(cause, headfilter.ErrTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(cause, errNoMemory):
		status = http.StatusServiceUnavailable
	}
	c.clients.rejected.Add(1)
	c.clients.log.Debug("head rejected", "client", c.RemoteAddr().String(), "status", status, "error", cause)
	c.Conn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%v\n", status, http.StatusText(status), cause)
	return os.ErrDeadlineExceeded
}
